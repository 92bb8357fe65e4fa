#include "core/circuit_breaker.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// One failure may be the end of a single flow; two without an answer between
/// them are rare at a target that works.
constexpr std::uint32_t kMaxFailures = 2;
/// First pause: long enough that its relapses cost few requests, short enough
/// that a target which has failed for a moment returns soon.
constexpr milliseconds kFirstPause = 500ms;
/// The longest pause is kFirstPause * 2^kMaxDoublings.
constexpr std::uint32_t kMaxDoublings = 4;
/// A trial flow without a result after this time is given up, and the next flow
/// is a trial.
constexpr milliseconds kTrialTimeout = 500ms;
/// A target that serves for this long after a pause has one relapse less.
constexpr milliseconds kForgetPeriod = 2000ms;

}  // namespace

void circuit_breaker::OnAnswered(time_point now) {
  consecutive_failures_ = 0;
  trial_began_at_ = time_point{};
  if (serving_since_ == time_point{}) {
    serving_since_ = now;
  }
  if (now < paused_until_) {
    // Only requests of open flows reach the target.
    return;
  }
  if (on_trial_ && now - serving_since_ >= last_pause_) {
    on_trial_ = false;
  }
  if (relapses_ > 0 && now - serving_since_ >= kForgetPeriod) {
    --relapses_;
    serving_since_ = now;
  }
}

void circuit_breaker::OnFailed(time_point now) {
  if (now < paused_until_) {
    serving_since_ = time_point{};
    return;
  }
  ++consecutive_failures_;
  trial_began_at_ = time_point{};
  if (!on_trial_ && consecutive_failures_ < kMaxFailures) {
    return;
  }
  Pause(now);
}

void circuit_breaker::Pause(time_point now) {
  consecutive_failures_ = 0;
  trial_began_at_ = time_point{};
  on_trial_ = true;
  serving_since_ = time_point{};
  last_pause_ = kFirstPause * (1U << std::min(relapses_, kMaxDoublings));
  paused_until_ = now + last_pause_;
  ++relapses_;
}

milliseconds circuit_breaker::PauseLeft(time_point now) const {
  return now < paused_until_
             ? std::chrono::ceil<milliseconds>(paused_until_ - now)
             : 0ms;
}

milliseconds circuit_breaker::Admit(time_point now) {
  if (now < paused_until_) {
    return PauseLeft(now);
  }
  if (!on_trial_) {
    return 0ms;
  }
  if (trial_began_at_ != time_point{} &&
      now - trial_began_at_ < kTrialTimeout) {
    return std::chrono::ceil<milliseconds>(trial_began_at_ + kTrialTimeout -
                                           now);
  }
  trial_began_at_ = now;
  return 0ms;
}

}  // namespace corianderplank
