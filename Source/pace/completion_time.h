/// @file
/// Expected time until a target completes a new request.
#pragma once

#include <chrono>
#include <cstdint>

namespace corianderplank {

/// Age at which a learned service time and pace no longer count. Both change
/// over many requests, and an entry that places one in twenty flows hears from
/// each of fifty targets about once a second, so this is several reports.
constexpr std::chrono::milliseconds kServiceTimeLifetime{3000};

/// What is known about a target.
struct target_outlook {
  /// Requests ahead of a new one, with penalties, in thousandths of the slots.
  std::uint64_t utilization_permille = 0;
  /// How much of that the target has reported, in thousandths; the rest is the
  /// mean of its peers.
  std::uint32_t load_weight_permille = 1000;
  /// Slots of the target; 0 counts as 1.
  std::uint32_t slots = 1;
  /// Requests that it works on at a time, in thousandths; 0 if not reported.
  std::uint32_t pace_permille = 0;
  /// Its expected service time; 0 if not reported.
  std::chrono::milliseconds service_time{0};
  /// Age of the report.
  std::chrono::milliseconds age{0};
};

/// @param target a target.
/// @return whether its service time is known.
bool IsLearned(const target_outlook& target);

/// The time that a new request costs at a target: its service time, and the
/// waiting that it adds, which is little while there are free slots and grows
/// steeply where there is none. What is not known is the service's mean and the
/// slots, and a report approaches these with its age.
/// Targets that are about as fast as the mean, or faster, differ by their
/// utilization only.
/// @param target a target of the service.
/// @param mean_service_time mean service time of the service, above 0.
/// @return the time in millionths of the mean service time.
std::uint64_t CompletionTime(const target_outlook& target,
                             std::chrono::milliseconds mean_service_time);

}  // namespace corianderplank
