/// @file
/// Limit on the slots in use while a backend server warms up.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Raises the slot limit linearly from one to all slots during the warm-up
/// period.
class slot_ramp {
 public:
  /// @param now current time of the monotonic clock; the first call starts the
  ///     warm-up.
  /// @param cold_start length of the warm-up, 0 for none.
  void Configure(time_point now, std::chrono::milliseconds cold_start);

  /// Starts the warm-up again, because the backend server is in use again.
  /// @param now current time of the monotonic clock.
  void Restart(time_point now) { started_at_ = now; }

  /// @param now current time of the monotonic clock.
  /// @param slots number of slots of the target; 0 counts as 1.
  /// @return number of slots that may be in use, at least one.
  std::uint32_t SlotLimit(time_point now, std::uint32_t slots) const;

 private:
  time_point started_at_;
  std::chrono::milliseconds cold_start_{0};
};

}  // namespace corianderplank
