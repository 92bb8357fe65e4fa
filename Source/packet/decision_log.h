/// @file
/// Rate-limited log of the packet path's decisions about flows.
#pragma once

#include "core/flow_decision.h"
#include "core/log_rate_limiter.h"

namespace corianderplank {

/// Logs decisions, at a limited rate for each result code. Not thread-safe.
class decision_log {
 public:
  decision_log();

  /// Writes a line, or counts it as omitted if the rate is exceeded.
  /// @param now current time of the monotonic clock.
  /// @param decision the decision; its result code names the log event.
  void Write(time_point now, const flow_decision& decision);

  /// Logs how many lines were omitted since the last call. Call about once a
  /// second.
  void WriteOmitted();

 private:
  log_rate_limiter rate_limiter_;
};

}  // namespace corianderplank
