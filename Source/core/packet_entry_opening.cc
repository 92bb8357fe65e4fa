#include "core/packet_entry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A target that takes longer is passed over: several round trips between
/// failure domains, and well below the client's first repeat.
constexpr milliseconds kOpeningPatience = 40ms;
/// Targets that one copy of an opening packet is sent to at most: work for a
/// flow that nobody takes stays bounded, whatever the size of the service.
constexpr std::size_t kMaxTries = 8;
/// Targets without a free slot that a flow is moved on from; then it waits at
/// the least busy one.
constexpr std::size_t kSoftTries = 2;

}  // namespace

bool packet_entry::MayPlace(time_point now, const flow_address& flow) {
  if (woke_at_) {
    Decide(now, result_code::dropped_after_sleep, flow, 0);
    return false;
  }
  return true;
}

void packet_entry::OnOpening(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  if (!MayPlace(now, flow)) {
    return;
  }
  const auto found = flows_.find(flow);
  if (found != flows_.end() && packet.copies > 0) {
    flow_record& known = found->second;
    known.heard_at = now;
    if (known.holder != 0 || known.sought != nullptr) {
      // A copy that was late: the client has opened the flow already.
      return;
    }
    if (!known.accepted.empty()) {
      Decide(now, result_code::opening_copied, flow,
             known.accepted.back().machine);
      DeliverOpening(flow, known.accepted.back().machine, packet.since_first_copy,
                     /*must_take=*/true, packet.bytes);
      return;
    }
    if (known.opened != nullptr) {
      counters_.Add(result_code::opening_copied);
      known.opened->packet = packet.bytes;
      CopyOpening(now, flow, known);
      return;
    }
  }
  const fleet_route* route = index_->FindRoute(flow.service);
  if (route == nullptr) {
    if (IsFresh(now)) {
      Reset(now, result_code::reset_no_route, flow, packet.acknowledgement);
    } else {
      effects_.WantConfirmation();
      Decide(now, result_code::dropped_no_route, flow, 0);
    }
    return;
  }
  flow_record& record = Insert(now, flow);
  record = {};
  record.heard_at = now;
  record.opened = std::make_unique<opening>();
  record.opened->packet = packet.bytes;
  record.opened->began_at = now - packet.since_first_copy;
  record.opened->service = fleet_index::ShareOf(*route, HashFlow(flow));
  Place(now, flow, record);
}

void packet_entry::CopyOpening(time_point now,
                               const flow_address& flow,
                               flow_record& record) {
  const std::size_t tried = record.opened->tried.size();
  Place(now, flow, record);
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.opened->tried.size() > tried) {
    return;
  }
  // All were tried: begin anew.
  found->second.opened->tried.clear();
  found->second.opened->refused = 0;
  Place(now, flow, found->second);
}

void packet_entry::Place(time_point now,
                         const flow_address& flow,
                         flow_record& record) {
  opening& open = *record.opened;
  const auto choose = [&]() -> const fleet_target* {
    return open.tried.size() < kMaxTries
               ? loads_.Choose(now, index_->TargetsOf(open.service),
                               HashFlow(flow), open.tried)
               : nullptr;
  };
  const fleet_target* target =
      open.busy.size() < kSoftTries ? choose() : nullptr;
  const bool must_take = target == nullptr;
  if (must_take) {
    // None is free: the least busy takes it; their loads are fresh now.
    std::erase_if(open.tried, [&](machine_address item) {
      return Contains(open.busy, item);
    });
    target = choose();
  }
  if (target == nullptr && open.refused < open.tried.size()) {
    // Those that were silent may be slow; the client's next copy asks again.
    return;
  }
  if (target == nullptr) {
    GiveUpOpening(now, flow);
    return;
  }
  const machine_address machine = target->address.address;
  open.tried.push_back(machine);
  open.sent_at = now;
  loads_.OnPlaced(machine);
  Decide(now, result_code::flow_placed, flow, machine);
  DeliverOpening(flow, machine,
                 std::chrono::duration_cast<milliseconds>(now - open.began_at),
                 must_take, open.packet);
  openings_.push_back({now + kOpeningPatience, flow});
}

void packet_entry::GiveUpOpening(time_point now, const flow_address& flow) {
  if (IsFresh(now)) {
    Reset(now, result_code::reset_no_target, flow, 0);
    return;
  }
  effects_.WantConfirmation();
  Decide(now, result_code::dropped_no_target, flow, 0);
  flows_.erase(flow);
}

void packet_entry::OnOpened(time_point /*now*/,
                            machine_address machine,
                            const mesh_message& message) {
  const auto found = flows_.find(message.flow);
  if (found == flows_.end()) {
    return;
  }
  flow_record& record = found->second;
  Erase(record.accepted, machine);
  record.accepted.push_back({machine, message.sequence});
}

void packet_entry::OnBusy(time_point now,
                          machine_address machine,
                          const mesh_message& message) {
  const auto found = flows_.find(message.flow);
  if (found == flows_.end() || found->second.opened == nullptr ||
      !found->second.accepted.empty()) {
    return;
  }
  opening& open = *found->second.opened;
  if (!Contains(open.tried, machine) || Contains(open.busy, machine)) {
    return;
  }
  open.busy.push_back(machine);
  counters_.Add(result_code::opening_moved_for_load);
  Place(now, message.flow, found->second);
}

void packet_entry::OnRefused(time_point now,
                             machine_address machine,
                             const mesh_message& message) {
  loads_.OnRefused(now, machine);
  const auto found = flows_.find(message.flow);
  if (found == flows_.end() || found->second.opened == nullptr ||
      !found->second.accepted.empty()) {
    return;
  }
  opening& open = *found->second.opened;
  if (!Contains(open.tried, machine)) {
    return;
  }
  ++open.refused;
  counters_.Add(result_code::opening_moved_for_refusal);
  Place(now, message.flow, found->second);
}

void packet_entry::TickOpenings(time_point now) {
  while (!openings_.empty() && openings_.front().at <= now) {
    const due_flow due = openings_.front();
    openings_.pop_front();
    const auto found = flows_.find(due.flow);
    if (found == flows_.end() || found->second.opened == nullptr ||
        !found->second.accepted.empty() ||
        found->second.opened->sent_at + kOpeningPatience > now) {
      continue;
    }
    loads_.OnSilent(now, found->second.opened->tried.back());
    counters_.Add(result_code::opening_moved_for_silence);
    Place(now, due.flow, found->second);
  }
}

}  // namespace corianderplank
