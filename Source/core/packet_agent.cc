#include "core/packet_agent.h"

#include "core/flow_census.h"

#include <algorithm>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// An agent restarts no sooner than this after its end, so no agent ran on its
/// machine during this time before its start.
constexpr milliseconds kMinRestartDelay = 300ms;
/// How long an ended flow is kept: its last packets may be retransmitted.
constexpr milliseconds kFinishedFlowLifetime = 5000ms;
/// How long an entry's report that the target is draining stays valid. Entries
/// repeat the report every second, and three losses in a row are rare.
constexpr milliseconds kDrainReportLifetime = 3500ms;
/// A target that sends nothing for this long after a packet is probed. By then
/// its client has retransmitted the packet.
constexpr milliseconds kTargetResponseTimeout = 250ms;
/// Entries that sent a message within this time are notified of a planned stop.
constexpr milliseconds kEntryTimeout = 5000ms;
/// Time after the agent's start in which the window of new flows includes those
/// of an earlier agent.
constexpr milliseconds kFlowsUnknownFor = 1000ms;
/// Largest distance between the target's initial sequence number and the
/// client's acknowledgement while the target has sent only its acceptance.
constexpr std::uint32_t kMaxHandshakeAdvance = 1;

}  // namespace

packet_agent::packet_agent(time_point now,
                           const packet_agent_settings& settings,
                           const packet_format& format,
                           packet_agent_effects& effects,
                           counters& counters)
    : settings_(settings),
      format_(format),
      effects_(effects),
      counters_(counters),
      started_at_(now),
      evacuation_(settings.failure_domain),
      cold_budget_(settings.first_start ? now : now + kFlowsUnknownFor) {
  if (settings_.learns_pace) {
    scheduler_.LearnPace();
  }
}

bool packet_agent::KnowsAllFlows(time_point now,
                                 std::int64_t target_start_ms) const {
  // A target that started together with this agent received no packet from an
  // earlier agent. The wall clock may have jumped since the target's start, so
  // the report of an entry that has known the target for longer than this agent
  // runs takes precedence.
  const bool started_with_agent =
      target_start_ms != 0 && target_start_ms != earlier_target_start_ms_ &&
      settings_.started_ms != 0 &&
      target_start_ms > settings_.started_ms - kMinRestartDelay.count();
  return target_was_absent_ || settings_.first_start || handover_complete_ ||
         started_with_agent || now - started_at_ > settings_.longest_flow;
}

void packet_agent::OnEntryMessage(time_point now,
                                  const endpoint& entry,
                                  const mesh_message& message) {
  entries_[entry] = now;
  if (!held_requests_.IsEmpty()) {
    ReleaseHeldRequests(now);
  }
  if (message.service == settings_.service &&
      message.known_for > now - started_at_ + kMinRestartDelay) {
    earlier_target_start_ms_ = message.target_start_ms;
  }
  if (message.slots != 0 && message.service == settings_.service) {
    scheduler_.SetSlots(message.slots);
    OnTargetStart(now, message);
  }
  if (evacuation_.OnRow(now, message.evacuation)) {
    counters_.Add(message.evacuation.evacuated ? result_code::evacuation_began
                                               : result_code::evacuation_ended);
  }
  const bool is_search =
      message.kind == mesh_kind::flow_queries ||
      message.kind == mesh_kind::list_flows ||
      (message.kind == mesh_kind::deliver && message.searching);
  if (awaits_handover_ && is_search) {
    Defer(entry, message);
    return;
  }
  HandleEntryMessage(now, entry, message);
}

agent_load packet_agent::Load(time_point now) {
  constexpr std::uint32_t kPermille = 1000;
  return {open_flows_, load_.Permille(now),
          scheduler_.Pace().Limit() * kPermille,
          std::chrono::round<milliseconds>(scheduler_.Pace().ServiceTime())};
}

void packet_agent::HandleEntryMessage(time_point now,
                                      const endpoint& entry,
                                      const mesh_message& message) {
  if (message.kind == mesh_kind::deliver) {
    OnDelivery(now, entry, message);
  } else if (message.kind == mesh_kind::flow_queries) {
    OnFlowQueries(now, entry, message);
  } else if (message.kind == mesh_kind::list_flows) {
    OnListFlows(now, entry, message);
  } else if (message.kind == mesh_kind::drain) {
    drain_reported_at_ = now;
  } else if (message.kind != mesh_kind::evacuation) {
    counters_.Add(result_code::unexpected_kind);
  }
}

void packet_agent::OnFlowQueries(time_point now,
                                 const endpoint& entry,
                                 const mesh_message& message) {
  mesh_message reply;
  reply.kind = mesh_kind::flow_query_results;
  reply.service = settings_.service;
  reply.load = Load(now);
  reply.queries = message.queries;
  for (flow_query& item : reply.queries) {
    item.result =
        message.service == settings_.service
            ? QueryResultFor(now, entry, item, message.target_start_ms)
            : flow_query_result::denied;
  }
  effects_.SendToEntry(entry, reply);
}

void packet_agent::OnListFlows(time_point now,
                               const endpoint& entry,
                               const mesh_message& message) {
  mesh_message reply;
  reply.kind = mesh_kind::flows;
  reply.service = settings_.service;
  reply.load = Load(now);
  reply.round = message.round;
  const bool is_ours = message.service == settings_.service;
  const bool fits = flows_.size() <= kMaxFlowListEntries;
  reply.complete =
      !is_ours || (fits && KnowsAllFlows(now, message.target_start_ms));
  if (is_ours && fits) {
    for (const auto& [flow, record] : flows_) {
      reply.flows.push_back(ShortHashFlow(flow));
    }
  }
  effects_.SendToEntry(entry, reply);
}

flow_query_result packet_agent::QueryResultFor(time_point now,
                                               const endpoint& entry,
                                               const flow_query& query,
                                               std::int64_t target_start_ms) {
  const auto found = flows_.find(query.flow);
  if (found == flows_.end()) {
    return KnowsAllFlows(now, target_start_ms) ? flow_query_result::denied
                                               : flow_query_result::unknown;
  }
  flow_record& record = found->second;
  switch (record.phase) {
    case flow_phase::unconfirmed:
      return flow_query_result::unknown;
    case flow_phase::accepted:
      if (query.acknowledgement - record.target_sequence >
          kMaxHandshakeAdvance) {
        return flow_query_result::denied;
      }
      SetPhase(record, flow_phase::open);
      break;
    case flow_phase::open:
    case flow_phase::finished:
      break;
  }
  record.entry = entry;
  record.holder_report_due = false;
  return flow_query_result::holds;
}

void packet_agent::OnDelivery(time_point now,
                              const endpoint& entry,
                              const mesh_message& message) {
  const auto packet = format_.Decode(message.payload);
  if (!packet || packet->returned) {
    counters_.Add(result_code::malformed);
    return;
  }
  const flow_address flow = packet->FromClient();
  if (settings_.watches_answers && !message.profiles.empty() &&
      message.service == settings_.service) {
    watch_.OnPeers(now, message.profiles);
  }
  if (message.service != settings_.service) {
    counters_.Add(result_code::delivery_wrong_service);
    SendReply(now, packet->synchronize ? mesh_kind::refused : mesh_kind::denied,
              entry, flow, message.payload, true, 0);
    return;
  }
  const auto found = flows_.find(flow);
  if (packet->synchronize) {
    if (found == flows_.end() && (stopping_ || IsTargetDraining(now))) {
      counters_.Add(result_code::opening_after_leave);
      SendReply(now, mesh_kind::refused, entry, flow, message.payload, false,
                0);
      return;
    }
    cold_budget_.OnColdTarget(now, message.cold_for,
                              message.cold_flows_permille);
    const bool is_new = found == flows_.end();
    const bool may_be_new = is_new ||
                            found->second.phase == flow_phase::unconfirmed ||
                            found->second.phase == flow_phase::accepted;
    if (may_be_new && RefuseForDomainOrCold(now, entry, flow, is_new)) {
      return;
    }
    if (found == flows_.end() && !message.must_accept && scheduler_.IsFull()) {
      counters_.Add(result_code::opening_while_busy);
      SendReply(now, mesh_kind::busy, entry, flow, {}, false, 0);
      return;
    }
    if (found == flows_.end() && !message.must_accept &&
        RefuseWhileFailing(now, entry, flow)) {
      return;
    }
    if (found == flows_.end() && !message.suspected &&
        RefuseWhileSuspected(now, entry, flow, message.policy.repeatable)) {
      return;
    }
    flow_record& record = FindOrInsert(now, flow);
    record.entry = entry;
    record.policy = message.policy;
    record.opening_began_at = now - message.waited;
    cold_budget_.OnOpening(now);
    ForwardToTarget(now, *packet);
    return;
  }
  if (found == flows_.end()) {
    // An entry that names this agent as the holder knows more than a handover
    // that may be outdated.
    const bool knows_all = KnowsAllFlows(now, message.target_start_ms) &&
                           (message.searching || !handover_complete_);
    if (knows_all) {
      SendReply(now, mesh_kind::denied, entry, flow,
                message.searching ? std::string_view() : message.payload, false,
                0);
      return;
    }
    // Only the target knows the flow: it either answers or returns the packet.
    flow_record& record = FindOrInsert(now, flow);
    record.entry = entry;
    record.holder_report_due = true;
    record.sent_to_several = message.searching;
    ForwardToTarget(now, *packet);
    return;
  }
  flow_record& record = found->second;
  record.last_packet_at = now;
  if (message.searching || record.entry != entry) {
    record.holder_report_due = true;
  }
  record.entry = entry;
  record.policy = message.policy;
  record.sent_to_several |= message.searching;
  if (record.phase == flow_phase::accepted && packet->acknowledge) {
    if (packet->acknowledgement - record.target_sequence >
        kMaxHandshakeAdvance) {
      // The client has chosen another target; this one would reset the flow.
      SendReply(now, mesh_kind::denied, entry, flow,
                message.searching ? std::string_view() : message.payload, false,
                0);
      return;
    }
    SetPhase(record, flow_phase::open);
  }
  if (packet->acknowledge) {
    record.client_acknowledgement = packet->acknowledgement;
  }
  if (packet->finish || packet->reset) {
    record.client_finished = true;
    record.answer_pending &= !packet->reset;
    JudgeAnswer(now, flow, record);
    EndRequest(now, flow, record, /*answered=*/false);
  }
  if (record.holder_report_due && (record.phase == flow_phase::open ||
                                   record.phase == flow_phase::finished)) {
    record.holder_report_due = false;
    SendReply(now, mesh_kind::holds, entry, flow, {}, false, 0);
  }
  if (!QueueIfBusy(now, record, *packet)) {
    ForwardToTarget(now, *packet);
  }
}

void packet_agent::ForwardToTarget(time_point now, const flow_packet& packet) {
  const bool expects_response = packet.payload_bytes > 0 || packet.synchronize;
  if (expects_response && unanswered_since_ == time_point{}) {
    unanswered_since_ = now;
  }
  effects_.SendToTarget(packet.bytes);
}

bool packet_agent::IsTargetUnresponsive(time_point now) const {
  return unanswered_since_ != time_point{} &&
         now - unanswered_since_ > kTargetResponseTimeout;
}

void packet_agent::OnTargetDatagram(time_point now, std::string_view bytes) {
  unanswered_since_ = time_point{};
  last_target_datagram_at_ = now;
  const auto packet = format_.Decode(bytes);
  if (!packet) {
    counters_.Add(result_code::malformed);
    return;
  }
  if (packet->returned) {
    OnReturnedPacket(now, *packet);
  } else {
    OnTargetPacket(now, *packet);
  }
}

void packet_agent::OnReturnedPacket(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    counters_.Add(result_code::unknown_flow);
    return;
  }
  const endpoint entry = found->second.entry;
  const std::string restored = format_.RestoreReturned(packet.bytes);
  if (packet.synchronize) {
    counters_.Add(result_code::returned_opening);
    scheduler_.OnTargetFailed(now);
    ReportPaceChange();
    if (found->second.phase == flow_phase::unconfirmed) {
      Remove(now, flow);
    }
    SendReply(now, mesh_kind::refused, entry, flow, restored, false, 0);
    return;
  }
  counters_.Add(result_code::returned_packet);
  Remove(now, flow);
  SendReply(now, mesh_kind::denied, entry, flow, restored, false, 0);
}

void packet_agent::OnTargetPacket(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromTarget();
  flow_record& record = FindOrInsert(now, flow);
  record.last_packet_at = now;
  record.last_target_packet_at = now;
  if (packet.payload_bytes > 0) {
    const std::uint32_t end = packet.sequence + packet.payload_bytes;
    if (!record.target_data_end ||
        static_cast<std::int32_t>(end - *record.target_data_end) > 0) {
      record.target_data_end = end;
    }
  }
  if (packet.synchronize) {
    if (record.phase == flow_phase::unconfirmed) {
      SetPhase(record, flow_phase::accepted);
    }
    record.target_sequence = packet.sequence;
    if (record.entry.IsValid()) {
      SendReply(now, mesh_kind::opened, record.entry, flow, {}, false,
                packet.sequence);
    }
  } else if (packet.reset && record.phase == flow_phase::unconfirmed &&
             record.sent_to_several) {
    // The reset is withheld: the flow may be open at another target.
    counters_.Add(result_code::reset_withheld);
    const endpoint entry = record.entry;
    Remove(now, flow);
    SendReply(now, mesh_kind::denied, entry, flow, {}, false, 0);
    return;
  } else {
    // A target that has closed the flow resets it when the client's next
    // request crosses the close.
    const bool target_had_finished = record.target_finished;
    if (packet.finish || packet.reset) {
      record.target_finished = true;
    }
    const bool ended =
        packet.reset || (record.client_finished && record.target_finished);
    SetPhase(record, ended ? flow_phase::finished : flow_phase::open);
    if (record.request_active && packet.payload_bytes > 0) {
      breaker_.OnAnswered(now);
      ReleaseHeldRequests(now);
    } else if (record.request_active && packet.reset &&
               record.queued_packets.empty() && !target_had_finished) {
      counters_.Add(result_code::request_cut_by_target);
      breaker_.OnFailed(now);
      scheduler_.OnTargetFailed(now);
      ReportPaceChange();
    }
    const std::uint32_t data_end = packet.sequence + packet.payload_bytes;
    if (record.request_active) {
      record.answer_begin = packet.sequence;
      record.answer_end = data_end;
    } else if (packet.payload_bytes > 0) {
      // Packets may arrive in any order.
      if (static_cast<std::int32_t>(record.answer_begin - packet.sequence) >
          0) {
        record.answer_begin = packet.sequence;
      }
      if (static_cast<std::int32_t>(data_end - record.answer_end) > 0) {
        record.answer_end = data_end;
      }
    }
    if (packet.payload_bytes > 0 || ended) {
      EndRequest(now, flow, record, packet.payload_bytes > 0);
    }
    if (record.holder_report_due && record.entry.IsValid()) {
      record.holder_report_due = false;
      SendReply(now, mesh_kind::holds, record.entry, flow, {}, false, 0);
    }
  }
  effects_.SendToClient(flow.client, packet.bytes);
}

void packet_agent::SendReply(time_point now,
                             mesh_kind kind,
                             const endpoint& entry,
                             const flow_address& flow,
                             std::string_view packet,
                             bool wrong_service,
                             std::uint32_t sequence) {
  mesh_message message;
  message.kind = kind;
  message.flow = flow;
  message.service = settings_.service;
  message.wrong_service = wrong_service;
  message.sequence = sequence;
  message.load = Load(now);
  message.payload = packet;
  if (settings_.watches_answers && kind == mesh_kind::opened) {
    message.profiles = watch_.TakeDue(now, entry);
  }
  effects_.SendToEntry(entry, message);
}

void packet_agent::SetPhase(flow_record& record, flow_phase phase) {
  if (record.phase == flow_phase::open && phase != flow_phase::open) {
    --open_flows_;
  }
  if (record.phase != flow_phase::open && phase == flow_phase::open) {
    ++open_flows_;
  }
  record.phase = phase;
}

packet_agent::flow_record& packet_agent::FindOrInsert(
    time_point now,
    const flow_address& flow) {
  const auto [found, added] = flows_.try_emplace(flow);
  if (added) {
    expiries_.push_back({now + kFinishedFlowLifetime, flow});
    if (flows_.size() > settings_.max_flows && expiries_.front().flow != flow) {
      counters_.Add(result_code::flow_evicted);
      const flow_address oldest = expiries_.front().flow;
      expiries_.pop_front();
      Remove(now, oldest);
    }
  }
  found->second.last_packet_at = now;
  return found->second;
}

void packet_agent::Remove(time_point now, const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  EndRequest(now, flow, found->second, /*answered=*/false);
  SetPhase(found->second, flow_phase::finished);
  flows_.erase(flow);
}

bool packet_agent::IsTargetDraining(time_point now) const {
  return drain_reported_at_ != time_point{} &&
         now - drain_reported_at_ < kDrainReportLifetime;
}

void packet_agent::OnStop(time_point now) {
  stopping_ = true;
  stopped_at_ = now;
  for (const auto& [entry, last_message_at] : entries_) {
    if (now - last_message_at < kEntryTimeout) {
      SendReply(now, mesh_kind::leaving, entry, {}, {}, false, 0);
    }
  }
}

void packet_agent::ResetClient(const flow_address& flow) {
  const flow_record& record = flows_.at(flow);
  if (record.phase != flow_phase::open || !record.client_acknowledgement) {
    return;
  }
  // A request sent on this flow would be lost. After a reset the client opens
  // another flow for its next request.
  counters_.Add(result_code::reset_target_ended);
  effects_.SendToClient(
      flow.client, format_.EncodeReset(flow, *record.client_acknowledgement));
}

bool packet_agent::IsBusy(const flow_record& record) {
  if (record.phase == flow_phase::accepted) {
    return true;
  }
  const bool is_unacknowledged =
      record.target_data_end && record.client_acknowledgement &&
      static_cast<std::int32_t>(*record.target_data_end -
                                *record.client_acknowledgement) > 0;
  return record.phase == flow_phase::open &&
         (record.request_active || record.target_finished || is_unacknowledged);
}

void packet_agent::AddEvidence(time_point now,
                               target_evidence& evidence) const {
  evidence.last_packet_at = last_target_datagram_at_;
  evidence.unanswered = IsTargetUnresponsive(now);
  evidence.has_busy_flows =
      std::any_of(flows_.begin(), flows_.end(),
                  [](const auto& item) { return IsBusy(item.second); });
}

void packet_agent::OnTargetAbsent(time_point now,
                                  time_point checked_at,
                                  end_proof proof) {
  target_was_absent_ = true;
  scheduler_.OnTargetFailed(now);
  ReportPaceChange();
  unanswered_since_ = time_point{};
  std::vector<flow_address> lost_flows;
  for (const auto& [flow, record] : flows_) {
    // Flows with later packets may belong to a target that started after the
    // check began.
    const time_point last_seen_at = record.phase == flow_phase::unconfirmed
                                        ? record.last_packet_at
                                        : record.last_target_packet_at;
    if (last_seen_at < checked_at) {
      lost_flows.push_back(flow);
    }
  }
  for (const flow_address& flow : lost_flows) {
    if (MayResetFlow(proof, IsBusy(flows_.at(flow)))) {
      ResetClient(flow);
    }
    Remove(now, flow);
  }
  if (!stopping_ || checked_at < stopped_at_) {
    return;
  }
  for (const auto& [entry, last_message_at] : entries_) {
    SendReply(now, mesh_kind::ended, entry, {}, {}, false, 0);
  }
}

void packet_agent::Tick(time_point now) {
  ReleaseHeldRequests(now);
  ForwardQueuedRequests(now);
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const flow_expiry expiry = expiries_.front();
    expiries_.pop_front();
    const auto found = flows_.find(expiry.flow);
    if (found == flows_.end()) {
      continue;
    }
    const auto idle = now - found->second.last_packet_at;
    const bool keep = found->second.phase == flow_phase::open
                          ? idle < settings_.longest_flow
                          : idle < kFinishedFlowLifetime;
    if (keep) {
      expiries_.push_back({now + kFinishedFlowLifetime, expiry.flow});
    } else {
      Remove(now, expiry.flow);
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second > settings_.longest_flow;
  });
}

}  // namespace corianderplank
