/// @file
/// Slots that open up while a backend server warms up.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Grows the allowed slots from one to all over the cold start.
class slot_ramp {
 public:
  /// @param now the present time; the ramp starts with the first call.
  /// @param cold_start how long it lasts, 0 for none.
  void Configure(time_point now, std::chrono::milliseconds cold_start);

  /// Begins the ramp anew: the backend server has come back.
  /// @param now the present time.
  void Restart(time_point now) { started_at_ = now; }

  /// @param now the present time.
  /// @param slots the target's slots.
  /// @return the slots that may be used, at least one.
  std::uint32_t SlotLimit(time_point now, std::uint32_t slots) const;

 private:
  time_point started_at_;
  std::chrono::milliseconds cold_start_{0};
};

}  // namespace corianderplank
