/// @file
/// Waits between repeats: growing, bounded and spread.
#pragma once

#include <chrono>

#include "core/identifiers.h"

namespace corianderplank {

/// @param sends how often something was sent already, at least once.
/// @return the wait before it is sent again.
std::chrono::milliseconds RetransmitDelay(int sends);

/// Spreads waits so that callers do not act in step.
class jitter_source {
 public:
  /// @param flow the flow that waits; seeds the draws.
  explicit jitter_source(flow_id flow) : flow_(flow) {}

  /// @param base a wait.
  /// @return a wait between three and five quarters of it.
  std::chrono::milliseconds ApplyJitter(std::chrono::milliseconds base);

 private:
  flow_id flow_;
  std::uint64_t draws_ = 0;
};

}  // namespace corianderplank
