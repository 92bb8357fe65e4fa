/// @file
/// Latencies on a logarithmic axis, by Boost.Histogram.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace corianderplank {

/// Counts durations from 1 microsecond to 1,000 seconds within about 2%.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /// @param value a duration.
  void Add(std::chrono::microseconds value);

  /// @param share a share from 0 to 1.
  /// @return the duration below which that share lies; 0 when empty.
  std::chrono::microseconds Quantile(double share) const;

  /// @return how many durations were added.
  std::uint64_t Count() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
