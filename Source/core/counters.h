/// @file
/// One counter for each result code, shared between threads.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "core/result_code.h"

namespace corianderplank {

/// Counts how often each result code occurred. Safe for any thread.
class counters {
 public:
  /// Adds to a code's counter.
  /// @param code the code; one outside the table is not counted.
  /// @param amount how much to add.
  void Add(result_code code, std::uint64_t amount = 1);

  /// @param code a code.
  /// @return how often it was counted.
  std::uint64_t Get(result_code code) const;

 private:
  static constexpr std::size_t kCapacity = 800;
  std::array<std::atomic<std::uint64_t>, kCapacity> values_{};
};

}  // namespace corianderplank
