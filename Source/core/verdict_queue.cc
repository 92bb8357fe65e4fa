#include "core/verdict_queue.h"

namespace corianderplank {
namespace {

/// Times that a verdict is sent before it is given up.
constexpr int kMaxSends = 8;

}  // namespace

void verdict_queue::Add(time_point now,
                        std::uint64_t request_id,
                        result_code code) {
  pending_.push_back({request_id, code, 0, now});
}

void verdict_queue::OnVerdictAcknowledged(std::uint64_t request_id) {
  pending_.remove_if([&](const pending_verdict& item) {
    return item.request_id == request_id;
  });
}

void verdict_queue::SendDue(
    time_point now,
    jitter_source& jitter,
    const std::function<void(std::uint64_t, result_code)>& send) {
  pending_.remove_if(
      [](const pending_verdict& item) { return item.sends >= kMaxSends; });
  for (pending_verdict& item : pending_) {
    if (now < item.next_send) {
      continue;
    }
    ++item.sends;
    item.next_send = now + jitter.ApplyJitter(RetransmitDelay(item.sends));
    send(item.request_id, item.code);
  }
}

}  // namespace corianderplank
