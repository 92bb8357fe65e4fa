/// @file
/// What an entry knows of each target's load, and where it places new flows.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/fleet_index.h"
#include "core/mesh_message.h"

namespace corianderplank {

/// Loads by machine; reports come from the agents and age.
class target_loads {
 public:
  /// @param own_zone HashName of the entry's failure domain.
  explicit target_loads(std::uint64_t own_zone) : own_zone_(own_zone) {}

  /// An agent told its load.
  /// @param now the present time.
  /// @param machine the agent's machine.
  /// @param load the load.
  void OnLoadReport(time_point now,
                    machine_address machine,
                    const agent_load& load);

  /// A new flow was sent there.
  /// @param machine the agent's machine.
  void OnFlowPlaced(machine_address machine);

  /// A new flow was not answered in time.
  /// @param now the present time.
  /// @param machine the agent's machine.
  void OnOpeningTimeout(time_point now, machine_address machine);

  /// The target gave a new flow back.
  /// @param now the present time.
  /// @param machine the agent's machine.
  void OnFlowRefused(time_point now, machine_address machine);

  /// The agent asks for no new flows.
  /// @param now the present time.
  /// @param machine the agent's machine.
  void OnAgentLeaving(time_point now, machine_address machine);

  /// Chooses the target of a new flow.
  /// @param now the present time.
  /// @param targets targets of the flow's service.
  /// @param flow_hash HashFlow of the flow.
  /// @param tried machines that did not take the flow.
  /// @return the target, or nullptr when every usable one was tried.
  const fleet_target* Choose(time_point now,
                             const std::vector<const fleet_target*>& targets,
                             std::uint64_t flow_hash,
                             const std::vector<machine_address>& tried);

  /// @param now the present time.
  /// @param target a target.
  /// @param mean work that is assumed where the load is not known.
  /// @return its cost for a new flow: thousandths of its slots in use, and
  ///     handicaps. Lower is better.
  std::uint64_t Score(time_point now,
                      const fleet_target& target,
                      std::uint64_t mean) const;

  /// @param entries entries that place flows, this one included.
  void SetEntryCount(std::uint32_t entries) { entries_ = entries; }

  /// Forgets machines that an index no longer has.
  /// @param index the index in use.
  void Retain(const fleet_index& index);

 private:
  struct state {
    agent_load load;
    std::uint32_t placed_since = 0;
    bool heard = false;
    time_point heard_at{};
    time_point avoid_until{};
  };

  bool IsAvoided(time_point now, machine_address machine) const;
  bool IsHeard(time_point now, machine_address machine) const;
  /// @return the mean work of the targets whose load is known, in thousandths
  ///     of their slots.
  std::uint64_t MeanWork(time_point now,
                         const std::vector<const fleet_target*>& targets) const;
  /// @return work of a target whose load is known, in thousandths of its slots.
  std::uint64_t KnownWork(const fleet_target& target) const;

  std::uint64_t own_zone_;
  std::uint32_t entries_ = 1;
  std::unordered_map<machine_address, state> states_;
  std::vector<const fleet_target*> usable_;
  std::vector<const fleet_target*> avoided_;
  std::vector<ranked_target> ranked_;
};

}  // namespace corianderplank
