#include "core/log_rate_limiter.h"

#include <chrono>
#include <utility>

namespace corianderplank {

bool log_rate_limiter::Allow(time_point now, result_code kind) {
  kind_state& state = kinds_[kind];
  if (state.second_began == time_point{} ||
      now - state.second_began >= std::chrono::seconds(1)) {
    state.second_began = now;
    state.written = 0;
  }
  if (state.written >= lines_per_second_) {
    ++state.omitted;
    return false;
  }
  ++state.written;
  return true;
}

std::vector<omitted_lines> log_rate_limiter::TakeOmitted() {
  std::vector<omitted_lines> result;
  for (auto& [kind, state] : kinds_) {
    if (state.omitted > 0) {
      result.push_back({kind, std::exchange(state.omitted, 0)});
    }
  }
  return result;
}

}  // namespace corianderplank
