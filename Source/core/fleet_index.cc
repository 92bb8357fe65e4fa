#include "core/fleet_index.h"

#include <algorithm>
#include <iterator>

namespace corianderplank {
namespace {

/// Whether `left` takes precedence over `right` on the same machine: listed
/// targets before removed ones, then higher revisions first.
bool HasPrecedence(const fleet_target& left, const fleet_target& right) {
  if (left.removed != right.removed) {
    return !left.removed;
  }
  return left.revision > right.revision;
}

void AppendUnqueried(const std::vector<ranked_target>& ranked,
                     const std::vector<machine_address>& queried,
                     std::size_t count,
                     std::vector<machine_address>& found) {
  for (const ranked_target& item : ranked) {
    const machine_address machine = item.target->address.address;
    if (found.size() < count &&
        std::find(queried.begin(), queried.end(), machine) == queried.end() &&
        std::find(found.begin(), found.end(), machine) == found.end()) {
      found.push_back(machine);
    }
  }
}

}  // namespace

fleet_index::fleet_index(std::shared_ptr<const fleet_snapshot> snapshot,
                         std::uint64_t own_failure_domain)
    : snapshot_(std::move(snapshot)), own_failure_domain_(own_failure_domain) {
  const fleet_configuration* configuration = snapshot_->configuration.get();
  for (const fleet_target& item : snapshot_->targets) {
    if (configuration != nullptr && !configuration->HasService(item.service)) {
      continue;
    }
    const fleet_target*& here = by_machine_[item.address.address];
    if (here == nullptr || HasPrecedence(item, *here)) {
      here = &item;
    }
  }
  for (const auto& [machine, item] : by_machine_) {
    all_.push_back(item);
    by_service_[item->service].push_back(item);
  }
  dropped_.insert(snapshot_->dropped_routes.begin(),
                  snapshot_->dropped_routes.end());
}

const fleet_route* fleet_index::FindRoute(const endpoint& address) const {
  if (snapshot_->configuration == nullptr) {
    return nullptr;
  }
  const auto& routes = snapshot_->configuration->routes;
  const auto found = routes.find(address);
  return found == routes.end() ? nullptr : &found->second;
}

const fleet_target* fleet_index::FindTarget(machine_address machine) const {
  const auto found = by_machine_.find(machine);
  return found == by_machine_.end() ? nullptr : found->second;
}

std::vector<machine_address> fleet_index::Machines() const {
  std::vector<machine_address> machines;
  machines.reserve(by_machine_.size());
  for (const auto& [machine, item] : by_machine_) {
    machines.push_back(machine);
  }
  return machines;
}

service_id fleet_index::SelectService(const fleet_route& route,
                                      std::uint64_t flow_hash) {
  std::uint64_t total = 0;
  for (const traffic_share& share : route.shares) {
    total += share.weight;
  }
  if (total == 0) {
    return {};
  }
  // A separate hash makes shares and ranks independent of each other.
  std::uint64_t draw = MixHash(flow_hash, total) % total;
  for (const traffic_share& share : route.shares) {
    if (draw < share.weight) {
      return share.service;
    }
    draw -= share.weight;
  }
  return route.shares.back().service;
}

std::shared_ptr<const fleet_snapshot> WithEvacuation(
    const fleet_snapshot& snapshot,
    const domain_evacuation& row) {
  auto changed = std::make_shared<fleet_snapshot>(snapshot);
  std::erase_if(changed->evacuations, [&](const domain_evacuation& item) {
    return item.failure_domain == row.failure_domain;
  });
  changed->evacuations.push_back(row);
  for (fleet_target& item : changed->targets) {
    if (item.failure_domain == row.failure_domain) {
      item.evacuated = row.evacuated;
    }
  }
  return changed;
}

bool fleet_index::HasOnlyEvacuated(time_point now, service_id service) const {
  bool has_evacuated = false;
  for (const fleet_target* item : TargetsOf(service)) {
    if (item->AcceptsNewFlows(now)) {
      return false;
    }
    has_evacuated |=
        item->evacuated && !item->removed && item->state == target_state::ready;
  }
  return has_evacuated;
}

domain_evacuation fleet_index::EvacuationOf(
    std::uint64_t failure_domain) const {
  for (const domain_evacuation& row : snapshot_->evacuations) {
    if (row.failure_domain == failure_domain) {
      return row;
    }
  }
  return {};
}

cold_target_state fleet_index::ColdStateOf(time_point now,
                                           const fleet_target& target) const {
  if (snapshot_->configuration == nullptr || target.warm_up_until <= now) {
    return {};
  }
  const auto& policies = snapshot_->configuration->cold_starts;
  const auto found = policies.find(target.service);
  if (found == policies.end() || found->second.flows_per_second <= 0) {
    return {};
  }
  return {
      std::chrono::ceil<std::chrono::milliseconds>(target.warm_up_until - now),
      static_cast<std::uint32_t>(
          std::clamp(found->second.flows_per_second * 1000, 1.0, 1e9))};
}

const std::vector<const fleet_target*>& fleet_index::TargetsOf(
    service_id service) const {
  static const std::vector<const fleet_target*> kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second;
}

void fleet_index::Rank(const std::vector<const fleet_target*>& targets,
                       std::uint64_t flow_hash,
                       std::size_t count,
                       std::vector<ranked_target>& ranked) {
  ranked.clear();
  for (const fleet_target* item : targets) {
    ranked.push_back({MixHash(flow_hash, item->id.value), item});
  }
  const auto by_rank = [](const ranked_target& left,
                          const ranked_target& right) {
    return left.rank > right.rank;
  };
  const std::size_t result_count = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(result_count);
  if (result_count < ranked.size()) {
    std::nth_element(ranked.begin(), end, ranked.end(), by_rank);
    ranked.resize(result_count);
  }
  std::sort(ranked.begin(), ranked.end(), by_rank);
}

std::vector<const fleet_target*> fleet_index::Select(
    const std::vector<const fleet_target*>& targets,
    bool near) const {
  std::vector<const fleet_target*> selected;
  std::copy_if(targets.begin(), targets.end(), std::back_inserter(selected),
               [&](const fleet_target* item) {
                 return (item->failure_domain == own_failure_domain_) == near;
               });
  return selected;
}

std::vector<machine_address> fleet_index::NextMachinesToQuery(
    const fleet_route* route,
    std::uint64_t flow_hash,
    const std::vector<machine_address>& queried,
    std::size_t count) const {
  std::vector<machine_address> found;
  std::vector<ranked_target> ranked;
  for (const bool near : {true, false}) {
    for (std::size_t part = 0; route != nullptr && found.size() < count &&
                               part < route->shares.size();
         ++part) {
      Rank(Select(TargetsOf(route->shares[part].service), near), flow_hash,
           queried.size() + count, ranked);
      AppendUnqueried(ranked, queried, count, found);
    }
  }
  if (found.size() < count) {
    Rank(all_, flow_hash, all_.size(), ranked);
    AppendUnqueried(ranked, queried, count, found);
  }
  return found;
}

}  // namespace corianderplank
