/// @file
/// Limits the rate of log lines by kind.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/identifiers.h"
#include "core/result_code.h"

namespace corianderplank {

/// Number of suppressed lines of one kind.
struct omitted_lines {
  result_code kind = result_code::answered;
  std::uint64_t count = 0;
};

/// Allows a number of lines per second for each kind and counts the others. Not
/// thread-safe.
class log_rate_limiter {
 public:
  /// @param lines_per_second limit for each kind.
  explicit log_rate_limiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// @param now current time of the monotonic clock.
  /// @param kind result code that the line reports.
  /// @return whether to write the line; if not, it is counted as omitted.
  bool Allow(time_point now, result_code kind);

  /// Returns the numbers of omitted lines and resets them.
  /// @return kinds with omitted lines since the last call.
  std::vector<omitted_lines> TakeOmitted();

 private:
  struct kind_state {
    time_point second_began{};
    std::uint32_t written = 0;
    std::uint64_t omitted = 0;
  };

  std::uint32_t lines_per_second_;
  std::map<result_code, kind_state> kinds_;
};

}  // namespace corianderplank
