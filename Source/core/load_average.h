/// @file
/// Smoothed load of a target.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Exponentially weighted average over time of the number of requests that a
/// new one would wait for.
class load_average {
 public:
  /// Sets the number of requests from now on.
  /// @param now current time of the monotonic clock.
  /// @param count number of requests that a new one would wait for.
  void Set(time_point now, std::size_t count);
  /// @param now current time of the monotonic clock.
  /// @return average number of requests, in thousandths.
  std::uint32_t Permille(time_point now);

 private:
  void Advance(time_point now);

  std::size_t count_ = 0;
  double average_ = 0;
  time_point at_{};
};

}  // namespace corianderplank
