/// @file
/// Decides when an agent tells its load to its siblings.
#pragma once

#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Reports a change once it is large enough, within a budget of reports.
class load_reporter {
 public:
  /// @param reports_per_second reports that may be sent on average; 0 for
  ///     none at all.
  void SetBudget(double reports_per_second);

  /// @param now the present time.
  /// @param load_permille the load.
  /// @param threshold_permille the smallest change that is told.
  /// @param serving whether the agent takes opens; a change is always told.
  /// @return whether to report now.
  bool ShouldReport(time_point now,
                    std::uint32_t load_permille,
                    std::uint32_t threshold_permille,
                    bool serving);

 private:
  void Refill(time_point now);

  double reports_per_second_ = 10;
  double tokens_ = 0;
  time_point refilled_at_;
  time_point reported_at_;
  std::uint32_t reported_permille_ = 0;
  bool reported_serving_ = false;
  bool reported_ = false;
};

}  // namespace corianderplank
