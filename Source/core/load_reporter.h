/// @file
/// Decides when an agent reports its load to its siblings.
#pragma once

#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Requests a report when the load has changed enough or a refresh is due,
/// limited by a token bucket.
class load_reporter {
 public:
  /// @param reports_per_second average number of reports per second, 0 to send
  ///     no reports.
  void SetBudget(double reports_per_second);

  /// Returns true at most once per report: the values then count as reported.
  /// @param now current time of the monotonic clock.
  /// @param load_permille load of the agent in thousandths of its slots.
  /// @param threshold_permille smallest change that is reported; half of it
  ///     while the bucket has tokens to spare.
  /// @param serving whether the agent accepts opens; a change is always
  ///     reported.
  /// @return whether to send a report now.
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
