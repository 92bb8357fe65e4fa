#include "core/request_replies.h"

namespace corianderplank {
namespace {

/// Waits before the next try that a refusal suggests to the caller.
constexpr std::chrono::milliseconds kShedRetryAfter{100};
constexpr std::chrono::milliseconds kBusyRetryAfter{200};

}  // namespace

void request_replies::SendState(const flow_record& flow,
                                request_record& record) {
  if (record.state == request_state::refused) {
    SendRefusal(flow, record);
    return;
  }
  if (!IsUnfinished(record.state)) {
    return;
  }
  packet progress;
  progress.kind = packet_kind::progress;
  progress.sequence = record.sequence;
  state_.Send(flow, progress, 0);
}

void request_replies::SendRefusal(const flow_record& flow,
                                  const request_record& record) {
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.sequence = record.sequence;
  refusal.request_id = record.request_id;
  refusal.code = record.code;
  refusal.time = record.code == result_code::shed_by_backend ? kShedRetryAfter
                                                             : kBusyRetryAfter;
  state_.Send(flow, refusal, 0);
}

void request_replies::SendDue(time_point now, request_record& record) {
  const flow_record* flow = state_.flows.Find(record.flow);
  if (flow == nullptr) {
    return;
  }
  record.answer.SendDue(now, [&](const due_answer_fragment& due) {
    packet answer;
    answer.kind = packet_kind::answer;
    answer.sequence = record.sequence;
    answer.request_id = record.request_id;
    answer.fragment = due.index;
    answer.last = due.last;
    answer.payload = due.payload;
    if (due.tries > 0) {
      state_.counted.Add(result_code::answer_repeated);
    }
    state_.Send(*flow, answer, due.tries);
  });
}

}  // namespace corianderplank
