/// @file
/// How many new flows a target bears that is cold after its start.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "core/identifiers.h"

namespace corianderplank {

/// Sliding window over the new flows that an agent has passed to its target.
/// All new flows of a target pass its agent, so that the budget holds for all
/// entries together. Not thread-safe; every `now` is the current time of the
/// monotonic clock.
class cold_flow_budget {
 public:
  /// @param unknown_until end of the time in which the flows of the last second
  ///     are not known, since another agent may have passed them; until then a
  ///     cold target gets no new flow.
  explicit cold_flow_budget(time_point unknown_until)
      : unknown_until_(unknown_until) {}

  /// Records what an entry knows of the target. While the target is cold, the
  /// lowest limit and the latest end that any entry has named count.
  /// @param now current time.
  /// @param cold_for how much longer the target is cold; 0 if it is not.
  /// @param flows_permille new flows a second that it bears, in thousandths; 0
  ///     for no limit.
  void OnColdTarget(time_point now,
                    std::chrono::milliseconds cold_for,
                    std::uint32_t flows_permille);

  /// Records an opening packet that was passed to the target.
  /// @param now current time.
  void OnOpening(time_point now);

  /// @param now current time.
  /// @return 0 if the target may get a new flow; otherwise the time after which
  ///     it may.
  std::chrono::milliseconds Wait(time_point now) const;

 private:
  time_point unknown_until_;
  time_point cold_until_{};
  std::uint32_t flows_per_second_ = 0;
  /// Times of the latest openings, oldest first.
  std::deque<time_point> openings_;
};

}  // namespace corianderplank
