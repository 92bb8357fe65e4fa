/// @file
/// Retransmission delays: exponential backoff with an upper limit and jitter.
#pragma once

#include <chrono>

#include "core/identifiers.h"

namespace corianderplank {

/// @param sends number of times that the packet has been sent, at least 1.
/// @return delay before the packet is sent again, without jitter.
std::chrono::milliseconds RetransmitDelay(int sends);

/// Adds jitter to delays so that callers do not send at the same time. The
/// values are a deterministic function of the flow and the number of earlier
/// calls.
class jitter_source {
 public:
  /// @param flow flow that the delays belong to; seed of the jitter.
  explicit jitter_source(flow_id flow) : flow_(flow) {}

  /// @param base delay without jitter.
  /// @return delay between 3/4 (inclusive) and 5/4 (exclusive) of the base.
  std::chrono::milliseconds ApplyJitter(std::chrono::milliseconds base);

 private:
  flow_id flow_;
  std::uint64_t draws_ = 0;
};

}  // namespace corianderplank
