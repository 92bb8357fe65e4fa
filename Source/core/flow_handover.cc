#include "core/flow_handover.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A successor starts within this time. Bounds the time in which an agent that
/// this seed never heard of can have run in between.
constexpr milliseconds kHandoverLifetime = 5000ms;
/// More parts than the flows of an agent can fill.
constexpr std::uint32_t kMaxParts = 512;

}  // namespace

std::vector<mesh_message> SplitHandover(const flow_handover& handover) {
  std::vector<mesh_message> parts;
  std::size_t begin = 0;
  do {
    const std::size_t end =
        std::min(handover.flows.size(), begin + kMaxFlowQueries);
    mesh_message part;
    part.kind = mesh_kind::flow_handover;
    part.service = handover.service;
    part.sender_started_ms = handover.started_ms;
    part.complete = handover.complete;
    part.part = static_cast<std::uint32_t>(parts.size());
    part.queries.assign(
        handover.flows.begin() + static_cast<std::ptrdiff_t>(begin),
        handover.flows.begin() + static_cast<std::ptrdiff_t>(end));
    parts.push_back(std::move(part));
    begin = end;
  } while (begin < handover.flows.size() && parts.size() < kMaxParts);
  for (mesh_message& part : parts) {
    part.part_count = static_cast<std::uint32_t>(parts.size());
    part.complete = handover.complete && begin == handover.flows.size();
  }
  return parts;
}

void handover_assembly::Add(const mesh_message& part) {
  if (part.part_count > kMaxParts || part.part >= part.part_count) {
    return;
  }
  if (part.sender_started_ms != started_ms_ || part.part_count != part_count_) {
    parts_.clear();
    started_ms_ = part.sender_started_ms;
    part_count_ = part.part_count;
  }
  mesh_message& kept = parts_[part.part];
  kept = part;
  kept.payload = {};
}

std::optional<flow_handover> handover_assembly::Whole() const {
  if (part_count_ == 0 || parts_.size() < part_count_) {
    return std::nullopt;
  }
  flow_handover handover;
  handover.service = parts_.begin()->second.service;
  handover.started_ms = started_ms_;
  handover.complete = true;
  for (const auto& [number, part] : parts_) {
    handover.complete &= part.complete;
    handover.flows.insert(handover.flows.end(), part.queries.begin(),
                          part.queries.end());
  }
  return handover;
}

std::vector<mesh_message> handover_assembly::Parts() const {
  std::vector<mesh_message> messages;
  messages.reserve(parts_.size());
  for (const auto& [number, part] : parts_) {
    messages.push_back(part);
  }
  return messages;
}

void handover_store::Add(time_point now,
                         machine_address machine,
                         const mesh_message& part) {
  item& kept = items_[machine];
  const time_point received_at = now - part.waited;
  if (part.sender_started_ms != kept.started_ms) {
    kept = {};
    kept.started_ms = part.sender_started_ms;
    kept.received_at = received_at;
  }
  kept.received_at = std::min(kept.received_at, received_at);
  kept.assembly.Add(part);
}

std::vector<mesh_message> handover_store::Unclaimed(time_point now) const {
  std::vector<mesh_message> messages;
  for (const auto& [machine, kept] : items_) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - kept.received_at);
    if (kept.successor_started_ms || age > kHandoverLifetime) {
      continue;
    }
    for (mesh_message& part : kept.assembly.Parts()) {
      part.members = {machine};
      part.waited = age;
      messages.push_back(std::move(part));
    }
  }
  return messages;
}

std::vector<mesh_message> handover_store::PartsFor(
    time_point now,
    machine_address machine,
    std::int64_t successor_started_ms) {
  const auto found = items_.find(machine);
  if (found == items_.end()) {
    return {};
  }
  item& kept = found->second;
  const bool is_successor = successor_started_ms != kept.started_ms &&
                            kept.successor_started_ms.value_or(
                                successor_started_ms) == successor_started_ms;
  if (!is_successor || now - kept.received_at > kHandoverLifetime) {
    items_.erase(found);
    return {};
  }
  kept.successor_started_ms = successor_started_ms;
  return kept.assembly.Parts();
}

void handover_store::Expire(time_point now) {
  std::erase_if(items_, [&](const auto& entry) {
    return now - entry.second.received_at > kHandoverLifetime;
  });
}

}  // namespace corianderplank
