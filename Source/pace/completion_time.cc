#include "pace/completion_time.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPermille = 1000;
/// Relative service times between these count as the mean. The chance of which
/// requests a target got makes this difference; following it would move flows
/// to and fro between equal targets, and a caller does not notice it.
constexpr std::uint64_t kLeastDifference = 667;
constexpr std::uint64_t kMostDifference = 1500;

/// Weighs a reported value against what holds without a report, by age.
std::uint64_t Fade(std::uint64_t reported,
                   std::uint64_t otherwise,
                   std::chrono::milliseconds age) {
  const auto lifetime =
      static_cast<std::uint64_t>(kServiceTimeLifetime.count());
  const auto passed = static_cast<std::uint64_t>(
      std::clamp(age, 0ms, kServiceTimeLifetime).count());
  return (reported * (lifetime - passed) + otherwise * passed) / lifetime;
}

}  // namespace

bool IsLearned(const target_outlook& target) {
  return target.service_time != 0ms && target.age < kServiceTimeLifetime;
}

std::uint64_t CompletionTime(const target_outlook& target,
                             std::chrono::milliseconds mean_service_time) {
  const std::uint64_t slots =
      std::uint64_t{std::max(1U, target.slots)} * kPermille;
  const std::uint64_t pace =
      target.pace_permille == 0 ? slots
                                : Fade(target.pace_permille, slots, target.age);
  std::uint64_t relative = kPermille;
  if (target.service_time != 0ms) {
    relative =
        static_cast<std::uint64_t>(target.service_time.count()) * kPermille /
        static_cast<std::uint64_t>(std::max(1ms, mean_service_time).count());
    relative = relative > kLeastDifference && relative < kMostDifference
                   ? kPermille
                   : Fade(relative, kPermille, target.age);
  }
  const std::uint64_t ahead = target.utilization_permille * slots / pace;
  const std::uint64_t wait = ahead * ahead * kPermille / (kPermille + ahead);
  return (kPermille * kPermille + wait) * relative / kPermille;
}

}  // namespace corianderplank
