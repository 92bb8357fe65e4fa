#include "core/send_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace corianderplank {
namespace {

/// Capacity of the bucket, as the time in which it refills.
constexpr double kBurstSeconds = 0.25;

}  // namespace

bool send_rate_limiter::CanSend(time_point now,
                                std::chrono::milliseconds reserve) {
  if (bytes_per_second_ == 0) {
    return true;
  }
  const double burst = kBurstSeconds * static_cast<double>(bytes_per_second_);
  if (refilled_at_ == time_point{}) {
    available_bytes_ = burst;
  } else if (now > refilled_at_) {
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    available_bytes_ =
        std::min(burst, available_bytes_ +
                            seconds * static_cast<double>(bytes_per_second_));
  }
  refilled_at_ = std::max(refilled_at_, now);
  return available_bytes_ > std::chrono::duration<double>(reserve).count() *
                                static_cast<double>(bytes_per_second_);
}

void send_rate_limiter::Consume(std::size_t bytes) {
  available_bytes_ -= static_cast<double>(bytes);
}

}  // namespace corianderplank
