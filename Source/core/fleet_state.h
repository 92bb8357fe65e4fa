/// @file
/// Mutable table of targets and configuration on the control thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ended_targets.h"
#include "core/fleet.h"
#include "core/mesh_message.h"
#include "evacuation/evacuation_table.h"

namespace corianderplank {

/// Time limits of the fleet state.
struct fleet_state_limits {
  /// Age at which a flow may expire. Removed targets remain possible flow
  /// holders for the same time.
  std::chrono::milliseconds longest_flow{60000};
  /// Time after the recovery of a failed source within which missing targets
  /// may be listed again.
  std::chrono::milliseconds source_recovery_grace{2000};
  /// Time after the restoration of the source from a copy within which rows may
  /// be older than known ones. Longer than the three heartbeats after which the
  /// source removes a target that does not write again.
  std::chrono::milliseconds restoration_grace{5000};
};

/// Splits an update into parts with a limited number of rows, ordered by
/// revision. Only the last part confirms the state: a receiver that misses an
/// earlier part detects the gap.
/// @param update update whose `base_revision` is above 0.
/// @param most_rows maximum number of rows in a part; above 0.
/// @return at least one part.
std::vector<fleet_update> SplitUpdate(fleet_update update,
                                      std::size_t most_rows);

/// Result of applying a peer's update.
enum class update_result : std::uint8_t {
  applied,  ///< Rows and confirmation were applied.
  gap,      ///< Rows were applied; earlier changes are missing.
  /// Rows were applied; the configuration that the update names is missing.
  lacks_configuration,
  /// Rows were applied; a configuration is missing that the sender does not
  /// have either.
  sender_lacks_configuration,
  /// Nothing was applied: the sender reads a history that the source has lost.
  outdated,
};

/// How the result of a read relates to the fleet state.
enum class read_relation : std::uint8_t {
  current,        ///< It can be applied.
  outdated,       ///< It precedes the state and must be dropped.
  other_history,  ///< The source was restored; a complete list is required.
};

/// Table of targets and the newest configuration. Rows with an older revision
/// and configurations with an older version never replace newer ones. After the
/// source was restored from a copy, rows that their targets published before
/// the known ones are ignored until the targets had time to write again; if
/// there were any, a complete list after that time decides. Used by the control
/// thread only.
class fleet_state {
 public:
  /// @param limits time limits for flows and source recovery.
  /// @param first_start whether the whole system is starting, so that no older
  ///     flow exists.
  fleet_state(const fleet_state_limits& limits, bool first_start)
      : limits_(limits),
        first_start_(first_start),
        ended_(limits.longest_flow) {}

  /// @param base revision from which a read started; 0 for a complete list.
  /// @param revision revision of the read's result.
  /// @return how the result relates to the state.
  read_relation Relate(const source_revision& base,
                       const source_revision& revision) const;

  /// @param now current time of the monotonic clock.
  /// @return whether a complete list is required, since rows of a restored
  ///     source were ignored and their targets had time to write again.
  bool NeedsList(time_point now) const;

  /// Applies a complete list; known targets that are not in it are marked as
  /// removed.
  /// @param now current time of the monotonic clock.
  /// @param began time at which the read began.
  /// @param revision revision of the list; a list older than the state is
  ///     ignored.
  /// @param rows all listed targets.
  /// @param evacuations all evacuations in force.
  void ApplyList(time_point now,
                 time_point began,
                 const source_revision& revision,
                 const std::vector<fleet_target>& rows,
                 const std::vector<domain_evacuation>& evacuations = {});

  /// Applies the changes since Revision().
  /// @param now current time of the monotonic clock.
  /// @param began time at which the read began.
  /// @param revision revision up to which the changes are complete.
  /// @param rows changed targets; `removed` marks those removed from the list.
  /// @param evacuations evacuations that began or ended.
  void ApplyChanges(time_point now,
                    time_point began,
                    const source_revision& revision,
                    const std::vector<fleet_target>& rows,
                    const std::vector<domain_evacuation>& evacuations = {});

  /// @param configuration a configuration; null is ignored.
  /// @return whether it was newer than the current one and replaced it.
  bool ApplyConfiguration(
      std::shared_ptr<const fleet_configuration> configuration);

  /// Confirms the state only if everything up to the update's revision is
  /// present, since the changes are read from that revision on.
  /// @param now current time of the monotonic clock.
  /// @param update a peer's update; its configuration text is ignored, and is
  ///     applied before by ApplyConfiguration.
  /// @return whether the state is confirmed, or what is missing.
  update_result ApplyUpdate(time_point now, const fleet_update& update);

  /// @param now current time of the monotonic clock.
  /// @param revision revision that the peer has; 0 requests the complete state.
  /// @return the later changes, without the configuration text.
  fleet_update UpdateSince(time_point now,
                           const source_revision& revision) const;

  /// Records an agent whose target may be missing from the list. The target
  /// remains a possible flow holder and gets no new flows.
  /// @param now current time of the monotonic clock.
  /// @param agent machine and service of the agent.
  void RecordUnlistedAgent(time_point now, const present_agent& agent);

  /// @param machine address of a machine.
  /// @param except identifier of a target that does not count.
  /// @return whether another target of a configured service is listed on the
  ///     machine.
  bool HasListedTarget(std::uint32_t machine, target_id except = {}) const;

  /// Records an agent's report that nothing listens at its target's address.
  /// The report is ignored while a target is listed on that machine, since that
  /// target may have started later. A target cannot be added and removed within
  /// the delay of the agent's message.
  /// @param now current time of the monotonic clock.
  /// @param machine the agent's machine.
  /// @return the record to send to the other entries; std::nullopt if nothing
  ///     changed.
  std::optional<ended_target> RecordTargetAbsence(time_point now,
                                                  std::uint32_t machine);

  /// Applies absence reports that arrived before the first list.
  /// @param now current time of the monotonic clock.
  /// @return the records to send to the other entries.
  std::vector<ended_target> ApplyEarlyAbsences(time_point now);

  /// Records ended targets that another entry reported.
  /// @param now current time of the monotonic clock.
  /// @param ended targets that have ended.
  /// @return those that were not known before.
  std::vector<ended_target> RecordEndedTargets(
      time_point now,
      const std::vector<ended_target>& ended);

  /// @return all known ended targets.
  const ended_targets& EndedTargets() const { return ended_; }

  /// Notes that every running agent has had time to report itself.
  /// @param now current time of the monotonic clock.
  void OnAgentsKnown(time_point now) { agents_known_at_ = now; }

  /// @return whether every target that may hold a flow is known.
  /// @param now current time of the monotonic clock.
  bool KnowsAllHolders(time_point now) const;

  /// A process that has just started does not know which targets were removed
  /// before, unless it got them from another one.
  /// @param now current time of the monotonic clock.
  /// @return time since the earliest list that this state includes was read, by
  ///     this process or by those whose complete states it has applied; at most
  ///     the longest life of a flow, 0 without a list.
  std::chrono::milliseconds HistoryLength(time_point now) const;

  /// Evicts targets that were removed too long ago to hold a flow.
  /// @param now current time of the monotonic clock.
  void Expire(time_point now);

  /// @param now current time of the monotonic clock.
  /// @return a snapshot for the traffic thread; never null.
  std::shared_ptr<const fleet_snapshot> Snapshot(time_point now) const;

  /// @return the current configuration; null before the first one.
  const std::shared_ptr<const fleet_configuration>& Configuration() const {
    return configuration_;
  }
  /// @return version of the current configuration; 0 before the first one.
  std::uint64_t ConfigurationVersion() const {
    return configuration_ == nullptr ? 0 : configuration_->version;
  }
  /// @return revision up to which rows and configuration are complete; 0 before
  ///     any list.
  const source_revision& Revision() const { return revision_; }
  /// @return start of the latest read that confirmed the rows.
  time_point ConfirmedAt() const { return confirmed_at_; }
  /// @return the targets that have changed since the last call.
  std::vector<fleet_target> CollectChanges();
  /// @return the failure domains that were evacuated or taken back since the
  ///     last call.
  std::vector<domain_evacuation> CollectEvacuations() {
    return evacuations_.CollectChanges();
  }
  /// @return the evacuations, including ended ones.
  const evacuation_table& Evacuations() const { return evacuations_; }
  /// @return targets by identifier.
  const std::unordered_map<target_id, fleet_target, identifier_hash>& Targets()
      const {
    return targets_;
  }

 private:
  /// Which of two rows of a target counts.
  enum class row_order : std::uint8_t {
    by_revision,
    /// A row of a later epoch counts only if its target did not publish it
    /// before the known one.
    by_report,
  };

  void Confirm(time_point now,
               time_point began,
               const source_revision& revision);
  /// Starts the period in which rows of a restored source may be older.
  void DetectRestoration(time_point now, const source_revision& revision);
  /// Starts the recovery grace period if the source was not read for a while.
  void DetectSourceOutage(time_point now, time_point began);
  void ApplyRow(time_point now, const fleet_target& row, row_order order);
  /// @return whether a target of the same content has become cold again.
  bool BecameCold(time_point now,
                  const fleet_target& known,
                  const fleet_target& row) const;
  void ApplyRows(time_point now,
                 const std::vector<fleet_target>& rows,
                 row_order order);
  /// Marks targets as removed that a complete list does not contain.
  void MarkMissingRemoved(time_point now,
                          const source_revision& revision,
                          const std::vector<fleet_target>& rows);
  void MarkRemoved(time_point now,
                   fleet_target& item,
                   const source_revision& revision);
  std::chrono::milliseconds HoldersKnownFor(time_point now) const;
  /// @return whether a target on the machine may hold flows.
  bool HasHolder(std::uint32_t machine) const;

  fleet_state_limits limits_;
  bool first_start_;
  ended_targets ended_;
  /// Absence reports received before the first list, with their arrival times.
  std::unordered_map<std::uint32_t, time_point> early_absences_;
  std::unordered_map<target_id, fleet_target, identifier_hash> targets_;
  evacuation_table evacuations_;
  std::shared_ptr<const fleet_configuration> configuration_;
  /// Highest version that a peer's update has named.
  std::uint64_t announced_version_ = 0;
  /// Routes of earlier configuration versions that are no longer configured.
  std::vector<endpoint> dropped_routes_;
  source_revision revision_;
  std::vector<target_id> changed_;
  time_point confirmed_at_{};
  /// Time since which no target was added or removed unnoticed.
  time_point complete_since_{};
  /// When the earliest list that this state includes was read.
  time_point history_since_{};
  /// End of the recovery grace period.
  time_point recovery_until_{};
  /// End of the period in which targets write again to a restored source.
  time_point settles_at_{};
  /// Whether rows of a restored source were ignored since they were older, here
  /// or by the peer that sent its complete state.
  bool has_ignored_rows_ = false;
  time_point agents_known_at_{};
};

}  // namespace corianderplank
