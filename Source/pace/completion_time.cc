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

/// Age at which a short service time no longer counts. Every entry prefers a
/// fast target, so it is busier than the others; an entry that does not know
/// its present load must not expect it to be faster than the mean.
constexpr std::chrono::milliseconds kFastLifetime{500};

/// Weighs a reported value against what holds without a report, by age.
std::uint64_t Fade(std::uint64_t reported,
                   std::uint64_t otherwise,
                   std::chrono::milliseconds age,
                   std::chrono::milliseconds lifetime) {
  const auto all = static_cast<std::uint64_t>(lifetime.count());
  const auto passed =
      static_cast<std::uint64_t>(std::clamp(age, 0ms, lifetime).count());
  return (reported * (all - passed) + otherwise * passed) / all;
}

/// What a new request adds to the waiting of all, itself included, in
/// millionths of the service time: 4 u^3 with u requests ahead for each that
/// the target works on at a time, from u = 1 on along the tangent, since then
/// each further request ahead adds as much.
std::uint64_t Wait(std::uint64_t ahead_permille) {
  if (ahead_permille > kPermille) {
    return (12 * ahead_permille - 8 * kPermille) * kPermille;
  }
  return 4 * ahead_permille * ahead_permille * ahead_permille / kPermille;
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
      target.pace_permille == 0
          ? slots
          : Fade(target.pace_permille, slots, target.age, kServiceTimeLifetime);
  std::uint64_t relative = kPermille;
  if (target.service_time != 0ms) {
    relative =
        static_cast<std::uint64_t>(target.service_time.count()) * kPermille /
        static_cast<std::uint64_t>(std::max(1ms, mean_service_time).count());
    relative =
        relative > kLeastDifference && relative < kMostDifference
            ? kPermille
            : Fade(relative, kPermille, target.age,
                   relative < kPermille ? kFastLifetime : kServiceTimeLifetime);
  }
  const std::uint64_t ahead = target.utilization_permille * slots / pace;
  return (kPermille * kPermille + Wait(ahead)) * relative / kPermille;
}

}  // namespace corianderplank
