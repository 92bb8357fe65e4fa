/// @file
/// Agents that report to a seed. After a total loss the registry determines
/// when every target that may hold flows is known.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet_state.h"
#include "core/mesh_message.h"

namespace corianderplank {

/// Registry of one seed. All times are of the monotonic clock.
class agent_registry {
 public:
  /// @param now when the seed began to receive reports.
  void Start(time_point now) { started_at_ = now; }

  /// Records that the process was suspended and may have missed reports.
  /// @param now when it resumed.
  void OnResume(time_point now) { resumed_at_ = now; }

  /// Records an agent's report that it runs.
  /// @param now current time of the monotonic clock.
  /// @param agent machine and service of the agent.
  /// @param listed whether its target is listed as accepting flows.
  void OnPresent(time_point now, const present_agent& agent, bool listed);

  /// @param now current time of the monotonic clock.
  /// @param state fleet state with the listed targets.
  /// @return whether every running agent has had time to report.
  bool HasSettled(time_point now, const fleet_state& state) const;

  /// @return agents whose targets are not listed.
  std::vector<present_agent> Unlisted() const;

  /// Removes unlisted agents that have not reported for 5 s.
  /// @param now current time of the monotonic clock.
  void Expire(time_point now);

 private:
  struct unlisted_agent {
    present_agent agent;
    time_point at;
  };

  time_point started_at_{};
  time_point resumed_at_{};
  time_point latest_new_at_{};
  /// Machines of all agents that have reported.
  std::unordered_set<std::uint32_t> known_machines_;
  std::unordered_map<std::uint32_t, unlisted_agent> unlisted_;
};

}  // namespace corianderplank
