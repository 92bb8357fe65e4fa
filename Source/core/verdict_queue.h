/// @file
/// Verdicts that a caller has yet to report to an entry. A verdict is the
/// result code of a request that ended without an answer, or of a flow that
/// could not be resumed.
#pragma once

#include <cstdint>
#include <functional>
#include <list>

#include "core/identifiers.h"
#include "core/result_code.h"
#include "core/retry_timing.h"

namespace corianderplank {

/// Retransmits each verdict until an entry acknowledges it or it has been sent
/// the maximum number of times.
class verdict_queue {
 public:
  /// Adds a verdict that is due immediately.
  /// @param now current time of the monotonic clock.
  /// @param request_id request_id of the request; 0 for the flow itself.
  /// @param code result of the request or the flow.
  void Add(time_point now, std::uint64_t request_id, result_code code);

  /// Removes the verdicts of a request after an entry has recorded one.
  /// @param request_id request_id of the request; 0 for the flow itself.
  void OnVerdictAcknowledged(std::uint64_t request_id);

  /// Sends the verdicts that are due and schedules their retransmission.
  /// @param now current time of the monotonic clock.
  /// @param jitter randomizes the retransmission delay.
  /// @param send called with the request_id and the result code of each
  ///     verdict.
  void SendDue(time_point now,
               jitter_source& jitter,
               const std::function<void(std::uint64_t, result_code)>& send);

  /// @return whether every verdict has been acknowledged or dropped.
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
