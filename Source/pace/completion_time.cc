#include "pace/completion_time.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPermille = 1000;
/// Shorter relative service times count as the mean. Up to this the chance of
/// which requests a target got makes the difference, and following it would
/// move flows to and fro between equal targets. A target that is faster than
/// its peers gets no more for it: one that fails everything answers fastest.
constexpr std::uint64_t kLeastSlowness = 1500;
/// The same for a difference that no caller notices: it is the way to another
/// failure domain and back. Where requests take a few milliseconds, packets
/// that were lost make more than that of the mean.
constexpr std::chrono::milliseconds kLeastDelay{10};

/// Weighs a reported value against what holds without a report, by age.
std::uint64_t Fade(std::uint64_t reported,
                   std::uint64_t otherwise,
                   std::chrono::milliseconds age) {
  const auto all = static_cast<std::uint64_t>(kServiceTimeLifetime.count());
  const auto passed = static_cast<std::uint64_t>(
      std::clamp(age, 0ms, kServiceTimeLifetime).count());
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
      target.pace_permille == 0 ? slots
                                : Fade(target.pace_permille, slots, target.age);
  std::uint64_t relative = kPermille;
  if (target.service_time >= mean_service_time + kLeastDelay) {
    relative =
        static_cast<std::uint64_t>(target.service_time.count()) * kPermille /
        static_cast<std::uint64_t>(std::max(1ms, mean_service_time).count());
    relative = relative < kLeastSlowness
                   ? kPermille
                   : Fade(relative, kPermille, target.age);
  }
  const std::uint64_t ahead = target.utilization_permille * slots / pace;
  const std::uint64_t with_own_queue =
      (kPermille * kPermille + Wait(ahead)) * relative / kPermille;
  // All entries avoid a slow target until its requests are completed as late as
  // elsewhere, so that is what to expect where its own queue is not known.
  const std::uint64_t as_elsewhere =
      std::max(kPermille * relative, kPermille * kPermille + Wait(ahead));
  const std::uint64_t known =
      std::min<std::uint64_t>(kPermille, target.load_weight_permille);
  return (with_own_queue * known + as_elsewhere * (kPermille - known)) /
         kPermille;
}

}  // namespace corianderplank
