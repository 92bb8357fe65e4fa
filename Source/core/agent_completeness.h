/// @file
/// Which agents know all flows of their targets, as an entry has seen it.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/fleet_index.h"

namespace corianderplank {

/// An agent that was started after its target does not know all flows: it can
/// confirm a flow, but not deny one, and only the target itself can tell. This
/// is a hint about the cheapest question, not a proof. Not thread-safe.
class agent_completeness {
 public:
  /// Records an agent's latest response.
  /// @param machine address of the agent's machine.
  /// @param complete whether the agent knows all flows of its target.
  void Set(machine_address machine, bool complete);

  /// @param machine address of an agent's machine.
  /// @return whether the agent can probably deny flows; without a response the
  ///     same as most other agents.
  bool IsComplete(machine_address machine) const;

  /// @return whether most agents that have responded are not complete, as after
  ///     a restart of all agents.
  bool IsMostlyIncomplete() const {
    return incomplete_count_ > complete_.size() / 2;
  }

  /// Removes machines that an index does not contain.
  /// @param index index of the current fleet snapshot.
  void Retain(const fleet_index& index);

 private:
  std::unordered_map<machine_address, bool> complete_;
  std::size_t incomplete_count_ = 0;
};

}  // namespace corianderplank
