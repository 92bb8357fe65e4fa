#include "core/retry_timing.h"

#include <algorithm>

namespace corianderplank {
namespace {

constexpr std::chrono::milliseconds kMinRetransmitDelay{80};
constexpr std::chrono::milliseconds kMaxRetransmitDelay{800};
constexpr int kMaxDoublings = 4;

}  // namespace

std::chrono::milliseconds RetransmitDelay(int sends) {
  const int doublings = std::clamp(sends - 1, 0, kMaxDoublings);
  return std::min(kMinRetransmitDelay * (1 << doublings), kMaxRetransmitDelay);
}

std::chrono::milliseconds jitter_source::ApplyJitter(
    std::chrono::milliseconds base) {
  const std::uint64_t draw = MixHash(flow_.value, ++draws_) % 512;
  return base * static_cast<int>(768 + draw) / 1024;
}

}  // namespace corianderplank
