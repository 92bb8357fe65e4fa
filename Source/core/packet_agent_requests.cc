#include "core/packet_agent.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Window of a flow: the most packets that an end sends without an
/// acknowledgement.
constexpr std::size_t kMaxQueuedPackets = 16;
/// Larger requests take several round trips to arrive, so that over a narrow
/// link they would occupy a slot for most of the time without any work.
constexpr std::uint64_t kTransferBytes = 2 * kWindowBytes;
/// Share of the client's timeout for which a request may be held: afterwards
/// it is forwarded, so that an answer can still be in time.
constexpr int kMaxHoldDivisor = 2;

}  // namespace

void packet_agent::OnTargetStart(time_point now, const mesh_message& message) {
  const auto agent_ran_for =
      std::chrono::duration_cast<milliseconds>(now - started_at_);
  const milliseconds ran_for =
      message.target_start_ms == 0 || settings_.started_ms == 0
          ? message.known_for
          : agent_ran_for +
                milliseconds(settings_.started_ms - message.target_start_ms);
  scheduler_.OnTargetStarted(now, message.target_start_ms,
                             std::max(ran_for, message.known_for));
  ReportPaceChange();
}

void packet_agent::ReportPaceChange() {
  const std::optional<pace_change> change = scheduler_.TakePaceChange();
  if (!change) {
    return;
  }
  counters_.Add(change->to < change->from ? result_code::pace_lowered
                                          : result_code::pace_raised);
  effects_.OnPaceChanged(*change);
}

void packet_agent::JudgeAnswer(time_point now,
                               const flow_address& flow,
                               flow_record& record) {
  if (!record.answer_pending) {
    return;
  }
  record.answer_pending = false;
  const auto change = watch_.OnAnswer(
      now, flow.service,
      {record.answer_end - record.answer_begin, record.service_time});
  if (change) {
    counters_.Add(change->suspected ? result_code::target_suspected
                                    : result_code::suspect_cleared);
    effects_.OnSuspicion(*change);
  }
}

bool packet_agent::QueueIfBusy(time_point now,
                               flow_record& record,
                               const flow_packet& packet) {
  if (packet.payload_bytes == 0 || record.phase != flow_phase::open) {
    return false;
  }
  const std::uint32_t end = packet.sequence + packet.payload_bytes;
  // A client opens a flow to send its first request, so that request's waiting
  // time includes the opening.
  const milliseconds waited =
      record.client_sent_data || record.opening_began_at == time_point{}
          ? 0ms
          : std::chrono::duration_cast<milliseconds>(now -
                                                     record.opening_began_at);
  const bool has_new_data =
      !record.client_sent_data ||
      static_cast<std::int32_t>(end - record.client_data_end) > 0;
  if (has_new_data) {
    record.client_sent_data = true;
    record.client_data_end = end;
  }
  if (!record.queued_packets.empty()) {
    if (has_new_data && record.queued_packets.size() < kMaxQueuedPackets) {
      record.queued_packets.emplace_back(packet.bytes);
    }
    return true;
  }
  if (!has_new_data) {
    return false;
  }
  const flow_address flow = packet.FromClient();
  if (record.request_active) {
    if (IsTransfer(flow, record) && scheduler_.OnArriving(now, flow)) {
      ForwardQueuedRequests(now);
    }
    return false;
  }
  JudgeAnswer(now, packet.FromClient(), record);
  record.request_active = true;
  record.request_begin = packet.sequence;
  if (HoldWhileFailing(now, flow, record, waited)) {
    record.queued_packets.emplace_back(packet.bytes);
    return true;
  }
  const bool admitted =
      (IsTransfer(flow, record) && scheduler_.OnArriving(now, flow)) ||
      scheduler_.Admit(now, flow, record.policy, waited);
  load_.Set(now, scheduler_.CountAheadOfNew(now));
  if (admitted) {
    return false;
  }
  counters_.Add(result_code::request_held);
  record.queued_packets.emplace_back(packet.bytes);
  return true;
}

bool packet_agent::IsTransfer(const flow_address& flow,
                              const flow_record& record) const {
  const std::uint64_t arrived = record.client_data_end - record.request_begin;
  return std::max(arrived, request_sizes_.Expected(flow.service)) >
         kTransferBytes;
}

void packet_agent::EndRequest(time_point now,
                              const flow_address& flow,
                              flow_record& record,
                              bool answered) {
  if (!record.request_active) {
    return;
  }
  record.request_active = false;
  record.queued_packets.clear();
  held_requests_.Remove(flow);
  if (answered) {
    request_sizes_.Learn(flow.service,
                         record.client_data_end - record.request_begin);
    if (const auto service_time = scheduler_.Finish(now, flow)) {
      effects_.OnAnswered(*service_time);
      record.answer_pending = settings_.watches_answers;
      record.service_time = *service_time;
      ReportPaceChange();
    }
  } else {
    scheduler_.Cancel(flow);
  }
  ForwardQueuedRequests(now);
  load_.Set(now, scheduler_.CountAheadOfNew(now));
}

void packet_agent::ForwardQueuedRequests(time_point now) {
  while (const auto flow = scheduler_.StartNext(now)) {
    const auto found = flows_.find(*flow);
    if (found == flows_.end()) {
      scheduler_.Cancel(*flow);
      continue;
    }
    ForwardQueuedPackets(now, found->second);
  }
}

void packet_agent::ForwardQueuedPackets(time_point now, flow_record& record) {
  for (const std::string& packet : record.queued_packets) {
    if (const auto decoded = format_.Decode(packet)) {
      ForwardToTarget(now, *decoded);
    }
  }
  record.queued_packets.clear();
}

bool packet_agent::HoldWhileFailing(time_point now,
                                    const flow_address& flow,
                                    const flow_record& record,
                                    milliseconds waited) {
  const milliseconds limit = record.policy.timeout / kMaxHoldDivisor - waited;
  if (record.policy.repeatable || limit <= 0ms || !breaker_.IsFailing()) {
    return false;
  }
  counters_.Add(result_code::request_held_while_failing);
  held_requests_.Add({flow, now - waited, now + limit});
  return true;
}

void packet_agent::ReleaseHeldRequests(time_point now) {
  const std::vector<held_request> released = breaker_.IsFailing()
                                                 ? held_requests_.TakeDue(now)
                                                 : held_requests_.TakeAll();
  for (const held_request& item : released) {
    flow_record& record = flows_.at(item.flow);
    if (scheduler_.Admit(
            now, item.flow, record.policy,
            std::chrono::duration_cast<milliseconds>(now - item.began_at))) {
      ForwardQueuedPackets(now, record);
    }
  }
}

}  // namespace corianderplank
