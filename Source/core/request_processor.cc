#include "core/request_processor.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Load of one open feed, in thousandths of a slot.
constexpr std::uint32_t kFeedLoadPermille = 20;
/// A feed is not read further while this many messages are unacknowledged.
constexpr std::size_t kMaxUnacknowledgedFeedMessages = 32;
/// Maximum number of calls to the backend server for an idempotent request, or
/// for a feed since its last message.
constexpr std::uint8_t kMaxBackendCalls = 2;

}  // namespace

void request_processor::Configure(time_point now,
                                  const service& configuration) {
  slot_ramp_.Configure(now, configuration.cold_start);
  const std::uint32_t slots = state_.settings.slots;
  admission_queue_.Configure(configuration.classes,
                             configuration.queue_per_slot * slots, slots);
}

std::uint32_t request_processor::AllowedSlots(time_point now) const {
  return slot_ramp_.SlotLimit(now, state_.settings.slots);
}

void request_processor::AdvanceBase(flow_record& flow, std::uint32_t oldest) {
  if (oldest <= flow.base) {
    return;
  }
  flow.base = oldest;
  std::erase_if(flow.requests, [&](request_handle handle) {
    request_record* record = state_.requests.Find(handle);
    if (record == nullptr) {
      return true;
    }
    if (record->sequence >= oldest) {
      return false;
    }
    if (record->state == request_state::queued) {
      admission_queue_.Remove(handle);
    }
    ReleaseFeed(*record);
    // The caller advanced its window past this request, so it has the whole
    // answer and the last acknowledgement was lost.
    if (!record->abandoned_by_caller) {
      MarkAnswered(*record);
    }
    if (record->executing) {
      // OnExecutionResult releases the slot and removes the record.
      record->state = request_state::refused;
      state_.effects.CancelExecution(PackHandle(handle));
      record->flow = {};
      return true;
    }
    state_.requests.Remove(handle);
    return true;
  });
}

request_handle request_processor::FindSequence(const flow_record& flow,
                                               std::uint32_t sequence) {
  for (const request_handle handle : flow.requests) {
    const request_record* record = state_.requests.Find(handle);
    if (record != nullptr && record->sequence == sequence) {
      return handle;
    }
  }
  return {};
}

void request_processor::OnRequest(time_point now,
                                  time_point arrived_at,
                                  flow_record& flow,
                                  const packet& value) {
  AdvanceBase(flow, value.oldest_sequence);
  if (value.sequence < flow.base) {
    state_.counted.Add(result_code::below_window);
    return;
  }
  if (value.sequence - flow.base >= kWindowSize) {
    state_.counted.Add(result_code::above_window);
    return;
  }
  const request_handle known = FindSequence(flow, value.sequence);
  if (request_record* record = state_.requests.Find(known)) {
    state_.counted.Add(result_code::duplicate_request);
    replies_.SendState(flow, *record);
    return;
  }
  request_record record;
  record.flow = flow.id;
  record.sequence = value.sequence;
  record.request_id = value.request_id;
  record.work = value.work;
  record.traffic_class = value.traffic_class;
  record.idempotent = value.idempotent || value.work != work_kind::request;
  record.received_at = now;
  record.deadline = arrived_at + value.time;
  record.position = value.position;
  record.count = value.count;
  record.payload = value.payload;
  const request_handle handle = state_.requests.Insert(std::move(record));
  flow.requests.push_back(handle);
  Admit(now, flow, handle);
}

result_code request_processor::ReasonToRefuse(
    time_point now,
    const flow_record& flow,
    const request_record& record) const {
  if (flow.state == flow_state::fenced) {
    return result_code::fenced;
  }
  if (!state_.daemon_lifecycle.IsServing()) {
    return result_code::draining;
  }
  if (record.deadline <= now) {
    return result_code::deadline_passed;
  }
  return result_code::answered;
}

void request_processor::Admit(time_point now,
                              flow_record& flow,
                              request_handle handle) {
  request_record& record = *state_.requests.Find(handle);
  const result_code reason = ReasonToRefuse(now, flow, record);
  if (reason != result_code::answered) {
    Refuse(handle, reason);
    return;
  }
  if (flow.state == flow_state::reserved) {
    flow.state = flow_state::open;
    --state_.reserved;
  }
  if (record.work == work_kind::feed) {
    ++open_feeds_;
    record.counted_as_open_feed = true;
    record.state = request_state::running;
    Start(now, handle, record);
    return;
  }
  const admission_result admitted =
      admission_queue_.Push(record.traffic_class, {handle, record.deadline});
  if (!admitted.accepted) {
    Refuse(handle, result_code::overloaded);
    return;
  }
  if (admitted.displaced) {
    Refuse(*admitted.displaced, result_code::displaced);
  }
  StartQueuedRequests(now);
  if (record.state == request_state::queued) {
    replies_.SendState(flow, record);
  }
}

void request_processor::Refuse(request_handle handle, result_code code) {
  request_record& record = *state_.requests.Find(handle);
  if (record.may_have_run && OutcomeOf(code) == outcome_kind::not_run) {
    code = result_code::backend_lost;
  }
  ReleaseFeed(record);
  record.state = request_state::refused;
  record.code = code;
  record.payload.clear();
  record.payload.shrink_to_fit();
  state_.counted.Add(code);
  state_.effects.RecordEvent({record.flow, record.request_id, code});
  if (const flow_record* flow = state_.flows.Find(record.flow)) {
    replies_.SendRefusal(*flow, record);
  }
}

void request_processor::StartQueuedRequests(time_point now) {
  const std::uint32_t allowed = AllowedSlots(now);
  while (occupied_slots_ < allowed) {
    const auto next = admission_queue_.Pop(allowed - occupied_slots_);
    if (!next) {
      return;
    }
    request_record& record = *state_.requests.Find(*next);
    ++occupied_slots_;
    if (record.deadline <= now) {
      ReleaseSlot(record);
      Refuse(*next, result_code::deadline_passed);
      continue;
    }
    record.state = request_state::running;
    Start(now, *next, record);
  }
}

void request_processor::Start(time_point now,
                              request_handle handle,
                              request_record& record) {
  record.executing = true;
  ++record.tries;
  execution call;
  call.id = PackHandle(handle);
  call.request_id = record.request_id;
  call.flow = record.flow;
  call.work = record.work;
  call.traffic_class = record.traffic_class;
  call.idempotent = record.idempotent;
  call.position = record.position;
  call.count = record.count;
  call.timeout = std::max(
      1ms, std::chrono::ceil<std::chrono::milliseconds>(record.deadline - now));
  call.payload = record.payload;
  state_.effects.StartExecution(call);
}

void request_processor::ReleaseSlot(request_record& record) {
  if (record.work == work_kind::feed) {
    return;
  }
  occupied_slots_ -= std::min(occupied_slots_, 1U);
  admission_queue_.OnFinished(record.traffic_class);
}

void request_processor::MarkAnswered(request_record& record) {
  if (record.state == request_state::answering) {
    record.state = request_state::answered;
    state_.counted.Add(result_code::answered);
  }
}

void request_processor::ReleaseFeed(request_record& record) {
  open_feeds_ -= record.counted_as_open_feed ? 1 : 0;
  record.counted_as_open_feed = false;
}

void request_processor::OnExecutionResult(time_point now,
                                          std::uint64_t id,
                                          execution_result result) {
  const request_handle handle = UnpackHandle(id);
  request_record* record = state_.requests.Find(handle);
  if (record == nullptr || !record->executing) {
    return;
  }
  record->executing = false;
  ReleaseSlot(*record);
  // A feed that delivers messages does not show that requests succeed, because
  // they use other paths of the backend server.
  const bool feed_delivers = record->work == work_kind::feed &&
                             result.status == execution_status::completed;
  const bool judges_backend = record->flow != flow_id{} && !feed_delivers &&
                              record->state == request_state::running;
  if (judges_backend) {
    backend_monitor_.OnResult(now, result.status);
  }
  if (record->flow == flow_id{}) {
    state_.requests.Remove(handle);
  } else {
    FinishExecution(now, handle, *record, std::move(result));
  }
  StartQueuedRequests(now);
}

void request_processor::FinishExecution(time_point now,
                                        request_handle handle,
                                        request_record& record,
                                        execution_result result) {
  if (record.state != request_state::running) {
    return;  // Cancelled or, if it is a feed, fenced during the call.
  }
  switch (result.status) {
    case execution_status::completed:
      if (record.work == work_kind::feed) {
        AppendFeedMessages(now, handle, record, std::move(result.messages));
        return;
      }
      record.answer.AppendAnswer(result.body);
      record.state = request_state::answering;
      record.payload.clear();
      record.payload.shrink_to_fit();
      replies_.SendDue(now, record);
      return;
    case execution_status::unreachable:
    case execution_status::shed:
      Refuse(handle, result.status == execution_status::shed
                         ? result_code::shed_by_backend
                         : result_code::backend_unreachable);
      return;
    case execution_status::lost:
      HandleLostExecution(now, handle, record);
      return;
  }
}

void request_processor::HandleLostExecution(time_point now,
                                            request_handle handle,
                                            request_record& record) {
  record.may_have_run = true;
  const bool may_retry = record.idempotent && record.tries < kMaxBackendCalls &&
                         record.deadline > now;
  if (!may_retry) {
    Refuse(handle, result_code::backend_lost);
    return;
  }
  state_.counted.Add(result_code::backend_retried);
  if (record.work == work_kind::feed) {
    Start(now, handle, record);
    return;
  }
  // The second call competes for a slot like any other request.
  record.state = request_state::queued;
  const admission_result admitted =
      admission_queue_.Push(record.traffic_class, {handle, record.deadline});
  if (!admitted.accepted) {
    Refuse(handle, result_code::backend_lost);
  } else if (admitted.displaced) {
    Refuse(*admitted.displaced, result_code::displaced);
  }
}

void request_processor::AppendFeedMessages(time_point now,
                                           request_handle handle,
                                           request_record& record,
                                           std::vector<std::string> messages) {
  record.tries = 0;
  for (std::string& message : messages) {
    if (record.answer.IsClosed()) {
      break;
    }
    ++record.position;
    const bool last = record.count == 1;
    record.count -= record.count > 0 ? 1 : 0;
    record.answer.AppendMessage(std::move(message), last);
  }
  replies_.SendDue(now, record);
  if (record.answer.IsClosed()) {
    ReleaseFeed(record);
    record.state = request_state::answering;
    return;
  }
  if (record.answer.Unacknowledged() < kMaxUnacknowledgedFeedMessages) {
    Start(now, handle, record);
  }
}

void request_processor::OnAcknowledge(time_point now,
                                      flow_record& flow,
                                      const packet& value) {
  const request_handle handle = FindSequence(flow, value.sequence);
  request_record* record = state_.requests.Find(handle);
  if (record != nullptr) {
    record->answer.Acknowledge(value.fragment, value.selective);
    // A code other than `answered` means that the caller ended the request
    // before this answer arrived.
    const bool accepted_by_caller = value.code == result_code::answered;
    record->abandoned_by_caller |= !accepted_by_caller;
    if (record->answer.IsComplete() && !accepted_by_caller) {
      record->state = request_state::answered;
    } else if (record->answer.IsComplete()) {
      MarkAnswered(*record);
    } else {
      replies_.SendDue(now, *record);
    }
    const bool may_continue_feed = record->work == work_kind::feed &&
                                   record->state == request_state::running &&
                                   !record->executing;
    if (may_continue_feed &&
        record->answer.Unacknowledged() < kMaxUnacknowledgedFeedMessages) {
      Start(now, handle, *record);
    }
  }
  AdvanceBase(flow, value.oldest_sequence);
}

void request_processor::OnCancel(time_point now,
                                 flow_record& flow,
                                 const packet& value) {
  if (value.sequence < flow.base || value.sequence - flow.base >= kWindowSize) {
    state_.counted.Add(result_code::below_window);
    return;
  }
  request_handle handle = FindSequence(flow, value.sequence);
  request_record* record = state_.requests.Find(handle);
  if (record == nullptr) {
    // The request may still be in transit; the tombstone refuses it.
    request_record tombstone;
    tombstone.flow = flow.id;
    tombstone.sequence = value.sequence;
    tombstone.request_id = value.request_id;
    tombstone.received_at = now;
    handle = state_.requests.Insert(std::move(tombstone));
    flow.requests.push_back(handle);
    Refuse(handle, result_code::cancelled);
    return;
  }
  if (record->state == request_state::queued) {
    admission_queue_.Remove(handle);
    Refuse(handle, result_code::cancelled);
    return;
  }
  record->abandoned_by_caller = true;
  if (record->state != request_state::running) {
    replies_.SendState(flow, *record);
    return;
  }
  if (record->executing) {
    state_.effects.CancelExecution(PackHandle(handle));
  }
  Refuse(handle, result_code::cancelled_while_running);
}

std::uint64_t request_processor::Fence(flow_record& flow,
                                       std::uint32_t oldest) {
  if (flow.state == flow_state::reserved) {
    --state_.reserved;
  }
  flow.state = flow_state::fenced;
  std::uint64_t started = 0;
  for (const request_handle handle : flow.requests) {
    request_record* record = state_.requests.Find(handle);
    if (record == nullptr) {
      continue;
    }
    if (record->state == request_state::queued) {
      admission_queue_.Remove(handle);
      Refuse(handle, result_code::fenced);
    }
    const bool is_running_feed = record->work == work_kind::feed &&
                                 record->state == request_state::running;
    if (is_running_feed) {
      if (record->executing) {
        state_.effects.CancelExecution(PackHandle(handle));
      }
      Refuse(handle, result_code::fenced);
    }
    const bool not_run = record->state == request_state::refused &&
                         OutcomeOf(record->code) == outcome_kind::not_run;
    const std::uint32_t offset = record->sequence - oldest;
    if (!not_run && record->sequence >= oldest && offset < kWindowSize) {
      started |= std::uint64_t{1} << offset;
    }
  }
  return started;
}

void request_processor::Expire(flow_record& flow) {
  for (const request_handle handle : flow.requests) {
    if (request_record* record = state_.requests.Find(handle)) {
      record->abandoned_by_caller = true;
    }
  }
  Abandon(flow);
}

void request_processor::Abandon(flow_record& flow) {
  if (flow.state == flow_state::reserved) {
    --state_.reserved;
  }
  AdvanceBase(flow, flow.base + kWindowSize);
}

bool request_processor::HasUnfinished(const flow_record& flow) {
  return std::any_of(flow.requests.begin(), flow.requests.end(),
                     [this](request_handle handle) {
                       const request_record* record =
                           state_.requests.Find(handle);
                       return record != nullptr && IsUnfinished(record->state);
                     });
}

void request_processor::Tick(time_point now) {
  for (const request_handle handle : admission_queue_.RemoveExpired(now)) {
    Refuse(handle, result_code::deadline_passed);
  }
  StartQueuedRequests(now);
  state_.requests.ForEach(
      [&](request_handle /*handle*/, request_record& record) {
        if (record.answer.Unacknowledged() > 0 &&
            record.state != request_state::refused) {
          replies_.SendDue(now, record);
        }
      });
}

std::uint32_t request_processor::QueuedOrRunning() const {
  return occupied_slots_ + static_cast<std::uint32_t>(admission_queue_.Size());
}

void request_processor::UpdateLoad(time_point now) {
  const std::uint32_t occupied = QueuedOrRunning() + state_.reserved;
  state_.load_permille =
      occupied * 1000 / AllowedSlots(now) +
      backend_monitor_.LoadPenaltyPermille(now) +
      open_feeds_ * kFeedLoadPermille / std::max(1U, state_.settings.slots);
}

}  // namespace corianderplank
