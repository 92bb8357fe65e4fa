/// @file
/// Loads of targets as an entry knows them, and the choice of a target for a
/// new flow.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/fleet_index.h"
#include "core/mesh_message.h"
#include "pace/completion_time.h"

namespace corianderplank {

/// Loads of targets by machine. A load that an agent reports loses weight with
/// its age. Not thread-safe; every `now` is the current time of the monotonic
/// clock, every `machine` the address of an agent's machine.
class target_loads {
 public:
  /// @param own_failure_domain HashName of the entry's failure domain.
  explicit target_loads(std::uint64_t own_failure_domain)
      : own_failure_domain_(own_failure_domain) {}

  /// Records a load that an agent has reported.
  /// @param now current time.
  /// @param machine machine of the agent.
  /// @param load load of its target.
  void OnLoadReport(time_point now,
                    machine_address machine,
                    const agent_load& load);

  /// Records that a new flow was placed on the machine's target; it counts as
  /// load until the next report.
  /// @param machine machine of the agent.
  void OnFlowPlaced(machine_address machine);

  /// Records that there was no response to a new flow within the timeout.
  /// @param now current time.
  /// @param machine machine of the agent.
  void OnOpeningTimeout(time_point now, machine_address machine);

  /// Records that the target refused a new flow.
  /// @param now current time.
  /// @param machine machine of the agent.
  /// @param pause how long the target should get no new flows, since it fails
  ///     its requests; 0 if it does not.
  void OnFlowRefused(time_point now,
                     machine_address machine,
                     std::chrono::milliseconds pause);

  /// Records that the machine's target is leaving or has ended.
  /// @param now current time.
  /// @param machine machine of the agent.
  void OnAgentLeaving(time_point now, machine_address machine);

  /// Chooses the target of a new flow.
  /// @param now current time.
  /// @param targets targets of the flow's service, not null.
  /// @param flow_hash HashFlow of the flow.
  /// @param tried machines to leave out, because they got the flow already.
  /// @return the target, owned by the caller's list; nullptr if no usable one
  ///     is left.
  const fleet_target* Choose(time_point now,
                             const std::vector<const fleet_target*>& targets,
                             std::uint64_t flow_hash,
                             const std::vector<machine_address>& tried);

  /// What is assumed of targets that have not reported.
  struct service_means {
    /// In thousandths of a target's slots; 0 if none has reported.
    std::uint64_t utilization = 0;
    /// Mean of the service times reported; 0 if the agents do not learn them.
    std::chrono::milliseconds service_time{0};
  };

  /// @param now current time.
  /// @param target target to rate.
  /// @param means what is assumed if the target's report is not known.
  /// @return the target's cost for a new flow, lower is better, with penalties:
  ///     its expected time to complete a request, in millionths of the
  ///     service's mean service time; where service times are not known, its
  ///     utilization in thousandths of its slots.
  std::uint64_t Score(time_point now,
                      const fleet_target& target,
                      const service_means& means) const;

  /// @param entries number of entries that place flows, including this one.
  void SetEntryCount(std::uint32_t entries) { entries_ = entries; }

  /// Removes machines that an index does not contain.
  /// @param index index of the current fleet snapshot.
  void Retain(const fleet_index& index);

 private:
  struct machine_state {
    agent_load load;
    /// Flows placed since the last report.
    std::uint32_t placed_since_report = 0;
    bool reported = false;
    time_point reported_at{};
    /// Until then the target gets new flows only if no other one can.
    time_point avoid_until{};
  };

  bool IsAvoided(time_point now, machine_address machine) const;
  /// @return whether there is a report that has not expired.
  bool HasCurrentReport(time_point now, machine_address machine) const;
  /// @return means of the targets that have a current report.
  service_means Means(time_point now,
                      const std::vector<const fleet_target*>& targets) const;
  /// @return utilization of a target that has a report, in thousandths of its
  ///     slots.
  std::uint64_t ReportedUtilization(const fleet_target& target) const;

  std::uint64_t own_failure_domain_;
  std::uint32_t entries_ = 1;
  std::unordered_map<machine_address, machine_state> states_;
  /// Buffers of Choose, kept to avoid allocations.
  std::vector<const fleet_target*> usable_;
  std::vector<const fleet_target*> avoided_;
  std::vector<ranked_target> ranked_;
};

}  // namespace corianderplank
