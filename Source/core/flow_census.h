/// @file
/// Finds the holders of many flows at once: queries each agent once for the
/// list of all its flows, instead of once for each flow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet_index.h"
#include "core/flow_packet.h"

namespace corianderplank {

/// Hash that identifies a flow in an agent's list. Two flows may have the same
/// hash, so a match must be confirmed by a query for the flow itself.
using short_flow_hash = std::uint32_t;

/// @param flow address of a flow.
/// @return the flow's hash in flow lists; the same in every process.
short_flow_hash ShortHashFlow(const flow_address& flow);

/// Number of list entries that fit into a datagram of an ordinary network. An
/// agent that has more flows sends no list and must be queried for each flow.
constexpr std::size_t kMaxFlowListEntries = 300;

/// A round of list requests to all agents, and their responses.
class flow_census {
 public:
  /// Begins a round; discards the responses of the previous one.
  /// @param now current time of the monotonic clock.
  /// @param agent_count number of agents that are queried.
  void Begin(time_point now, std::size_t agent_count);

  /// Adds an agent's list. Ignores lists of other rounds and repeated ones.
  /// @param machine address of the agent's machine.
  /// @param round round that the list responds to.
  /// @param complete whether the agent is certain that it has no other flows.
  /// @param flows hashes of its flows.
  void AddFlowList(machine_address machine,
                   std::uint32_t round,
                   bool complete,
                   const std::vector<short_flow_hash>& flows);

  /// @param now current time of the monotonic clock.
  /// @return whether a round is running and all agents have responded or the
  ///     timeout has expired.
  bool IsOver(time_point now) const;

  /// Ends the round and discards its responses.
  void End();

  /// @return whether a round is running.
  bool IsRunning() const { return running_; }
  /// @return number of agents that have responded in this round.
  std::size_t ResponseCount() const { return responded_.size(); }
  /// @return number of the latest round; 0 before the first one.
  std::uint32_t Round() const { return round_; }
  /// @param flow address of a flow.
  /// @return machines whose agents listed a flow with the same hash.
  std::vector<machine_address> FindHolders(const flow_address& flow) const;
  /// @return machines whose agents have listed all their flows; valid until
  ///     the next call of Begin, AddFlowList or End.
  const std::vector<machine_address>& CompleteAgents() const {
    return complete_agents_;
  }

 private:
  bool running_ = false;
  std::uint32_t round_ = 0;
  std::size_t agent_count_ = 0;
  time_point started_at_{};
  std::unordered_set<machine_address> responded_;
  std::vector<machine_address> complete_agents_;
  std::unordered_multimap<short_flow_hash, machine_address> holders_;
};

}  // namespace corianderplank
