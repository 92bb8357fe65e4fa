#include "core/backend_monitor.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Consecutive failures after which a backend server is suspended.
constexpr std::uint32_t kFailuresToSuspend = 3;
/// Consecutive shed calls, without a completed call between them, after which a
/// backend server is suspended.
constexpr std::uint32_t kShedsToSuspend = 5;
constexpr auto kFirstSuspension = 1s;
constexpr std::uint32_t kMaxSuspensionDoublings = 3;
/// Load penalty directly after a shed call. It decreases linearly to zero over
/// kShedPenaltyDuration.
constexpr std::uint32_t kShedPenaltyPermille = 1000;
constexpr auto kShedPenaltyDuration = 1s;

}  // namespace

void backend_monitor::OnResult(time_point now, execution_status status) {
  switch (status) {
    case execution_status::completed:
      consecutive_failures_ = 0;
      consecutive_sheds_ = 0;
      consecutive_suspensions_ = 0;
      return;
    case execution_status::shed:
      has_shed_ = true;
      shed_at_ = now;
      consecutive_failures_ = 0;
      if (++consecutive_sheds_ >= kShedsToSuspend) {
        Suspend(now);
      }
      return;
    case execution_status::unreachable:
    case execution_status::lost:
      break;
  }
  if (++consecutive_failures_ < kFailuresToSuspend) {
    return;
  }
  // A single failure after the suspension causes the next one.
  consecutive_failures_ = kFailuresToSuspend - 1;
  Suspend(now);
}

void backend_monitor::Suspend(time_point now) {
  const std::uint32_t doublings =
      std::min(consecutive_suspensions_++, kMaxSuspensionDoublings);
  suspended_until_ = now + kFirstSuspension * (1U << doublings);
}

bool backend_monitor::IsSuspended(time_point now) const {
  return consecutive_suspensions_ > 0 && now < suspended_until_;
}

std::uint32_t backend_monitor::LoadPenaltyPermille(time_point now) const {
  if (!has_shed_ || now - shed_at_ >= kShedPenaltyDuration) {
    return 0;
  }
  const auto remaining_ms = (kShedPenaltyDuration - (now - shed_at_)) / 1ms;
  return static_cast<std::uint32_t>(kShedPenaltyPermille * remaining_ms /
                                    (kShedPenaltyDuration / 1ms));
}

}  // namespace corianderplank
