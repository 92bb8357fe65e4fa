/// @file
/// Bounds how many log lines of each kind are written.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/identifiers.h"
#include "core/result_code.h"

namespace corianderplank {

/// Lines of a kind that were left out.
struct omitted_lines {
  result_code kind = result_code::answered;
  std::uint64_t count = 0;
};

/// A number of lines a second for each kind; the rest is counted.
class log_rate_limiter {
 public:
  /// @param lines_per_second lines of each kind.
  explicit log_rate_limiter(std::uint32_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /// @param now the present time.
  /// @param kind what the line would tell.
  /// @return whether to write it.
  bool Allow(time_point now, result_code kind);

  /// @return what was left out since the last call.
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
