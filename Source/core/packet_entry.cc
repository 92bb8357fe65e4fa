#include "core/packet_entry.h"

#include <algorithm>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A longer gap between two calls means that the process was suspended. Above
/// the scheduling delays of a slow machine, below the time limits for targets
/// that leave.
constexpr milliseconds kSuspensionThreshold = 1000ms;
/// After this time a resumed process continues without a confirmation.
constexpr milliseconds kResumeConfirmationTimeout = 2500ms;
/// An older snapshot does not prove that a missing route or target does not
/// exist.
constexpr milliseconds kSnapshotLifetime = 2000ms;
/// Number of packets that are buffered until the first configuration.
constexpr std::size_t kMaxEarlyPackets = 256;
/// Used until a configuration sets the idle timeout of flows.
constexpr milliseconds kDefaultIdleTimeout = 15000ms;
/// Maximum distance between an acknowledgement number of a flow and the
/// target's initial sequence number.
constexpr std::uint32_t kMaxFlowBytes = 1U << 30U;

}  // namespace

packet_entry::packet_entry(std::uint64_t own_failure_domain,
                           const packet_format& format,
                           packet_entry_effects& effects,
                           counters& counters,
                           const packet_entry_limits& limits)
    : format_(format),
      effects_(effects),
      counters_(counters),
      limits_(limits),
      own_failure_domain_(own_failure_domain),
      loads_(own_failure_domain),
      search_rate_limiter_(limits.search_bytes_per_second),
      link_(limits.link_bytes_per_second),
      index_(
          std::make_shared<fleet_index>(std::make_shared<fleet_snapshot>())) {}

void packet_entry::OnSnapshot(time_point now,
                              std::shared_ptr<const fleet_snapshot> snapshot) {
  DetectSuspension(now);
  index_ =
      std::make_shared<fleet_index>(std::move(snapshot), own_failure_domain_);
  loads_.Retain(*index_);
  peers_.Retain(*index_);
  suspects_.Retain(*index_);
  loads_.SetEntryCount(index_->Snapshot().entries);
  PruneEndedTargets();
  agents_.Retain(*index_);
  ApplyEndedTargets(now);
  if (resumed_at_ && index_->Snapshot().confirmed_at >= *resumed_at_) {
    resumed_at_.reset();
  }
  if (index_->Snapshot().configuration != nullptr) {
    for (const std::string& bytes : std::exchange(early_packets_, {})) {
      OnClientDatagram(now, bytes);
    }
  }
}

void packet_entry::DetectSuspension(time_point now) {
  if (last_call_at_ != time_point{} &&
      now - last_call_at_ > kSuspensionThreshold) {
    resumed_at_ = now;
    effects_.RequestConfirmation();
  }
  last_call_at_ = now;
  if (resumed_at_ && now - *resumed_at_ > kResumeConfirmationTimeout) {
    resumed_at_.reset();
  }
}

bool packet_entry::IsSnapshotFresh(time_point now) const {
  return !resumed_at_ && index_->Snapshot().confirmed_at != time_point{} &&
         now - index_->Snapshot().confirmed_at < kSnapshotLifetime;
}

void packet_entry::RecordDecision(time_point now,
                                  result_code code,
                                  const flow_address& flow,
                                  machine_address machine,
                                  const std::optional<link_load>& link) {
  counters_.Add(code);
  const fleet_snapshot& snapshot = index_->Snapshot();
  flow_decision decision;
  decision.code = code;
  decision.flow = flow;
  decision.machine = machine;
  decision.link = link;
  if (snapshot.configuration != nullptr) {
    decision.configuration_version = snapshot.configuration->version;
  }
  decision.snapshot_age =
      std::chrono::duration_cast<milliseconds>(now - snapshot.confirmed_at);
  effects_.OnDecision(decision);
}

void packet_entry::OnClientDatagram(time_point now, std::string_view bytes) {
  DetectSuspension(now);
  const auto packet = format_.Decode(bytes);
  const bool plausible = packet && !packet->returned &&
                         packet->source.IsValid() &&
                         !(packet->synchronize && packet->acknowledge);
  if (!plausible) {
    counters_.Add(result_code::malformed);
    return;
  }
  if (index_->Snapshot().configuration == nullptr) {
    BufferEarlyPacket(now, *packet);
  } else if (packet->synchronize) {
    OnOpeningPacket(now, *packet);
  } else {
    OnFlowPacket(now, *packet);
  }
}

void packet_entry::BufferEarlyPacket(time_point now,
                                     const flow_packet& packet) {
  if (early_packets_.size() < kMaxEarlyPackets) {
    early_packets_.emplace_back(packet.bytes);
    return;
  }
  RecordDecision(now, result_code::dropped_no_configuration,
                 packet.FromClient(), 0);
}

void packet_entry::OnFlowPacket(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  if (index_->IsDropped(flow.service)) {
    ResetFlow(now, result_code::reset_route_dropped, flow,
              packet.acknowledgement);
    return;
  }
  if (link_.IsNarrow()) {
    const fleet_route* route = index_->FindRoute(flow.service);
    link_.OnPacket(now, packet,
                   route == nullptr ? request_policy() : route->policy);
  }
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    StartSearch(now, packet, InsertFlow(now, flow), 0);
    return;
  }
  flow_record& record = found->second;
  record.last_packet_at = now;
  if (record.holder == 0 && !record.accepted.empty()) {
    // The client has chosen the target whose sequence number it acknowledges.
    const auto chosen =
        std::min_element(record.accepted.begin(), record.accepted.end(),
                         [&](const acceptance& left, const acceptance& right) {
                           return packet.acknowledgement - left.sequence <
                                  packet.acknowledgement - right.sequence;
                         });
    if (packet.acknowledgement - chosen->sequence < kMaxFlowBytes) {
      record.holder = chosen->machine;
      record.pending_opening.reset();
      record.pending_search.reset();
    }
  }
  if (record.holder != 0) {
    Deliver(flow, record.holder, false, packet.bytes);
  } else if (record.pending_search != nullptr) {
    ContinueSearch(now, packet, record);
  } else {
    StartSearch(now, packet, record, 0);
  }
}

void packet_entry::OnAgentMessage(time_point now,
                                  machine_address machine,
                                  const mesh_message& message) {
  DetectSuspension(now);
  switch (message.kind) {
    case mesh_kind::opened:
      loads_.OnLoadReport(now, machine, message.load);
      if (!message.profiles.empty()) {
        peers_.Add(now, message.service, machine, message.profiles);
      }
      OnOpened(now, machine, message);
      return;
    case mesh_kind::holds:
      loads_.OnLoadReport(now, machine, message.load);
      OnHolderFound(now, machine, message.flow);
      return;
    case mesh_kind::flow_query_results:
      loads_.OnLoadReport(now, machine, message.load);
      OnQueryResults(now, machine, message);
      return;
    case mesh_kind::flows:
      loads_.OnLoadReport(now, machine, message.load);
      OnFlowList(now, machine, message);
      return;
    case mesh_kind::denied:
      OnDenied(now, machine, message);
      return;
    case mesh_kind::refused:
      OnRefused(now, machine, message);
      return;
    case mesh_kind::busy:
      loads_.OnLoadReport(now, machine, message.load);
      OnBusy(now, machine, message);
      return;
    case mesh_kind::ended:
      OnTargetEnded(now, machine);
      return;
    case mesh_kind::leaving:
      loads_.OnAgentLeaving(now, machine);
      return;
    default:
      counters_.Add(result_code::unexpected_kind);
  }
}

mesh_message packet_entry::MakeMessage(mesh_kind kind,
                                       machine_address machine) const {
  mesh_message message;
  message.kind = kind;
  if (const fleet_target* target = index_->FindTarget(machine)) {
    message.service = target->service;
    message.slots = target->slots;
    message.target_start_ms = target->removed ? 0 : target->target_start_ms;
    message.known_for = std::chrono::duration_cast<milliseconds>(
        last_call_at_ - std::min(last_call_at_, target->first_seen_at));
  }
  return message;
}

mesh_message packet_entry::MakeDelivery(const flow_address& flow,
                                        machine_address machine,
                                        std::string_view packet) const {
  mesh_message message = MakeMessage(mesh_kind::deliver, machine);
  message.flow = flow;
  message.must_accept = true;
  if (const fleet_route* route = index_->FindRoute(flow.service)) {
    message.policy = route->policy;
  }
  message.payload = packet;
  return message;
}

void packet_entry::Deliver(const flow_address& flow,
                           machine_address machine,
                           bool searching,
                           std::string_view packet) {
  mesh_message message = MakeDelivery(flow, machine, packet);
  message.searching = searching;
  effects_.SendToAgent(machine, message);
}

void packet_entry::DeliverOpening(time_point now,
                                  const flow_address& flow,
                                  machine_address machine,
                                  milliseconds waited,
                                  bool must_accept,
                                  std::string_view packet) {
  mesh_message message = MakeDelivery(flow, machine, packet);
  message.waited = waited;
  message.must_accept = must_accept;
  if (const fleet_target* target = index_->FindTarget(machine)) {
    message.evacuation = index_->EvacuationOf(target->failure_domain);
    const cold_target_state cold = index_->ColdStateOf(last_call_at_, *target);
    message.cold_for = cold.remaining;
    message.cold_flows_permille = cold.flows_permille;
  }
  message.suspected = suspects_.IsNeeded(now, machine);
  message.profiles = peers_.TakeDue(now, message.service, machine);
  effects_.SendToAgent(machine, message);
}

void packet_entry::ResetFlow(time_point now,
                             result_code code,
                             const flow_address& flow,
                             std::uint32_t sequence) {
  RecordDecision(now, code, flow, 0);
  effects_.SendToClient(flow.client, format_.EncodeReset(flow, sequence));
  flows_.erase(flow);
}

void packet_entry::Tick(time_point now) {
  DetectSuspension(now);
  TickOpenings(now);
  while (!searches_.empty() && searches_.begin()->first <= now) {
    const auto [at, flow] = *searches_.begin();
    searches_.erase(searches_.begin());
    TickSearch(now, at, flow);
  }
  ExpireFlows(now);
  link_.Expire(now);
  Flush();
}

std::optional<time_point> packet_entry::NextTick() const {
  std::optional<time_point> next;
  if (!openings_.empty()) {
    next = openings_.front().at;
  }
  if (!searches_.empty() && (!next || searches_.begin()->first < *next)) {
    next = searches_.begin()->first;
  }
  return next;
}

packet_entry::flow_record& packet_entry::InsertFlow(time_point now,
                                                    const flow_address& flow) {
  const auto [found, added] = flows_.try_emplace(flow);
  if (added) {
    expiries_.push_back({now + kDefaultIdleTimeout, flow});
    if (flows_.size() > limits_.max_flows && expiries_.front().flow != flow) {
      counters_.Add(result_code::flow_evicted);
      flows_.erase(expiries_.front().flow);
      expiries_.pop_front();
    }
  }
  found->second.last_packet_at = now;
  return found->second;
}

void packet_entry::ExpireFlows(time_point now) {
  const fleet_snapshot& snapshot = index_->Snapshot();
  const milliseconds idle = snapshot.configuration != nullptr &&
                                    snapshot.configuration->idle_timeout > 0ms
                                ? snapshot.configuration->idle_timeout
                                : kDefaultIdleTimeout;
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const due_flow due = expiries_.front();
    expiries_.pop_front();
    const auto found = flows_.find(due.flow);
    if (found == flows_.end()) {
      continue;
    }
    if (now - found->second.last_packet_at >= idle) {
      flows_.erase(found);
    } else {
      expiries_.push_back({now + kDefaultIdleTimeout, due.flow});
    }
  }
}

void packet_entry::Erase(std::vector<acceptance>& from,
                         machine_address machine) {
  std::erase_if(
      from, [&](const acceptance& item) { return item.machine == machine; });
}

}  // namespace corianderplank
