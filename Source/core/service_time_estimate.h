/// @file
/// How long a target works on a request.
#pragma once

#include <chrono>

namespace corianderplank {

/// How long a target takes for a request, from those that it has answered.
class service_time_estimate {
 public:
  /// @param took time from handing a request on to its first answer.
  void Add(std::chrono::milliseconds took);
  /// @return a time within which nearly all requests are answered; 0 while
  ///     none was.
  std::chrono::milliseconds UpperEstimate() const;
  /// @return a time within which a good part of the requests is answered.
  std::chrono::milliseconds LowerEstimate() const;

 private:
  bool known_ = false;
  double mean_ms_ = 0;
  double deviation_ms_ = 0;
};

}  // namespace corianderplank
