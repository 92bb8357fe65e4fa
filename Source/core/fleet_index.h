/// @file
/// Lookups in a fleet snapshot: routes, targets of a service, possible flow
/// holders.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/fleet.h"
#include "core/flow_packet.h"

namespace corianderplank {

/// Number that identifies an agent's machine: its address.
using machine_address = std::uint32_t;

/// A target and its rank for one flow.
struct ranked_target {
  std::uint64_t rank = 0;
  const fleet_target* target = nullptr;
};

/// How much longer a target is cold and what it bears until then.
struct cold_target_state {
  std::chrono::milliseconds remaining{0};  ///< 0 if it is not cold.
  /// New flows a second, in thousandths; 0 for no limit.
  std::uint32_t flows_permille = 0;
};

/// @param snapshot a fleet snapshot.
/// @param row evacuation of a failure domain, or its end.
/// @return a copy of the snapshot with the row in force.
std::shared_ptr<const fleet_snapshot> WithEvacuation(
    const fleet_snapshot& snapshot,
    const domain_evacuation& row);

/// Immutable index over one fleet snapshot.
class fleet_index {
 public:
  /// @param snapshot a fleet snapshot; not null, shared with the index.
  /// @param own_failure_domain HashName of the failure domain that searches
  /// begin in.
  explicit fleet_index(std::shared_ptr<const fleet_snapshot> snapshot,
                       std::uint64_t own_failure_domain = 0);

  /// @return the indexed snapshot.
  const fleet_snapshot& Snapshot() const { return *snapshot_; }

  /// @param address a service's address and port.
  /// @return its route, or nullptr if none is configured.
  const fleet_route* FindRoute(const endpoint& address) const;

  /// @param address a service's address and port.
  /// @return whether only an earlier configuration version had a route for it.
  bool IsDropped(const endpoint& address) const {
    return dropped_.contains(address);
  }

  /// @param machine an agent's machine.
  /// @return the most recently listed target of the machine, or nullptr.
  const fleet_target* FindTarget(machine_address machine) const;

  /// @return every machine that may hold flows.
  std::vector<machine_address> Machines() const;

  /// @return number of machines that may hold flows.
  std::size_t MachineCount() const { return by_machine_.size(); }

  /// @param route a route.
  /// @param flow_hash HashFlow of a flow.
  /// @return the service of the route that gets the flow.
  static service_id SelectService(const fleet_route& route,
                                  std::uint64_t flow_hash);

  /// @param service a service.
  /// @return its targets, including removed ones.
  const std::vector<const fleet_target*>& TargetsOf(service_id service) const;

  /// @param now current time of the monotonic clock.
  /// @param service a service.
  /// @return whether it has targets for new flows, all of them in evacuated
  ///     failure domains.
  bool HasOnlyEvacuated(time_point now, service_id service) const;

  /// @param failure_domain HashName of a failure domain.
  /// @return its evacuation; revision 0 if none is known.
  domain_evacuation EvacuationOf(std::uint64_t failure_domain) const;

  /// @param now current time of the monotonic clock.
  /// @param target a target.
  /// @return its state; without a limit if the configuration names none.
  cold_target_state ColdStateOf(time_point now,
                                const fleet_target& target) const;

  /// Ranks targets by rendezvous hashing: every process with the same targets
  /// gets the same order, and adding or removing a target changes it little.
  /// @param targets targets to rank.
  /// @param flow_hash HashFlow of a flow.
  /// @param count maximum number of results.
  /// @param[out] ranked targets with the highest ranks, highest first.
  static void Rank(const std::vector<const fleet_target*>& targets,
                   std::uint64_t flow_hash,
                   std::size_t count,
                   std::vector<ranked_target>& ranked);

  /// Selects the machines to query next for a flow: first those of the route's
  /// services, with the own failure domain first and by descending rank; then
  /// all others, since earlier configuration versions may have placed the flow
  /// there.
  /// @param route the flow's route, or nullptr.
  /// @param flow_hash HashFlow of the flow.
  /// @param queried machines that were queried already.
  /// @param count maximum number of machines.
  /// @return the machines; empty if all were queried.
  std::vector<machine_address> NextMachinesToQuery(
      const fleet_route* route,
      std::uint64_t flow_hash,
      const std::vector<machine_address>& queried,
      std::size_t count) const;

 private:
  /// @return the targets inside (`near`) or outside the own failure domain.
  std::vector<const fleet_target*> Select(
      const std::vector<const fleet_target*>& targets,
      bool near) const;

  std::shared_ptr<const fleet_snapshot> snapshot_;
  std::uint64_t own_failure_domain_;
  std::unordered_map<service_id,
                     std::vector<const fleet_target*>,
                     identifier_hash>
      by_service_;
  std::unordered_map<machine_address, const fleet_target*> by_machine_;
  std::vector<const fleet_target*> all_;
  std::unordered_set<endpoint, endpoint_hash> dropped_;
};

}  // namespace corianderplank
