#include "core/packet_agent.h"

#include "core/flow_census.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// An agent is not started again sooner after its end, so what has happened on
/// its machine within this time before its start has met no agent.
constexpr milliseconds kShortestRestart = 300ms;
/// How long an ended flow is remembered: its last packets may be repeated.
constexpr milliseconds kFinishedLifetime = 5000ms;
/// How long an entry's word that the target is leaving holds: it comes each
/// second, and three losses in a row are rare.
constexpr milliseconds kLeavingLifetime = 3500ms;
/// A target that has answered nothing for this long after a packet is looked
/// for: its client has sent the packet again by then.
constexpr milliseconds kSilentAfter = 250ms;
/// Entries that were heard within this time are told of a planned stop.
constexpr milliseconds kEntryLifetime = 5000ms;
/// Window of a flow: an end sends no more packets without an acknowledgement.
constexpr std::size_t kMaxHeldPackets = 16;
/// While a target has sent nothing but its acceptance, the client acknowledges
/// at most that.
constexpr std::uint32_t kHandshakeDistance = 1;

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
      started_at_(now) {}

bool packet_agent::KnowsAllFlows(time_point now, std::int64_t born_ms) const {
  // A target that started with this agent got no packet from an earlier one.
  // Times of day may have jumped since the target's start, so an entry that has
  // known it for longer goes first.
  const bool started_together =
      born_ms != 0 && born_ms != older_born_ms_ && settings_.started_ms != 0 &&
      born_ms > settings_.started_ms - kShortestRestart.count();
  return target_was_absent_ || settings_.first_start || started_together ||
         now - started_at_ > settings_.longest_flow;
}

void packet_agent::OnEntryMessage(time_point now,
                                  const endpoint& entry,
                                  const mesh_message& message) {
  entries_[entry] = now;
  if (message.service == settings_.service &&
      message.known_for > now - started_at_ + kShortestRestart) {
    older_born_ms_ = message.born_ms;
  }
  if (message.slots != 0 && message.service == settings_.service) {
    gate_.SetSlots(message.slots);
  }
  if (message.kind == mesh_kind::deliver) {
    OnDelivery(now, entry, message);
  } else if (message.kind == mesh_kind::ask) {
    OnQuestions(now, entry, message);
  } else if (message.kind == mesh_kind::list_flows) {
    OnListFlows(now, entry, message);
  } else if (message.kind == mesh_kind::drain) {
    leaving_told_at_ = now;
  } else {
    counters_.Add(result_code::unexpected_kind);
  }
}

void packet_agent::OnQuestions(time_point now,
                               const endpoint& entry,
                               const mesh_message& message) {
  mesh_message reply;
  reply.kind = mesh_kind::verdicts;
  reply.service = settings_.service;
  reply.load = {open_flows_, busy_.Permille(now)};
  reply.questions = message.questions;
  for (flow_question& item : reply.questions) {
    item.verdict = message.service == settings_.service
                       ? Judge(now, entry, item, message.born_ms)
                       : flow_verdict::denied;
  }
  effects_.SendToEntry(entry, reply);
}

void packet_agent::OnListFlows(time_point now,
                               const endpoint& entry,
                               const mesh_message& message) {
  mesh_message reply;
  reply.kind = mesh_kind::flows;
  reply.service = settings_.service;
  reply.load = {open_flows_, busy_.Permille(now)};
  reply.round = message.round;
  const bool is_ours = message.service == settings_.service;
  const bool fits = flows_.size() <= kMaxListedFlows;
  reply.complete = !is_ours || (fits && KnowsAllFlows(now, message.born_ms));
  if (is_ours && fits) {
    for (const auto& [flow, record] : flows_) {
      reply.flows.push_back(NumberOf(flow));
    }
  }
  effects_.SendToEntry(entry, reply);
}

flow_verdict packet_agent::Judge(time_point now,
                                 const endpoint& entry,
                                 const flow_question& question,
                                 std::int64_t born_ms) {
  const auto found = flows_.find(question.flow);
  if (found == flows_.end()) {
    return KnowsAllFlows(now, born_ms) ? flow_verdict::denied
                                       : flow_verdict::unsure;
  }
  flow_record& record = found->second;
  switch (record.phase) {
    case flow_phase::asked:
      return flow_verdict::unsure;
    case flow_phase::offered:
      if (question.acknowledgement - record.sequence > kHandshakeDistance) {
        return flow_verdict::denied;
      }
      SetPhase(record, flow_phase::open);
      break;
    case flow_phase::open:
    case flow_phase::finished:
      break;
  }
  record.entry = entry;
  record.claim_due = false;
  return flow_verdict::holds;
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
  if (message.service != settings_.service) {
    counters_.Add(result_code::delivery_wrong_service);
    Answer(now, packet->synchronize ? mesh_kind::refused : mesh_kind::denied,
           entry, flow, message.payload, true, 0);
    return;
  }
  const auto found = flows_.find(flow);
  if (packet->synchronize) {
    if (found == flows_.end() && (stopping_ || IsTargetDraining(now))) {
      counters_.Add(result_code::opening_after_leave);
      Answer(now, mesh_kind::refused, entry, flow, message.payload, false, 0);
      return;
    }
    if (found == flows_.end() && !message.must_take && gate_.IsFull()) {
      counters_.Add(result_code::opening_while_busy);
      Answer(now, mesh_kind::busy, entry, flow, {}, false, 0);
      return;
    }
    flow_record& record = Insert(now, flow);
    record.entry = entry;
    record.policy = message.policy;
    record.began_at = now - message.waited;
    HandOver(now, *packet);
    return;
  }
  if (found == flows_.end()) {
    if (KnowsAllFlows(now, message.born_ms)) {
      Answer(now, mesh_kind::denied, entry, flow,
             message.searching ? std::string_view() : message.payload, false,
             0);
      return;
    }
    // Only the target knows: it answers or gives the packet back.
    flow_record& record = Insert(now, flow);
    record.entry = entry;
    record.claim_due = true;
    record.asked_around = message.searching;
    HandOver(now, *packet);
    return;
  }
  flow_record& record = found->second;
  record.heard_at = now;
  if (message.searching || record.entry != entry) {
    record.claim_due = true;
  }
  record.entry = entry;
  record.policy = message.policy;
  record.asked_around |= message.searching;
  if (record.phase == flow_phase::offered && packet->acknowledge) {
    if (packet->acknowledgement - record.sequence > kHandshakeDistance) {
      // The client has chosen another target. This one would reset the flow.
      Answer(now, mesh_kind::denied, entry, flow,
             message.searching ? std::string_view() : message.payload, false,
             0);
      return;
    }
    SetPhase(record, flow_phase::open);
  }
  if (packet->acknowledge) {
    record.client_acknowledged = packet->acknowledgement;
  }
  if (packet->finish || packet->reset) {
    record.client_finished = true;
    EndRequest(now, flow, record, /*answered=*/false);
  }
  if (record.claim_due && (record.phase == flow_phase::open ||
                           record.phase == flow_phase::finished)) {
    record.claim_due = false;
    Answer(now, mesh_kind::holds, entry, flow, {}, false, 0);
  }
  if (!Hold(now, record, *packet)) {
    HandOver(now, *packet);
  }
}

bool packet_agent::Hold(time_point now,
                        flow_record& record,
                        const flow_packet& packet) {
  if (packet.payload_bytes == 0 || record.phase != flow_phase::open) {
    return false;
  }
  const std::uint32_t end = packet.sequence + packet.payload_bytes;
  // A flow is opened for its first request.
  const milliseconds waited =
      record.client_spoke || record.began_at == time_point{}
          ? 0ms
          : std::chrono::duration_cast<milliseconds>(now - record.began_at);
  const bool is_new = !record.client_spoke ||
                      static_cast<std::int32_t>(end - record.client_end) > 0;
  if (is_new) {
    record.client_spoke = true;
    record.client_end = end;
  }
  if (!record.held.empty()) {
    if (is_new && record.held.size() < kMaxHeldPackets) {
      record.held.emplace_back(packet.bytes);
    }
    return true;
  }
  if (!is_new || record.request_under_way) {
    return false;
  }
  record.request_under_way = true;
  const bool passes =
      gate_.Admit(now, packet.FromClient(), record.policy, waited);
  busy_.Set(now, gate_.CountAheadOfNew(now));
  if (passes) {
    return false;
  }
  counters_.Add(result_code::request_held);
  record.held.emplace_back(packet.bytes);
  return true;
}

void packet_agent::EndRequest(time_point now,
                              const flow_address& flow,
                              flow_record& record,
                              bool answered) {
  if (!record.request_under_way) {
    return;
  }
  record.request_under_way = false;
  record.held.clear();
  if (answered) {
    if (const auto took = gate_.Finish(now, flow)) {
      effects_.OnAnswered(*took);
    }
  } else {
    gate_.Cancel(flow);
  }
  ReleaseHeld(now);
  busy_.Set(now, gate_.CountAheadOfNew(now));
}

void packet_agent::ReleaseHeld(time_point now) {
  while (const auto flow = gate_.StartNext(now)) {
    const auto found = flows_.find(*flow);
    if (found == flows_.end()) {
      gate_.Cancel(*flow);
      continue;
    }
    for (const std::string& packet : found->second.held) {
      if (const auto held = format_.Decode(packet)) {
        HandOver(now, *held);
      }
    }
    found->second.held.clear();
  }
}

void packet_agent::HandOver(time_point now, const flow_packet& packet) {
  const bool wants_answer = packet.payload_bytes > 0 || packet.synchronize;
  if (wants_answer && unanswered_since_ == time_point{}) {
    unanswered_since_ = now;
  }
  effects_.SendToTarget(packet.bytes);
}

bool packet_agent::IsTargetUnresponsive(time_point now) const {
  return unanswered_since_ != time_point{} &&
         now - unanswered_since_ > kSilentAfter;
}

void packet_agent::OnTargetDatagram(time_point now, std::string_view bytes) {
  unanswered_since_ = time_point{};
  const auto packet = format_.Decode(bytes);
  if (!packet) {
    counters_.Add(result_code::malformed);
    return;
  }
  if (packet->returned) {
    OnReturned(now, *packet);
  } else {
    OnAnswer(now, *packet);
  }
}

void packet_agent::OnReturned(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    counters_.Add(result_code::unknown_flow);
    return;
  }
  const endpoint entry = found->second.entry;
  const std::string renewed = format_.RestoreReturned(packet.bytes);
  if (packet.synchronize) {
    counters_.Add(result_code::returned_opening);
    if (found->second.phase == flow_phase::asked) {
      Remove(now, flow);
    }
    Answer(now, mesh_kind::refused, entry, flow, renewed, false, 0);
    return;
  }
  counters_.Add(result_code::returned_packet);
  Remove(now, flow);
  Answer(now, mesh_kind::denied, entry, flow, renewed, false, 0);
}

void packet_agent::OnAnswer(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromTarget();
  flow_record& record = Insert(now, flow);
  record.heard_at = now;
  record.target_heard_at = now;
  if (packet.synchronize) {
    if (record.phase == flow_phase::asked) {
      SetPhase(record, flow_phase::offered);
    }
    record.sequence = packet.sequence;
    if (record.entry.IsValid()) {
      Answer(now, mesh_kind::opened, record.entry, flow, {}, false,
             packet.sequence);
    }
  } else if (packet.reset && record.phase == flow_phase::asked &&
             record.asked_around) {
    // The flow has ended here and may be open at another target.
    counters_.Add(result_code::reset_withheld);
    const endpoint entry = record.entry;
    Remove(now, flow);
    Answer(now, mesh_kind::denied, entry, flow, {}, false, 0);
    return;
  } else {
    if (packet.finish || packet.reset) {
      record.target_finished = true;
    }
    const bool ended =
        packet.reset || (record.client_finished && record.target_finished);
    SetPhase(record, ended ? flow_phase::finished : flow_phase::open);
    if (packet.payload_bytes > 0 || ended) {
      EndRequest(now, flow, record, packet.payload_bytes > 0);
    }
    if (record.claim_due && record.entry.IsValid()) {
      record.claim_due = false;
      Answer(now, mesh_kind::holds, record.entry, flow, {}, false, 0);
    }
  }
  effects_.SendToClient(flow.client, packet.bytes);
}

void packet_agent::Answer(time_point now,
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
  message.load = {open_flows_, busy_.Permille(now)};
  message.payload = packet;
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

packet_agent::flow_record& packet_agent::Insert(time_point now,
                                                const flow_address& flow) {
  const auto [found, added] = flows_.try_emplace(flow);
  if (added) {
    expiries_.push_back({now + kFinishedLifetime, flow});
    if (flows_.size() > settings_.max_flows && expiries_.front().flow != flow) {
      counters_.Add(result_code::flow_evicted);
      const flow_address oldest = expiries_.front().flow;
      expiries_.pop_front();
      Remove(now, oldest);
    }
  }
  found->second.heard_at = now;
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
  return leaving_told_at_ != time_point{} &&
         now - leaving_told_at_ < kLeavingLifetime;
}

void packet_agent::OnStop(time_point now) {
  stopping_ = true;
  stopped_at_ = now;
  for (const auto& [entry, heard_at] : entries_) {
    if (now - heard_at < kEntryLifetime) {
      Answer(now, mesh_kind::leaving, entry, {}, {}, false, 0);
    }
  }
}

void packet_agent::TellClient(const flow_address& flow) {
  const flow_record& record = flows_.at(flow);
  if (record.phase != flow_phase::open || !record.client_acknowledged) {
    return;
  }
  // The next request would be lost in the flow; a client that knows opens
  // another one for it.
  counters_.Add(result_code::reset_target_ended);
  effects_.SendToClient(flow.client,
                        format_.EncodeReset(flow, *record.client_acknowledged));
}

void packet_agent::OnTargetAbsent(time_point now, time_point asked_at) {
  target_was_absent_ = true;
  unanswered_since_ = time_point{};
  std::vector<flow_address> lost;
  for (const auto& [flow, record] : flows_) {
    // A target that has started since may have the others.
    const time_point seen_at = record.phase == flow_phase::asked
                                   ? record.heard_at
                                   : record.target_heard_at;
    if (seen_at < asked_at) {
      lost.push_back(flow);
    }
  }
  for (const flow_address& flow : lost) {
    TellClient(flow);
    Remove(now, flow);
  }
  if (!stopping_ || asked_at < stopped_at_) {
    return;
  }
  for (const auto& [entry, heard_at] : entries_) {
    Answer(now, mesh_kind::ended, entry, {}, {}, false, 0);
  }
}

void packet_agent::Tick(time_point now) {
  ReleaseHeld(now);
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const due_flow due = expiries_.front();
    expiries_.pop_front();
    const auto found = flows_.find(due.flow);
    if (found == flows_.end()) {
      continue;
    }
    const auto idle = now - found->second.heard_at;
    const bool keep = found->second.phase == flow_phase::open
                          ? idle < settings_.longest_flow
                          : idle < kFinishedLifetime;
    if (keep) {
      expiries_.push_back({now + kFinishedLifetime, due.flow});
    } else {
      Remove(now, due.flow);
    }
  }
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second > settings_.longest_flow;
  });
}

}  // namespace corianderplank
