/// @file
/// Estimate of the service time of a target's requests.
#pragma once

#include <chrono>

namespace corianderplank {

/// Smoothed mean and deviation of the service times of answered requests.
class service_time_estimate {
 public:
  /// @param service_time time from forwarding a request to the first packet of
  ///     its answer.
  void Add(std::chrono::milliseconds service_time);
  /// @return time within which nearly all requests are answered; 0 until the
  ///     first sample.
  std::chrono::milliseconds UpperEstimate() const;
  /// @return time within which a substantial part of the requests is answered;
  ///     0 until the first sample.
  std::chrono::milliseconds LowerEstimate() const;

 private:
  bool has_sample_ = false;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

}  // namespace corianderplank
