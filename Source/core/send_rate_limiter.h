/// @file
/// Bounds what is sent for one purpose by a share of the machine's link.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Bytes that fill up again with time, to at most a quarter of a second's.
class send_rate_limiter {
 public:
  /// @param bytes_per_second what fills up; 0: without bound.
  explicit send_rate_limiter(std::uint64_t bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  /// @param now the present time.
  /// @param reserve what is left to others: bytes that come in within this
  ///     time, less than a quarter of a second.
  /// @return whether anything may be sent.
  bool CanSend(
      time_point now,
      std::chrono::milliseconds reserve = std::chrono::milliseconds(0));

  /// Takes bytes, also more than there are: one burst may overdraw.
  /// @param bytes what is sent.
  void Consume(std::size_t bytes);

 private:
  std::uint64_t bytes_per_second_;
  double left_ = 0;
  time_point at_{};
};

}  // namespace corianderplank
