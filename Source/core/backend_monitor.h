/// @file
/// Health of a backend server by the results of its calls, independent of the
/// state that it reports.
#pragma once

#include <cstdint>

#include "core/request_agent_effects.h"

namespace corianderplank {

/// Suspends a backend server whose calls fail and adds a load penalty while it
/// sheds work.
class backend_monitor {
 public:
  /// @param now current time of the monotonic clock.
  /// @param status how a call to the backend server ended.
  void OnResult(time_point now, execution_status status);

  /// @param now current time of the monotonic clock.
  /// @return whether the agent should accept no new work at this time.
  bool IsSuspended(time_point now) const;

  /// @param now current time of the monotonic clock.
  /// @return load to add to the agent's own, in thousandths of the slots.
  std::uint32_t LoadPenaltyPermille(time_point now) const;

 private:
  void Suspend(time_point now);

  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_sheds_ = 0;
  std::uint32_t consecutive_suspensions_ = 0;
  time_point suspended_until_;
  time_point shed_at_;
  bool has_shed_ = false;
};

}  // namespace corianderplank
