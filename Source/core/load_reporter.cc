#include "core/load_reporter.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Longest silence, so that siblings keep a load that does not change.
constexpr auto kRefreshPeriod = 4s;
/// Reports that may follow each other at once.
constexpr double kBurst = 8;
constexpr double kSpareTokens = 4;

}  // namespace

void load_reporter::SetBudget(double reports_per_second) {
  reports_per_second_ = reports_per_second;
}

void load_reporter::Refill(time_point now) {
  if (refilled_at_ == time_point()) {
    tokens_ = kBurst;
  } else {
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    tokens_ = std::min(kBurst, tokens_ + elapsed.count() * reports_per_second_);
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
  const bool turned = !reported_ || serving != reported_serving_;
  const bool silent = now - reported_at_ >= kRefreshPeriod;
  // With budget to spare a smaller change is worth telling.
  const std::uint32_t threshold =
      tokens_ >= kSpareTokens ? threshold_permille / 2 : threshold_permille;
  const bool changed = change >= threshold;
  if (!turned && !silent && !(changed && tokens_ >= 1)) {
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
