#include "core/load_average.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time constant of the decay: about the service time of one request.
constexpr milliseconds kTimeConstant = 150ms;
constexpr double kPermille = 1000;

}  // namespace

void load_average::Advance(time_point now) {
  if (now <= at_) {
    return;
  }
  if (at_ != time_point{}) {
    const double elapsed =
        std::chrono::duration<double>(now - at_) / kTimeConstant;
    const double kept = std::exp(-elapsed);
    average_ = average_ * kept + static_cast<double>(count_) * (1 - kept);
  }
  at_ = now;
}

void load_average::Set(time_point now, std::size_t count) {
  Advance(now);
  count_ = count;
}

std::uint32_t load_average::Permille(time_point now) {
  Advance(now);
  return static_cast<std::uint32_t>(std::max(0.0, average_ * kPermille));
}

}  // namespace corianderplank
