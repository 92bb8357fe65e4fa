#include "pace/service_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace corianderplank {
namespace {

using std::chrono::milliseconds;

/// Gains of the smoothed mean and deviation, as in TCP's round-trip time
/// estimate (RFC 6298).
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
/// Nearly all requests take less than the mean plus this many mean deviations.
constexpr double kUpperDeviations = 2;

}  // namespace

void service_time_estimate::Add(milliseconds service_time) {
  const auto sample = static_cast<double>(service_time.count());
  if (!has_sample_) {
    has_sample_ = true;
    mean_ms_ = sample;
    deviation_ms_ = sample / 2;
    return;
  }
  deviation_ms_ +=
      kDeviationGain * (std::abs(sample - mean_ms_) - deviation_ms_);
  mean_ms_ += kMeanGain * (sample - mean_ms_);
}

milliseconds service_time_estimate::UpperEstimate() const {
  return milliseconds(
      std::llround(mean_ms_ + kUpperDeviations * deviation_ms_));
}

milliseconds service_time_estimate::LowerEstimate() const {
  return milliseconds(std::llround(std::max(0.0, mean_ms_ - deviation_ms_)));
}

}  // namespace corianderplank
