/// @file
/// A caller's search for a target, either for a new flow or to resume a flow
/// with the token of its previous agent.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"
#include "core/result_code.h"
#include "core/retry_timing.h"

namespace corianderplank {

/// Numbers the open packets of a flow and schedules their retransmission.
class target_search {
 public:
  /// Begins a search. Replies to opens of earlier searches are ignored from now
  /// on.
  /// @param now current time of the monotonic clock.
  /// @param reason reason to search; result_code::answered for a new flow.
  void Begin(time_point now, result_code reason);

  /// Ends the search after a token was accepted.
  void End();

  /// Records that an open is about to be sent and schedules the next one.
  /// @param now current time of the monotonic clock.
  /// @param jitter randomizes the retransmission delay.
  /// @return whether it retransmits an earlier open of this search.
  bool OnSend(time_point now, jitter_source& jitter);

  /// Records a refusal. Refusals of any open but the latest are ignored.
  /// @param now current time of the monotonic clock.
  /// @param attempt number of the open that was refused.
  /// @param code reason of the refusal.
  /// @param wait wait before the next open, with jitter applied.
  void OnRefused(time_point now,
                 std::uint16_t attempt,
                 result_code code,
                 std::chrono::milliseconds wait);

  /// Replies to opens of earlier searches must be ignored, because they
  /// describe an agent that the flow has since left.
  /// @param attempt number of the open that was replied to.
  /// @return whether the open belongs to the current search.
  bool BelongsToSearch(std::uint16_t attempt) const {
    return attempt >= first_attempt_;
  }

  /// @param now current time of the monotonic clock.
  /// @return whether the next open of the running search is due.
  bool IsDue(time_point now) const { return sends_ > 0 && now >= next_send_; }

  /// @param now current time of the monotonic clock.
  /// @return whether the running search has reached its timeout.
  bool HasTimedOut(time_point now) const;

  /// @return whether the current search has sent an open.
  bool HasSentOpen() const { return sends_ > 0; }
  /// @return number of the latest open; 0 before the first one.
  std::uint16_t Attempt() const { return attempt_; }
  /// @return reason passed to Begin().
  result_code Reason() const { return reason_; }
  /// @return reason of the last refusal; result_code::open_timeout if none was
  ///     received since the last token was accepted.
  result_code RefusalCode() const { return refusal_; }

 private:
  std::uint16_t attempt_ = 0;
  std::uint16_t first_attempt_ = 1;
  int sends_ = 0;
  time_point started_at_;
  time_point next_send_;
  result_code reason_ = result_code::answered;
  result_code refusal_ = result_code::open_timeout;
};

}  // namespace corianderplank
