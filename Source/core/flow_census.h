/// @file
/// Many searches at once: each agent is asked once for all flows that it has,
/// instead of once for each flow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet_index.h"
#include "core/flow_packet.h"

namespace corianderplank {

/// A flow in an agent's list. Two flows may share a number: whoever finds a
/// flow's number in a list asks for the flow itself.
using short_flow_hash = std::uint32_t;

/// @param flow a flow.
/// @return its number in lists.
short_flow_hash ShortHashFlow(const flow_address& flow);

/// Flows that fit a datagram of an ordinary network; an agent that has more
/// sends no list, and is asked for each flow.
constexpr std::size_t kMaxFlowListEntries = 300;

/// One round of questions to all agents, and what they answered.
class flow_census {
 public:
  /// Begins a round.
  /// @param now the present time.
  /// @param machines who is asked.
  void Begin(time_point now, std::size_t machines);

  /// Takes an agent's list.
  /// @param machine the agent's machine.
  /// @param round the round that it answers.
  /// @param complete whether the agent has no flows but these.
  /// @param flows numbers of its flows.
  void AddFlowList(machine_address machine,
                   std::uint32_t round,
                   bool complete,
                   const std::vector<short_flow_hash>& flows);

  /// @param now the present time.
  /// @return whether the round has nothing to wait for any more.
  bool IsOver(time_point now) const;

  /// Ends the round and forgets its answers.
  void End();

  /// @return whether a round is under way.
  bool IsRunning() const { return running_; }
  /// @return number of the latest round.
  std::uint32_t Round() const { return round_; }
  /// @param flow a flow.
  /// @return agents that have a flow of the same number.
  std::vector<machine_address> FindHolders(const flow_address& flow) const;
  /// @return agents that have told all their flows.
  const std::vector<machine_address>& CompleteAgents() const {
    return complete_;
  }

 private:
  bool running_ = false;
  std::uint32_t round_ = 0;
  std::size_t machines_ = 0;
  time_point began_at_{};
  std::unordered_set<machine_address> heard_;
  std::vector<machine_address> complete_;
  std::unordered_multimap<short_flow_hash, machine_address> holders_;
};

}  // namespace corianderplank
