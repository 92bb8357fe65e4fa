/// @file
/// Bounds retries to a share of the first tries.
#pragma once

#include <cstdint>

namespace corianderplank {

/// Shared by the flows of one caller. Each first try earns a part of a retry.
class retry_budget {
 public:
  /// @param retries_per_try retries earned by one first try.
  /// @param reserve retries that may be saved up; also the initial amount.
  retry_budget(double retries_per_try, double reserve)
      : retries_per_try_(retries_per_try), reserve_(reserve), saved_(reserve) {}

  /// Counts a first try.
  void OnFirstTry();

  /// @return whether a retry may be sent; it is then taken from the budget.
  bool TryConsumeRetry();

 private:
  double retries_per_try_;
  double reserve_;
  double saved_;
};

}  // namespace corianderplank
