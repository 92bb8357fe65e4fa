/// @file
/// Which agents run, as a seed hears it: after a total loss this tells when
/// every target that may hold flows is known.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet_belief.h"
#include "core/mesh_message.h"

namespace corianderplank {

/// The roster of one seed.
class agent_registry {
 public:
  /// @param now when the seed began to listen.
  void Start(time_point now) { started_at_ = now; }

  /// The process was asleep and may have missed agents.
  /// @param now when it woke.
  void OnResume(time_point now) { woke_at_ = now; }

  /// An agent told that it runs.
  /// @param now the present time.
  /// @param agent the agent.
  /// @param listed whether a list shows its target as taking flows.
  void OnPresent(time_point now, const present_agent& agent, bool listed);

  /// @param now the present time.
  /// @param belief what is listed.
  /// @return whether every agent that runs had time to say so.
  bool HasSettled(time_point now, const fleet_belief& belief) const;

  /// @return agents whose targets are not listed.
  std::vector<present_agent> Unlisted() const;

  /// Forgets agents that have been silent for long.
  /// @param now the present time.
  void Expire(time_point now);

 private:
  struct heard_agent {
    present_agent agent;
    time_point at;
  };

  time_point started_at_{};
  time_point woke_at_{};
  time_point latest_new_at_{};
  /// Machines of all agents that were heard.
  std::unordered_set<std::uint32_t> heard_;
  std::unordered_map<std::uint32_t, heard_agent> unlisted_;
};

}  // namespace corianderplank
