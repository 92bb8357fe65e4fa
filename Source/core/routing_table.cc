#include "core/routing_table.h"

#include <algorithm>

namespace corianderplank {
namespace {

/// Targets kept for their flows although no source names them any more.
constexpr std::size_t kMaxRetiredTargets = 64;

}  // namespace

service_routes::service_routes(const service& of,
                               const instance_list& instances,
                               const service_routes* previous)
    : id_(of.id), port_(of.port) {
  for (const target& item : of.targets) {
    index_[item.id] = static_cast<std::uint32_t>(targets_.size());
    targets_.push_back({item.id, item.agent, item.control, item.slots, true});
  }
  AddFromInstances(instances);
  if (previous != nullptr) {
    AddFromPrevious(*previous);
  }
  BuildDraws(of);
}

void service_routes::AddFromInstances(const instance_list& instances) {
  for (const instance& item : instances.instances) {
    if (item.role != instance_role::agent || item.service != id_) {
      continue;
    }
    const target_id id = TargetIdOf(item.name);
    const auto found = index_.find(id);
    if (found == index_.end()) {
      index_[id] = static_cast<std::uint32_t>(targets_.size());
      targets_.push_back({id, item.data, item.control, 1, false});
      continue;
    }
    route_target& known = targets_[found->second];
    known.agent = item.data;
    known.control = item.control;
    known.takes_opens = known.takes_opens && !item.leaving;
  }
}

void service_routes::AddFromPrevious(const service_routes& previous) {
  std::size_t retired = 0;
  for (const route_target& item : previous.targets_) {
    if (index_.contains(item.id) || ++retired > kMaxRetiredTargets) {
      continue;
    }
    index_[item.id] = static_cast<std::uint32_t>(targets_.size());
    targets_.push_back(item);
    targets_.back().takes_opens = false;
  }
}

void service_routes::BuildDraws(const service& of) {
  for (const target& item : of.targets) {
    const std::uint32_t index = index_.at(item.id);
    if (targets_[index].takes_opens) {
      ++open_count_;
      draws_.insert(draws_.end(), std::max(1U, item.weight), index);
    }
  }
}

const route_target* service_routes::Find(target_id id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &targets_[found->second];
}

const route_target* service_routes::Draw(std::uint64_t hash) const {
  return draws_.empty() ? nullptr : &targets_[draws_[hash % draws_.size()]];
}

routing_table::routing_table(const environment_document& document,
                             const instance_list& instances,
                             const routing_table* previous)
    : revision_(document.revision) {
  services_.reserve(document.services.size());
  for (const service& item : document.services) {
    const service_routes* before =
        previous == nullptr ? nullptr : previous->Find(item.id);
    index_[item.id] = static_cast<std::uint32_t>(services_.size());
    services_.emplace_back(item, instances, before);
  }
}

const service_routes* routing_table::Find(service_id id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &services_[found->second];
}

}  // namespace corianderplank
