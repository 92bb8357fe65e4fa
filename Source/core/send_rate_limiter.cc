#include "core/send_rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace corianderplank {
namespace {

/// Time whose bytes may be sent at once.
constexpr double kBurstSeconds = 0.25;

}  // namespace

bool send_rate_limiter::CanSend(time_point now,
                                std::chrono::milliseconds reserve) {
  if (bytes_per_second_ == 0) {
    return true;
  }
  const double burst = kBurstSeconds * static_cast<double>(bytes_per_second_);
  if (at_ == time_point{}) {
    left_ = burst;
  } else if (now > at_) {
    const double seconds = std::chrono::duration<double>(now - at_).count();
    left_ = std::min(burst,
                     left_ + seconds * static_cast<double>(bytes_per_second_));
  }
  at_ = std::max(at_, now);
  return left_ > std::chrono::duration<double>(reserve).count() *
                     static_cast<double>(bytes_per_second_);
}

void send_rate_limiter::Consume(std::size_t bytes) {
  left_ -= static_cast<double>(bytes);
}

}  // namespace corianderplank
