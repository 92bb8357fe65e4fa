#include "core/load_reporter.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Maximum interval between reports, so that siblings keep a load that does not
/// change.
constexpr auto kRefreshPeriod = 4s;
/// Size of the token bucket: maximum number of reports in a burst.
constexpr double kMaxBurst = 8;
/// With at least this many tokens, half the threshold is used.
constexpr double kSpareTokens = 4;

}  // namespace

void load_reporter::SetBudget(double reports_per_second) {
  reports_per_second_ = reports_per_second;
}

void load_reporter::Refill(time_point now) {
  if (refilled_at_ == time_point()) {
    tokens_ = kMaxBurst;
  } else {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    tokens_ =
        std::min(kMaxBurst, tokens_ + elapsed.count() * reports_per_second_);
  }
  refilled_at_ = now;
}

bool load_reporter::ShouldReport(time_point now,
                                 std::uint32_t load_permille,
                                 std::uint32_t threshold_permille,
                                 bool serving) {
  if (reports_per_second_ <= 0) {
    return false;
  }
  Refill(now);
  const std::uint32_t change = load_permille > reported_permille_
                                   ? load_permille - reported_permille_
                                   : reported_permille_ - load_permille;
  const bool serving_changed = !reported_ || serving != reported_serving_;
  const bool refresh_due = now - reported_at_ >= kRefreshPeriod;
  // While tokens are plentiful, smaller changes are reported too.
  const std::uint32_t threshold =
      tokens_ >= kSpareTokens ? threshold_permille / 2 : threshold_permille;
  const bool load_changed = change >= threshold;
  if (!serving_changed && !refresh_due && !(load_changed && tokens_ >= 1)) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1);
  reported_ = true;
  reported_at_ = now;
  reported_permille_ = load_permille;
  reported_serving_ = serving;
  return true;
}

}  // namespace corianderplank
