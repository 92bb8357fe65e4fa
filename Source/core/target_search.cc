#include "core/target_search.h"

namespace corianderplank {
namespace {

/// Time after which a search without a token fails.
constexpr std::chrono::seconds kSearchTimeout{30};

}  // namespace

void target_search::Begin(time_point now, result_code reason) {
  first_attempt_ = attempt_ + 1;
  sends_ = 0;
  started_at_ = now;
  reason_ = reason;
}

void target_search::End() {
  sends_ = 0;
  refusal_ = result_code::open_timeout;
}

bool target_search::OnSend(time_point now, jitter_source& jitter) {
  ++attempt_;
  ++sends_;
  next_send_ = now + jitter.ApplyJitter(RetransmitDelay(sends_));
  return sends_ > 1;
}

void target_search::OnRefused(time_point now,
                              std::uint16_t attempt,
                              result_code code,
                              std::chrono::milliseconds wait) {
  if (attempt == attempt_) {
    refusal_ = code;
    next_send_ = now + wait;
  }
}

bool target_search::HasTimedOut(time_point now) const {
  return sends_ > 0 && now - started_at_ >= kSearchTimeout;
}

}  // namespace corianderplank
