#include "core/backend_monitor.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Failures in a row after which a backend server is suspended.
constexpr std::uint32_t kFailuresToSuspend = 3;
/// Refusals in a row, with no answer between them.
constexpr std::uint32_t kShedsToSuspend = 5;
constexpr auto kFirstSuspension = 1s;
constexpr std::uint32_t kMaxDoublings = 3;
/// Handicap right after the backend server refused work; it fades.
constexpr std::uint32_t kShedPermille = 1000;
constexpr auto kShedMemory = 1s;

}  // namespace

void backend_monitor::OnResult(time_point now, execution_status status) {
  switch (status) {
    case execution_status::completed:
      failures_ = 0;
      sheds_ = 0;
      suspensions_ = 0;
      return;
    case execution_status::shed:
      has_shed_ = true;
      shed_at_ = now;
      failures_ = 0;
      if (++sheds_ >= kShedsToSuspend) {
        Suspend(now);
      }
      return;
    case execution_status::unreachable:
    case execution_status::lost:
      break;
  }
  if (++failures_ < kFailuresToSuspend) {
    return;
  }
  // One more failure after the suspension is enough for the next.
  failures_ = kFailuresToSuspend - 1;
  Suspend(now);
}

void backend_monitor::Suspend(time_point now) {
  const std::uint32_t doublings = std::min(suspensions_++, kMaxDoublings);
  suspended_until_ = now + kFirstSuspension * (1U << doublings);
}

bool backend_monitor::IsSuspended(time_point now) const {
  return suspensions_ > 0 && now < suspended_until_;
}

std::uint32_t backend_monitor::LoadPenaltyPermille(time_point now) const {
  if (!has_shed_ || now - shed_at_ >= kShedMemory) {
    return 0;
  }
  const auto left = (kShedMemory - (now - shed_at_)) / 1ms;
  return static_cast<std::uint32_t>(kShedPermille * left / (kShedMemory / 1ms));
}

}  // namespace corianderplank
