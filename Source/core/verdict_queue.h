/// @file
/// Ends of work that a caller has yet to tell to an entry.
#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "core/identifiers.h"
#include "core/result_code.h"
#include "core/retry_timing.h"

namespace corianderplank {

/// Repeats each verdict until it is noted or was sent often enough.
class verdict_queue {
 public:
  /// @param now the present time.
  /// @param request_id the work; 0 for the flow itself.
  /// @param code how it ended.
  void Add(time_point now, std::uint64_t request_id, result_code code);

  /// An entry has noted a verdict.
  /// @param request_id the work.
  void OnVerdictAcknowledged(std::uint64_t request_id);

  /// Visits the verdicts that are due.
  /// @param now the present time.
  /// @param jitter spreads the repeats.
  /// @param send called with work and code.
  void SendDue(time_point now,
               jitter_source& jitter,
               const std::function<void(std::uint64_t, result_code)>& send);

  /// @return whether every verdict was noted or given up.
  bool IsEmpty() const { return pending_.empty(); }

 private:
  struct pending_verdict {
    std::uint64_t request_id = 0;
    result_code code = result_code::answered;
    int sends = 0;
    time_point next_send;
  };

  std::list<pending_verdict> pending_;
};

}  // namespace corianderplank
