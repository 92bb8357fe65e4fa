/// @file
/// Work of a caller that has not ended yet.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/answer_assembly.h"
#include "core/packet.h"

namespace corianderplank {

/// A piece of work that a caller wants done.
struct request_spec {
  /// The caller's number for it; must be unique for the service.
  std::uint64_t request_id = 0;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  std::chrono::milliseconds timeout{0};
  /// First message of a feed, or number of an upload's chunk.
  std::uint64_t position = 0;
  /// Messages wanted of a feed, 0 for no end.
  std::uint32_t count = 0;
  std::string payload;
};

/// Longest wait of an upload or a feed that was refused.
inline constexpr std::chrono::milliseconds kMaxRetryWait{5000};

/// A piece of work between its submission and its end.
struct pending_request {
  request_spec spec;
  std::uint32_t sequence = 0;
  /// The token under which it was sent; nothing while it has not been sent.
  std::optional<flow_token> token;
  bool cancelling = false;
  bool has_progress = false;
  /// It may have run under an earlier token.
  bool in_doubt = false;
  /// It was refused and must ask the budget before it is sent again.
  bool needs_retry_budget = false;
  /// How long it waits for the present retry.
  std::chrono::milliseconds wait{0};
  int sends = 0;
  int tries = 0;
  time_point submitted_at;
  time_point deadline;
  time_point heard_at;
  time_point next_send;
  time_point give_up_at;
  std::uint64_t next_position = 0;
  answer_assembly assembly;
  std::string answer;

  /// @return whether it may run more than once without harm.
  bool IsRepeatable() const;

  /// Uploads and feeds may wait; they are tried until their deadline.
  /// @return whether it is one of them.
  bool RetriesUntilDeadline() const;

  /// @return messages still wanted of a feed, 0 for no end.
  std::uint32_t RemainingMessages() const;

  /// @param now the present time.
  /// @param value receives what a request or a cancellation carries.
  void FillPacket(time_point now, packet& value) const;

  /// @param suggested what a refusal suggested.
  /// @return the wait before the next try.
  std::chrono::milliseconds RetryWait(
      std::chrono::milliseconds suggested) const;

  /// Makes it be sent anew under the next token.
  /// @param now the present time.
  void ResetForResend(time_point now);
};

}  // namespace corianderplank
