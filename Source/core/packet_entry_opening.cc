#include "core/packet_entry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// If a target does not respond within this time, the flow is placed on another
/// one. Several round trips between failure domains, and well below the time
/// after which a client repeats its packet first.
constexpr milliseconds kOpeningTimeout = 40ms;
/// Maximum number of targets that get the same copy of an opening packet.
/// Limits the work for a flow that no target accepts, independent of the size
/// of the service.
constexpr std::size_t kMaxTargetsPerCopy = 8;
/// Number of targets without a free slot that are skipped; then the flow waits
/// at the least busy one.
constexpr std::size_t kMaxBusyTargets = 2;

}  // namespace

bool packet_entry::CanPlaceFlows(time_point now, const flow_address& flow) {
  if (resumed_at_) {
    RecordDecision(now, result_code::dropped_after_sleep, flow, 0);
    return false;
  }
  return true;
}

bool packet_entry::RepeatOpening(time_point now,
                                 const flow_packet& packet,
                                 const fleet_route* route,
                                 flow_record& record) {
  const flow_address flow = packet.FromClient();
  record.last_packet_at = now;
  if (record.holder != 0 || record.pending_search != nullptr) {
    // A delayed copy: the client has already opened the flow.
    return true;
  }
  // The route may have changed since the previous copy.
  const auto is_named = [&](service_id service) {
    return route != nullptr &&
           std::any_of(route->shares.begin(), route->shares.end(),
                       [&](const traffic_share& item) {
                         return item.service == service && item.weight > 0;
                       });
  };
  if (!record.accepted.empty()) {
    const machine_address machine = record.accepted.back().machine;
    const fleet_target* target = index_->FindTarget(machine);
    if (target == nullptr || target->evacuated || !is_named(target->service)) {
      return false;
    }
    RecordDecision(now, result_code::opening_copied, flow, machine);
    DeliverOpening(now, flow, machine, packet.since_first_copy,
                   /*must_accept=*/true, packet.bytes);
    return true;
  }
  if (record.pending_opening == nullptr ||
      !is_named(record.pending_opening->service)) {
    return false;
  }
  counters_.Add(result_code::opening_copied);
  record.pending_opening->packet = packet.bytes;
  RetryOpening(now, flow, record);
  return true;
}

void packet_entry::OnOpeningPacket(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  if (!CanPlaceFlows(now, flow)) {
    return;
  }
  const fleet_route* route = index_->FindRoute(flow.service);
  const auto found = flows_.find(flow);
  if (found != flows_.end() && packet.copies > 0 &&
      RepeatOpening(now, packet, route, found->second)) {
    return;
  }
  if (route == nullptr) {
    if (IsSnapshotFresh(now)) {
      ResetFlow(now, result_code::reset_no_route, flow, packet.acknowledgement);
    } else {
      effects_.RequestConfirmation();
      RecordDecision(now, result_code::dropped_no_route, flow, 0);
    }
    return;
  }
  // Only the first copy proves that no target has accepted the flow: another
  // entry may have forwarded one that precedes a later copy.
  if (packet.copies == 0 && found == flows_.end() &&
      RefuseForLink(now, packet, *route)) {
    return;
  }
  flow_record& record = InsertFlow(now, flow);
  record = {};
  record.last_packet_at = now;
  record.pending_opening = std::make_unique<opening>();
  record.pending_opening->packet = packet.bytes;
  record.pending_opening->started_at = now - packet.since_first_copy;
  record.pending_opening->service =
      fleet_index::SelectService(*route, HashFlow(flow));
  PlaceFlow(now, flow, record);
}

bool packet_entry::RefuseForLink(time_point now,
                                 const flow_packet& packet,
                                 const fleet_route& route) {
  const flow_address flow = packet.FromClient();
  const link_admission admission = link_.Admit(now, flow, route.policy);
  if (admission.admitted) {
    return false;
  }
  RecordDecision(now, result_code::reset_link_full, flow, 0, admission.load);
  effects_.SendToClient(flow.client,
                        format_.EncodeReset(flow, packet.acknowledgement));
  return true;
}

void packet_entry::RetryOpening(time_point now,
                                const flow_address& flow,
                                flow_record& record) {
  const std::size_t tried = record.pending_opening->tried.size();
  PlaceFlow(now, flow, record);
  const auto found = flows_.find(flow);
  if (found == flows_.end() ||
      found->second.pending_opening->tried.size() > tried) {
    return;
  }
  // All targets were tried: begin again with the first one.
  found->second.pending_opening->tried.clear();
  found->second.pending_opening->refusal_count = 0;
  PlaceFlow(now, flow, found->second);
}

void packet_entry::PlaceFlow(time_point now,
                             const flow_address& flow,
                             flow_record& record) {
  opening& pending = *record.pending_opening;
  const auto choose = [&]() -> const fleet_target* {
    return pending.tried.size() < kMaxTargetsPerCopy
               ? loads_.Choose(now, index_->TargetsOf(pending.service),
                               HashFlow(flow), pending.tried)
               : nullptr;
  };
  const fleet_target* target =
      pending.busy.size() < kMaxBusyTargets ? choose() : nullptr;
  const bool must_accept = target == nullptr;
  if (must_accept) {
    // No target has a free slot: the least busy one must accept the flow. Each
    // of them has just reported its load.
    std::erase_if(pending.tried, [&](machine_address item) {
      return Contains(pending.busy, item);
    });
    target = choose();
  }
  if (target == nullptr && pending.refusal_count < pending.tried.size()) {
    // Targets that did not respond may be slow; the client's next copy tries
    // them again.
    return;
  }
  if (target == nullptr) {
    GiveUpOpening(now, flow, pending.service);
    return;
  }
  const machine_address machine = target->address.address;
  pending.tried.push_back(machine);
  pending.sent_at = now;
  loads_.OnFlowPlaced(machine);
  RecordDecision(now, result_code::flow_placed, flow, machine);
  DeliverOpening(
      now, flow, machine,
      std::chrono::duration_cast<milliseconds>(now - pending.started_at),
      must_accept, pending.packet);
  openings_.push_back({now + kOpeningTimeout, flow});
}

void packet_entry::GiveUpOpening(time_point now,
                                 const flow_address& flow,
                                 service_id service) {
  // An evacuation lasts until a later read shows its end, so that waiting for a
  // confirmation would only keep the client waiting.
  if (IsSnapshotFresh(now) || index_->HasOnlyEvacuated(now, service)) {
    ResetFlow(now, result_code::reset_no_target, flow, 0);
    return;
  }
  effects_.RequestConfirmation();
  RecordDecision(now, result_code::dropped_no_target, flow, 0);
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
  if (found == flows_.end() || found->second.pending_opening == nullptr ||
      !found->second.accepted.empty()) {
    return;
  }
  opening& pending = *found->second.pending_opening;
  if (!Contains(pending.tried, machine) || Contains(pending.busy, machine)) {
    return;
  }
  pending.busy.push_back(machine);
  counters_.Add(result_code::opening_moved_for_load);
  PlaceFlow(now, message.flow, found->second);
}

void packet_entry::LearnEvacuation(machine_address machine,
                                   const domain_evacuation& row) {
  const fleet_target* target = index_->FindTarget(machine);
  if (target == nullptr || !row.evacuated ||
      row.failure_domain != target->failure_domain ||
      row.revision <= index_->EvacuationOf(row.failure_domain).revision) {
    return;
  }
  index_ = std::make_shared<fleet_index>(
      WithEvacuation(index_->Snapshot(), row), own_failure_domain_);
}

void packet_entry::OnRefused(time_point now,
                             machine_address machine,
                             const mesh_message& message) {
  LearnEvacuation(machine, message.evacuation);
  const fleet_target* target = index_->FindTarget(machine);
  const bool is_needed = message.suspected && target != nullptr &&
                         !suspects_.OnPause(now, machine, message.pause,
                                            index_->TargetsOf(target->service));
  if (message.pause > 0ms) {
    // Else the refused flow counts as load until the target accepts another.
    loads_.OnLoadReport(now, machine, message.load);
  }
  if (!is_needed) {
    loads_.OnFlowRefused(now, machine, message.pause);
  }
  const auto found = flows_.find(message.flow);
  if (found == flows_.end() || found->second.pending_opening == nullptr ||
      !found->second.accepted.empty()) {
    return;
  }
  opening& pending = *found->second.pending_opening;
  if (!Contains(pending.tried, machine)) {
    return;
  }
  if (is_needed) {
    // The agent accepts it now, since DeliverOpening says so.
    std::erase(pending.tried, machine);
  } else {
    ++pending.refusal_count;
  }
  counters_.Add(result_code::opening_moved_for_refusal);
  PlaceFlow(now, message.flow, found->second);
}

void packet_entry::TickOpenings(time_point now) {
  while (!openings_.empty() && openings_.front().at <= now) {
    const due_flow due = openings_.front();
    openings_.pop_front();
    const auto found = flows_.find(due.flow);
    if (found == flows_.end() || found->second.pending_opening == nullptr ||
        !found->second.accepted.empty() ||
        found->second.pending_opening->sent_at + kOpeningTimeout > now) {
      continue;
    }
    loads_.OnOpeningTimeout(now, found->second.pending_opening->tried.back());
    counters_.Add(result_code::opening_moved_for_silence);
    PlaceFlow(now, due.flow, found->second);
  }
}

}  // namespace corianderplank
