/// @file
/// A caller's request, upload chunk or feed that has not ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/answer_assembly.h"
#include "core/packet.h"

namespace corianderplank {

/// Parameters of a request, an upload chunk or a feed.
struct request_spec {
  /// Number that the caller chooses; must be unique within the service.
  std::uint64_t request_id = 0;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  std::chrono::milliseconds timeout{0};
  /// First message of a feed, or index of an upload's chunk.
  std::uint64_t position = 0;
  /// Number of feed messages to deliver, 0 for an endless feed.
  std::uint32_t count = 0;
  std::string payload;
};

/// Maximum wait between two tries of an upload or a feed that was refused.
inline constexpr std::chrono::milliseconds kMaxRetryWait{5000};

/// State of a request, an upload chunk or a feed from submission to its end.
struct pending_request {
  request_spec spec;
  std::uint32_t sequence = 0;
  /// Token with which it was sent; std::nullopt while it has not been sent.
  std::optional<flow_token> token;
  bool cancelling = false;
  bool has_progress = false;
  /// It may have run at an earlier agent, so that it must not be reported as
  /// not run.
  bool in_doubt = false;
  /// It was refused and is sent again only if the retry budget permits.
  bool needs_retry_budget = false;
  /// Wait before the present retry.
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

  /// @return whether running it more than once has the same effect as once.
  bool IsRepeatable() const;

  /// @return whether it is an upload or a feed, which are retried until their
  ///     deadline instead of a fixed number of times.
  bool RetriesUntilDeadline() const;

  /// @return number of feed messages that remain, 0 for an endless feed.
  std::uint32_t RemainingMessages() const;

  /// @param now current time of the monotonic clock.
  /// @param value request or cancel packet whose fields are set.
  void FillPacket(time_point now, packet& value) const;

  /// @param suggested wait that the refusal suggests.
  /// @return wait before the next try; for uploads and feeds it doubles with
  ///     each try up to kMaxRetryWait.
  std::chrono::milliseconds RetryWait(
      std::chrono::milliseconds suggested) const;

  /// Clears the token and the partial answer, so that it is sent again with the
  /// next token.
  /// @param now current time of the monotonic clock.
  void ResetForResend(time_point now);
};

}  // namespace corianderplank
