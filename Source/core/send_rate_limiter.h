/// @file
/// Limits the rate of outgoing traffic of one purpose to a share of the
/// machine's link.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Token bucket that counts bytes and holds at most a quarter of a second's
/// worth. Not thread-safe.
class send_rate_limiter {
 public:
  /// @param bytes_per_second refill rate; 0 for no limit.
  explicit send_rate_limiter(std::uint64_t bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  /// @param now current time of the monotonic clock.
  /// @param reserve bytes that must stay available to other senders, as the
  ///     time in which they refill; less than a quarter of a second.
  /// @return whether data may be sent now.
  bool CanSend(
      time_point now,
      std::chrono::milliseconds reserve = std::chrono::milliseconds(0));

  /// Records sent bytes. May be more than are available, so one burst can
  /// exceed the limit; later sends wait until the deficit is refilled.
  /// @param bytes number of bytes sent.
  void Consume(std::size_t bytes);

 private:
  std::uint64_t bytes_per_second_;
  double available_bytes_ = 0;
  time_point refilled_at_{};
};

}  // namespace corianderplank
