/// @file
/// Limits how many targets of a service are spared because their answers are
/// suspected.
#pragma once

#include <chrono>
#include <unordered_map>
#include <vector>

#include "core/fleet_index.h"

namespace corianderplank {

/// The suspected targets that an entry knows of. Decided by each entry for
/// itself: it hears of a pause when it places a flow there. Not thread-safe;
/// every `now` is the current time of the monotonic clock.
class suspect_limit {
 public:
  /// Records that an agent refused a flow since its target is suspected.
  /// @param now current time.
  /// @param machine address of the agent's machine.
  /// @param pause how long the target should get no new flows.
  /// @param targets all targets of its service, not null.
  /// @return whether the service can spare the target. If not, it gets new
  ///     flows all the same until the pause ends.
  bool OnPause(time_point now,
               machine_address machine,
               std::chrono::milliseconds pause,
               const std::vector<const fleet_target*>& targets);

  /// @param now current time.
  /// @param machine address of an agent's machine.
  /// @return whether its target is suspected, but cannot be spared.
  bool IsNeeded(time_point now, machine_address machine) const;

  /// Removes machines that an index does not contain.
  /// @param index index of the current fleet snapshot.
  void Retain(const fleet_index& index);

 private:
  struct suspect {
    time_point until{};
    bool spared = false;
  };

  std::unordered_map<machine_address, suspect> suspects_;
};

}  // namespace corianderplank
