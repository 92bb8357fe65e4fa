#include "core/verdict_queue.h"

namespace corianderplank {
namespace {

/// Number of times that a verdict is sent before it is dropped.
constexpr int kMaxSends = 8;

}  // namespace

void verdict_queue::Add(time_point now,
                        std::uint64_t request_id,
                        result_code code) {
  pending_.push_back({request_id, code, 0, now});
}

void verdict_queue::OnVerdictAcknowledged(std::uint64_t request_id) {
  pending_.remove_if([&](const pending_verdict& verdict) {
    return verdict.request_id == request_id;
  });
}

void verdict_queue::SendDue(
    time_point now,
    jitter_source& jitter,
    const std::function<void(std::uint64_t, result_code)>& send) {
  pending_.remove_if([](const pending_verdict& verdict) {
    return verdict.sends >= kMaxSends;
  });
  for (pending_verdict& verdict : pending_) {
    if (now < verdict.next_send) {
      continue;
    }
    ++verdict.sends;
    verdict.next_send =
        now + jitter.ApplyJitter(RetransmitDelay(verdict.sends));
    send(verdict.request_id, verdict.code);
  }
}

}  // namespace corianderplank
