#include "core/slot_ramp.h"

#include <algorithm>

namespace corianderplank {

void slot_ramp::Configure(time_point now,
                          std::chrono::milliseconds cold_start) {
  if (started_at_ == time_point()) {
    started_at_ = now;
  }
  cold_start_ = cold_start;
}

std::uint32_t slot_ramp::SlotLimit(time_point now, std::uint32_t slots) const {
  const std::uint32_t all = std::max(1U, slots);
  const auto elapsed = now - started_at_;
  if (elapsed >= cold_start_) {
    return all;
  }
  const auto share = std::chrono::duration<double>(elapsed) /
                     std::chrono::duration<double>(cold_start_);
  return std::clamp(static_cast<std::uint32_t>(all * share), 1U, all);
}

}  // namespace corianderplank
