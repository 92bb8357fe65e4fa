/// @file
/// What an entry believes of targets and configuration, and how old it is.
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

namespace corianderplank {

/// Bounds that the belief needs.
struct fleet_state_limits {
  /// Age at which a flow may be forgotten: targets that left stay possible
  /// holders as long.
  std::chrono::milliseconds longest_flow{60000};
  /// Time after the return of a failed source within which targets that are
  /// missing may come back.
  std::chrono::milliseconds source_recovery_grace{2000};
};

/// Splits an update into parts of some rows each, in the order of their
/// changes. Only the last one confirms.
/// @param update rows since a revision above 0.
/// @param most_rows rows of a part at the most, more than 0.
/// @return the parts; one when there are few rows.
std::vector<fleet_update> SplitUpdate(fleet_update update,
                                      std::size_t most_rows);

/// How a peer's update fits.
enum class update_result : std::uint8_t {
  applied,  ///< Rows and confirmation were taken.
  gap,      ///< Rows were taken; others that changed before them are missing.
};

/// Table of targets and the newest configuration. Nothing ever goes back:
/// rows by revision, configurations by version.
class fleet_state {
 public:
  /// @param limits bounds.
  /// @param first_start the whole system starts now: no flow is older.
  fleet_state(const fleet_state_limits& limits, bool first_start)
      : limits_(limits),
        first_start_(first_start),
        ended_(limits.longest_flow) {}

  /// Takes a whole list.
  /// @param now the present time.
  /// @param began when the read began.
  /// @param revision revision of the list; older ones are ignored.
  /// @param rows all targets.
  void ApplyList(time_point now,
                 time_point began,
                 std::uint64_t revision,
                 const std::vector<fleet_target>& rows);

  /// Takes what has changed since the present revision.
  /// @param now the present time.
  /// @param began when the read began.
  /// @param revision revision up to which the changes are whole.
  /// @param rows targets that changed; those with `gone` have left.
  void ApplyChanges(time_point now,
                    time_point began,
                    std::uint64_t revision,
                    const std::vector<fleet_target>& rows);

  /// @param configuration a configuration.
  /// @return whether it is newer than the one believed so far.
  bool ApplyConfiguration(
      std::shared_ptr<const fleet_configuration> configuration);

  /// @param now the present time.
  /// @param update a peer's update; its configuration's text is not looked at.
  /// @return whether rows are missing in between.
  update_result ApplyUpdate(time_point now, const fleet_update& update);

  /// @param now the present time.
  /// @param revision what the peer knows; 0 for everything.
  /// @return what changed after it, without the configuration's text.
  fleet_update UpdateSince(time_point now, std::uint64_t revision) const;

  /// An agent runs beside a target that may not be listed. The target stays a
  /// possible holder and gets no new flows.
  /// @param now the present time.
  /// @param agent the agent.
  void RecordUnlistedAgent(time_point now, const present_agent& agent);

  /// An agent has just found that nothing listens at its target's address.
  /// Nothing is concluded while a target is listed there: it may have started
  /// since, and no target comes and leaves the list within the time that the
  /// agent's message takes.
  /// @param now the present time.
  /// @param machine the agent's machine.
  /// @return what is to be told to others, if it is news.
  std::optional<ended_target> RecordTargetAbsence(time_point now,
                                                  std::uint32_t machine);

  /// Takes up what agents told before there was a list.
  /// @param now the present time.
  /// @return what is to be told to others.
  std::vector<ended_target> ApplyEarlyAbsences(time_point now);

  /// Another entry tells of targets that have ended.
  /// @param now the present time.
  /// @param ended targets that have ended.
  /// @return those among them that were not known.
  std::vector<ended_target> RecordEndedTargets(
      time_point now,
      const std::vector<ended_target>& ended);

  /// @return targets that have ended.
  const ended_targets& EndedTargets() const { return ended_; }

  /// Every agent that runs had time to say so.
  /// @param now the present time.
  void OnAgentsKnown(time_point now) { agents_known_at_ = now; }

  /// @return whether each target that may hold a flow is known.
  /// @param now the present time.
  bool KnowsAllHolders(time_point now) const;

  /// Forgets targets that left too long ago to hold a flow.
  /// @param now the present time.
  void Expire(time_point now);

  /// @param now the present time.
  /// @return the picture for the traffic thread.
  std::shared_ptr<const fleet_snapshot> Snapshot(time_point now) const;

  /// @return the configuration, or null.
  const std::shared_ptr<const fleet_configuration>& Configuration() const {
    return configuration_;
  }
  /// @return revision up to which the rows are whole; 0 before any list.
  std::uint64_t Revision() const { return revision_; }
  /// @return begin of the read that confirmed the rows last.
  time_point ConfirmedAt() const { return confirmed_at_; }
  /// @return the targets that have changed since the last call.
  std::vector<fleet_target> CollectChanges();
  /// @return targets by identifier.
  const std::unordered_map<target_id, fleet_target, identifier_hash>& Targets()
      const {
    return targets_;
  }

 private:
  void Confirm(time_point now, time_point began, std::uint64_t revision);
  /// Doubts the absence of targets after a pause in which nothing was read.
  void NoticeFailure(time_point now, time_point began);
  void TakeRow(time_point now, const fleet_target& row);
  void TakeRows(time_point now, const std::vector<fleet_target>& rows);
  /// Marks targets as gone that a whole list does not have.
  void MarkMissing(time_point now,
                   std::uint64_t revision,
                   const std::vector<fleet_target>& rows);
  void MarkGone(time_point now, fleet_target& item, std::uint64_t revision);
  std::chrono::milliseconds HoldersKnownFor(time_point now) const;
  /// @return whether flows may be held on a machine.
  bool HasHolder(std::uint32_t machine) const;

  fleet_state_limits limits_;
  bool first_start_;
  ended_targets ended_;
  /// Machines without a target that were told of before any list, with when.
  std::unordered_map<std::uint32_t, time_point> early_absences_;
  std::unordered_map<target_id, fleet_target, identifier_hash> targets_;
  std::shared_ptr<const fleet_configuration> configuration_;
  /// Routes that earlier versions had.
  std::vector<endpoint> dropped_routes_;
  std::uint64_t revision_ = 0;
  std::vector<target_id> changed_;
  time_point confirmed_at_{};
  /// Since when every target that came and went was seen.
  time_point whole_since_{};
  /// Until when missing targets may come back.
  time_point doubt_until_{};
  time_point agents_known_at_{};
};

}  // namespace corianderplank
