/// @file
/// A caller's search for a target: first open, or open with an old token.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"
#include "core/result_code.h"
#include "core/retry_timing.h"

namespace corianderplank {

/// Numbers the opens of a flow and times their repeats.
class target_search {
 public:
  /// Begins a search.
  /// @param now the present time.
  /// @param reason why the flow moves; answered for a first open.
  void Begin(time_point now, result_code reason);

  /// Ends the search: a token was accepted.
  void End();

  /// Counts an open that is about to be sent.
  /// @param now the present time.
  /// @param jitter spreads the repeats.
  /// @return whether it repeats an earlier one of this search.
  bool OnSend(time_point now, jitter_source& jitter);

  /// Takes the refusal of the latest open.
  /// @param now the present time.
  /// @param attempt the open that was refused.
  /// @param code why.
  /// @param wait when to try again, spread already.
  void OnRefused(time_point now,
                 std::uint16_t attempt,
                 result_code code,
                 std::chrono::milliseconds wait);

  /// Answers to opens of earlier searches tell about an agent that the flow
  /// has left since.
  /// @param attempt the open that was answered.
  /// @return whether it belongs to the present search.
  bool BelongsToSearch(std::uint16_t attempt) const {
    return attempt >= first_;
  }

  /// @param now the present time.
  /// @return whether the next open is due.
  bool IsDue(time_point now) const { return sends_ > 0 && now >= next_send_; }

  /// @param now the present time.
  /// @return whether the search has taken too long.
  bool HasTimedOut(time_point now) const;

  /// @return whether an open was sent.
  bool HasSentOpen() const { return sends_ > 0; }
  /// @return number of the latest open.
  std::uint16_t Attempt() const { return attempt_; }
  /// @return why the flow moves.
  result_code Reason() const { return reason_; }
  /// @return why no target was found so far.
  result_code RefusalCode() const { return refusal_; }

 private:
  std::uint16_t attempt_ = 0;
  std::uint16_t first_ = 1;
  int sends_ = 0;
  time_point since_;
  time_point next_send_;
  result_code reason_ = result_code::answered;
  result_code refusal_ = result_code::open_timeout;
};

}  // namespace corianderplank
