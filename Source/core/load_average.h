/// @file
/// Load of a target over time.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Load over time: requests that a new one would wait for, averaged with a
/// fading past.
class load_average {
 public:
  /// The number of requests that count has changed.
  /// @param now the present time.
  /// @param busy the number from now on.
  void Set(time_point now, std::size_t busy);
  /// @param now the present time.
  /// @return the average in thousandths.
  std::uint32_t Permille(time_point now);

 private:
  void Advance(time_point now);

  std::size_t busy_ = 0;
  double average_ = 0;
  time_point at_{};
};

}  // namespace corianderplank
