/// @file
/// Judges a backend server by the results of its calls, not by what it says.
#pragma once

#include <cstdint>

#include "core/request_agent_effects.h"

namespace corianderplank {

/// Suspends a backend server that cannot be reached; handicaps one that sheds.
class backend_monitor {
 public:
  /// @param now the present time.
  /// @param status how a call ended.
  void OnResult(time_point now, execution_status status);

  /// @param now the present time.
  /// @return whether no new work should be taken at present.
  bool IsSuspended(time_point now) const;

  /// @param now the present time.
  /// @return load to add, in thousandths of the slots.
  std::uint32_t LoadPenaltyPermille(time_point now) const;

 private:
  void Suspend(time_point now);

  std::uint32_t failures_ = 0;
  std::uint32_t sheds_ = 0;
  std::uint32_t suspensions_ = 0;
  time_point suspended_until_;
  time_point shed_at_;
  bool has_shed_ = false;
};

}  // namespace corianderplank
