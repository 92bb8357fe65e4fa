#include "product/latency_histogram.h"

#include <algorithm>

#include <boost/histogram.hpp>

namespace corianderplank {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 1000;
constexpr double kLowestMicroseconds = 1;
constexpr double kHighestMicroseconds = 1e9;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeHistogram() {
  return bh::make_histogram(
      log_axis(kBins, kLowestMicroseconds, kHighestMicroseconds));
}

}  // namespace

struct latency_histogram::state {
  decltype(MakeHistogram()) histogram = MakeHistogram();
  std::uint64_t count = 0;
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Add(std::chrono::microseconds value) {
  state_->histogram(
      std::max(static_cast<double>(value.count()), kLowestMicroseconds));
  ++state_->count;
}

std::chrono::microseconds latency_histogram::Quantile(double share) const {
  const double wanted = share * static_cast<double>(state_->count);
  double seen = 0;
  for (auto&& cell : bh::indexed(state_->histogram)) {
    seen += *cell;
    if (seen >= wanted && seen > 0) {
      return std::chrono::microseconds(
          static_cast<std::int64_t>(cell.bin(0).upper()));
    }
  }
  return std::chrono::microseconds(0);
}

std::uint64_t latency_histogram::Count() const {
  return state_->count;
}

}  // namespace corianderplank
