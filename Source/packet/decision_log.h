/// @file
/// Writes the packet path's decisions about flows, within a bound.
#pragma once

#include "core/flow_decision.h"
#include "core/log_rate_limiter.h"

namespace corianderplank {

/// The log of decisions. One thread uses it.
class decision_log {
 public:
  decision_log();

  /// @param now the present time.
  /// @param decision a decision.
  void Write(time_point now, const flow_decision& decision);

  /// Tells what was left out; call about once a second.
  void WriteOmitted();

 private:
  log_rate_limiter budget_;
};

}  // namespace corianderplank
