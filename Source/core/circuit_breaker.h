/// @file
/// Detects a target that fails its requests, from the packets that its agent
/// sees, and decides when it may get new flows again.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Keeps new flows from a target that resets flows after data and before any
/// answer. Such a target has nothing in progress, so it would look least loaded
/// and attract more flows than the others. After a pause, which doubles with
/// each relapse, one new flow at a time tries the target until it has served
/// for as long as the pause lasted. Not thread-safe; all times are of the
/// monotonic clock.
class circuit_breaker {
 public:
  /// Records that the target has answered a request.
  /// @param now current time.
  void OnAnswered(time_point now);

  /// Records that the target has reset a flow whose request it had received and
  /// not answered.
  /// @param now current time.
  void OnFailed(time_point now);

  /// Begins a pause, longer than the previous one unless the target has
  /// recovered since then.
  /// @param now current time.
  void Pause(time_point now);

  /// @param now current time.
  /// @return time until the pause ends; 0 if there is none.
  std::chrono::milliseconds PauseLeft(time_point now) const;

  /// @return whether the target has yet to serve for as long as its latest
  ///     pause lasted.
  bool IsOnTrial() const { return on_trial_; }

  /// @return whether the target has answered nothing since it began to fail.
  bool IsFailing() const { return on_trial_ && serving_since_ == time_point{}; }

  /// Decides about a new flow. During a trial only one flow is admitted until
  /// a request is answered or fails.
  /// @param now current time.
  /// @return how long the target should get no new flows; 0 if it may get this
  ///     one.
  std::chrono::milliseconds Admit(time_point now);

 private:
  /// Failures since the last answer.
  std::uint32_t consecutive_failures_ = 0;
  /// Number of pauses from which the target has not recovered.
  std::uint32_t relapses_ = 0;
  /// End of the latest pause; default value if there was none.
  time_point paused_until_{};
  /// When the trial flow was admitted; default value if none is under way.
  time_point trial_began_at_{};
  /// The target has not yet served for as long as its latest pause lasted.
  bool on_trial_ = false;
  std::chrono::milliseconds last_pause_{0};
  /// When the target answered first since its latest pause or since a relapse
  /// was forgotten; default value if it has not.
  time_point serving_since_{};
};

}  // namespace corianderplank
