/// @file
/// Limits retries to a fraction of the first tries.
#pragma once

#include <cstdint>

namespace corianderplank {

/// Retry budget that the flows of a caller share. Each first try adds a
/// fraction of a retry.
class retry_budget {
 public:
  /// @param retries_per_try retries that each first try adds.
  /// @param max_retries maximum number of available retries; also the initial
  ///     number.
  retry_budget(double retries_per_try, double max_retries)
      : retries_per_try_(retries_per_try),
        max_retries_(max_retries),
        available_retries_(max_retries) {}

  /// Adds retries_per_try to the available retries, up to max_retries.
  void OnFirstTry();

  /// Consumes one retry if one is available.
  /// @return whether a retry may be sent.
  bool TryConsumeRetry();

 private:
  double retries_per_try_;
  double max_retries_;
  double available_retries_;
};

}  // namespace corianderplank
