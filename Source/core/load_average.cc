#include "core/load_average.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time over which past load fades: about a request's work.
constexpr milliseconds kLoadMemory = 150ms;
constexpr double kPermille = 1000;

}  // namespace

void load_average::Advance(time_point now) {
  if (now <= at_) {
    return;
  }
  if (at_ != time_point{}) {
    const double passed =
        std::chrono::duration<double>(now - at_) / kLoadMemory;
    const double kept = std::exp(-passed);
    average_ = average_ * kept + static_cast<double>(busy_) * (1 - kept);
  }
  at_ = now;
}

void load_average::Set(time_point now, std::size_t busy) {
  Advance(now);
  busy_ = busy;
}

std::uint32_t load_average::Permille(time_point now) {
  Advance(now);
  return static_cast<std::uint32_t>(std::max(0.0, average_ * kPermille));
}

}  // namespace corianderplank
