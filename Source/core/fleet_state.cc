#include "core/fleet_state.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Pause between two confirmations after which the source counts as failed:
/// longer than two heartbeats of a target and the slowest poll.
constexpr milliseconds kSourceOutageAfter = 2000ms;
/// Pause in which a target may have been added and removed unnoticed.
constexpr milliseconds kUnobservedAfter = 5000ms;
/// Lifetime of a seed's report that all running agents are known: a seed
/// repeats it at least once a second.
constexpr milliseconds kAgentsKnownFor = 5000ms;
/// Lifetime of an absence report that arrived before the first list: within
/// this time no target can start, be listed and be removed again.
constexpr milliseconds kEarlyAbsenceLifetime = 1500ms;
/// Placeholder port of an unlisted target, of which only the machine is known.
constexpr std::uint16_t kAnyPort = 1;
/// Maximum number of dropped routes; the oldest ones are evicted.
constexpr std::size_t kMaxDroppedRoutes = 4096;
/// Inaccuracy of the end of a cold phase: a row is read some time after it was
/// written, and the time that it names counts from the reading.
constexpr milliseconds kColdTolerance = 1000ms;

bool SameContent(const fleet_target& left, const fleet_target& right) {
  return left.address == right.address && left.service == right.service &&
         left.failure_domain == right.failure_domain &&
         left.slots == right.slots && left.state == right.state &&
         left.target_start_ms == right.target_start_ms &&
         left.removed == right.removed;
}

/// Returns whether the target published the row before what is known of it. A
/// removed target that runs publishes a later row.
bool IsOutdatedReport(const fleet_target& row, const fleet_target& known) {
  const std::partial_ordering order = row.CompareReports(known);
  return order < 0 || (known.removed && order == 0);
}

/// Age of a part that must not confirm the state.
constexpr milliseconds kNonConfirmingAge = 1h;

}  // namespace

std::vector<fleet_update> SplitUpdate(fleet_update update,
                                      std::size_t most_rows) {
  std::vector<fleet_target> rows = std::move(update.targets);
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return left.revision < right.revision;
  });
  std::vector<fleet_update> parts;
  auto begin = rows.begin();
  do {
    const auto left = static_cast<std::size_t>(rows.end() - begin);
    const auto end =
        begin + static_cast<std::ptrdiff_t>(std::min(left, most_rows));
    fleet_update part = update;
    part.targets.assign(begin, end);
    if (!parts.empty()) {
      part.base_revision = parts.back().revision;
    }
    if (end != rows.end()) {
      part.revision = part.targets.back().revision;
      part.age = kNonConfirmingAge;
    }
    parts.push_back(std::move(part));
    begin = end;
  } while (begin != rows.end());
  return parts;
}

void fleet_state::Confirm(time_point now,
                          time_point began,
                          const source_revision& revision) {
  if (confirmed_at_ == time_point{}) {
    complete_since_ = first_start_ ? time_point{} : now;
    history_since_ = complete_since_;
  } else if (began - confirmed_at_ > kUnobservedAfter) {
    complete_since_ = now;
  }
  revision_ = std::max(revision_, revision);
  confirmed_at_ = std::max(confirmed_at_, began);
}

void fleet_state::ApplyRow(time_point now,
                           const fleet_target& row,
                           row_order order) {
  const auto found = targets_.find(row.id);
  if (found == targets_.end()) {
    // A removed row without an address cannot hold a flow known here.
    if (row.address.IsValid()) {
      targets_.emplace(row.id, row).first->second.first_seen_at = now;
      changed_.push_back(row.id);
    }
    return;
  }
  fleet_target& item = found->second;
  if (row.revision <= item.revision) {
    return;
  }
  if (order == row_order::by_report &&
      row.revision.epoch > item.revision.epoch && IsOutdatedReport(row, item)) {
    has_ignored_rows_ = true;
    return;
  }
  if (row.removed) {
    if (item.CompareReports(row) < 0) {
      // Heartbeats are not broadcast: only the reader knows the last report.
      item.report_number = row.report_number;
    }
    MarkRemoved(now, item, row.revision);
    item.may_return_until =
        std::max(item.may_return_until, row.may_return_until);
    return;
  }
  if (SameContent(item, row) && !BecameCold(now, item, row)) {
    // A heartbeat; the revision of the last real change is kept.
    item.report_number = row.report_number;
    return;
  }
  const time_point first_seen_at =
      row.target_start_ms == item.target_start_ms ? item.first_seen_at : now;
  item = row;
  item.first_seen_at = first_seen_at;
  changed_.push_back(row.id);
}

bool fleet_state::BecameCold(time_point now,
                             const fleet_target& known,
                             const fleet_target& row) const {
  if (row.warm_up_until <= now + kColdTolerance ||
      row.warm_up_until <= known.warm_up_until + kColdTolerance ||
      configuration_ == nullptr) {
    return false;
  }
  const auto found = configuration_->cold_starts.find(row.service);
  return found != configuration_->cold_starts.end() &&
         found->second.flows_per_second > 0;
}

void fleet_state::MarkRemoved(time_point now,
                              fleet_target& item,
                              const source_revision& revision) {
  if (item.removed) {
    return;
  }
  item.removed = true;
  item.removed_at = now;
  item.revision = std::max(item.revision, revision);
  item.may_return_until = std::max(item.may_return_until, recovery_until_);
  changed_.push_back(item.id);
}

void fleet_state::ApplyList(time_point now,
                            time_point began,
                            const source_revision& revision,
                            const std::vector<fleet_target>& rows,
                            const std::vector<domain_evacuation>& evacuations) {
  if (revision < revision_) {
    return;
  }
  DetectSourceOutage(now, began);
  DetectRestoration(now, revision);
  if (began >= settles_at_) {
    has_ignored_rows_ = false;
    ApplyRows(now, rows, row_order::by_revision);
  } else {
    ApplyRows(now, rows, row_order::by_report);
  }
  MarkMissingRemoved(now, revision, rows);
  evacuations_.ApplyList(revision, evacuations);
  Confirm(now, began, revision);
}

read_relation fleet_state::Relate(const source_revision& base,
                                  const source_revision& revision) const {
  const bool is_list = !base.IsSet();
  if (revision.epoch < revision_.epoch || (is_list && revision < revision_)) {
    return read_relation::outdated;
  }
  if (base.epoch == revision.epoch && revision < base) {
    return read_relation::outdated;
  }
  if (is_list || base.epoch == revision.epoch) {
    return read_relation::current;
  }
  return revision.epoch > revision_.epoch ? read_relation::other_history
                                          : read_relation::outdated;
}

bool fleet_state::NeedsList(time_point now) const {
  return has_ignored_rows_ && now >= settles_at_;
}

void fleet_state::DetectRestoration(time_point now,
                                    const source_revision& revision) {
  if (revision.epoch <= revision_.epoch) {
    return;
  }
  // This includes the first list: a process that has just started cannot tell
  // how long ago the source was restored.
  settles_at_ = now + limits_.restoration_grace;
  if (revision_.IsSet()) {
    recovery_until_ = now + limits_.source_recovery_grace;
  }
}

void fleet_state::DetectSourceOutage(time_point now, time_point began) {
  if (confirmed_at_ != time_point{} &&
      began - confirmed_at_ > kSourceOutageAfter) {
    recovery_until_ = now + limits_.source_recovery_grace;
  }
}

void fleet_state::ApplyRows(time_point now,
                            const std::vector<fleet_target>& rows,
                            row_order order) {
  for (const fleet_target& row : rows) {
    ApplyRow(now, row, order);
  }
}

void fleet_state::MarkMissingRemoved(time_point now,
                                     const source_revision& revision,
                                     const std::vector<fleet_target>& rows) {
  std::unordered_set<target_id, identifier_hash> listed;
  for (const fleet_target& row : rows) {
    listed.insert(row.id);
  }
  for (auto& [id, item] : targets_) {
    if (!listed.contains(id) && item.revision <= revision) {
      MarkRemoved(now, item, revision);
    }
  }
}

void fleet_state::ApplyChanges(
    time_point now,
    time_point began,
    const source_revision& revision,
    const std::vector<fleet_target>& rows,
    const std::vector<domain_evacuation>& evacuations) {
  DetectSourceOutage(now, began);
  evacuations_.ApplyChanges(evacuations);
  ApplyRows(now, rows, row_order::by_revision);
  Confirm(now, began, revision);
}

bool fleet_state::ApplyConfiguration(
    std::shared_ptr<const fleet_configuration> configuration) {
  if (configuration == nullptr ||
      configuration->version <= ConfigurationVersion()) {
    return false;
  }
  if (configuration_ != nullptr) {
    for (const auto& [address, route] : configuration_->routes) {
      if (!configuration->routes.contains(address)) {
        dropped_routes_.push_back(address);
      }
    }
  }
  std::erase_if(dropped_routes_, [&](const endpoint& address) {
    return configuration->routes.contains(address);
  });
  if (dropped_routes_.size() > kMaxDroppedRoutes) {
    dropped_routes_.erase(dropped_routes_.begin(),
                          dropped_routes_.end() - kMaxDroppedRoutes);
  }
  configuration_ = std::move(configuration);
  return true;
}

update_result fleet_state::ApplyUpdate(time_point now,
                                       const fleet_update& update) {
  if (update.revision.epoch < revision_.epoch) {
    return update_result::outdated;
  }
  const bool is_complete = !update.base_revision.IsSet();
  if (!is_complete) {
    // Also if earlier changes are missing: each row counts by itself.
    evacuations_.ApplyChanges(update.evacuations);
  }
  if (is_complete && update.revision < revision_) {
    // Targets that have been removed since would be added again.
    return update_result::outdated;
  }
  DetectSourceOutage(now, now - update.age);
  if (is_complete) {
    evacuations_.ApplyList(update.revision, update.evacuations);
    DetectRestoration(now, update.revision);
    has_ignored_rows_ =
        !update.settled && (has_ignored_rows_ || update.has_ignored_rows);
    if (update.settled) {
      settles_at_ = std::min(settles_at_, now);
    }
  } else if (update.base_revision.epoch != revision_.epoch || NeedsList(now)) {
    return update_result::gap;
  }
  ApplyRows(now, update.targets,
            is_complete && !update.settled ? row_order::by_report
                                           : row_order::by_revision);
  announced_version_ =
      std::max(announced_version_, update.configuration_version);
  if (update.base_revision > revision_) {
    return update_result::gap;
  }
  if (announced_version_ > ConfigurationVersion()) {
    return update.configuration_version == announced_version_
               ? update_result::lacks_configuration
               : update_result::sender_lacks_configuration;
  }
  const bool first = confirmed_at_ == time_point{};
  if (is_complete) {
    // The sender has no rows for targets that were removed before it started.
    MarkMissingRemoved(now, update.revision, update.targets);
  }
  Confirm(now, now - update.age, update.revision);
  if (is_complete) {
    RecordEndedTargets(now, update.ended);
    const time_point since = now - update.holders_known_for;
    complete_since_ = first ? since : std::min(complete_since_, since);
    const time_point history_since = now - update.history;
    history_since_ =
        first ? history_since : std::min(history_since_, history_since);
  }
  return update_result::applied;
}

milliseconds fleet_state::HistoryLength(time_point now) const {
  if (confirmed_at_ == time_point{}) {
    return 0ms;
  }
  return std::min(
      std::chrono::duration_cast<milliseconds>(now - history_since_),
      limits_.longest_flow);
}

milliseconds fleet_state::HoldersKnownFor(time_point now) const {
  if (confirmed_at_ == time_point{}) {
    return 0ms;
  }
  return std::min(
      std::chrono::duration_cast<milliseconds>(now - complete_since_),
      limits_.longest_flow);
}

fleet_update fleet_state::UpdateSince(time_point now,
                                      const source_revision& revision) const {
  fleet_update update;
  update.settled = !has_ignored_rows_ && now >= settles_at_;
  update.has_ignored_rows = has_ignored_rows_;
  update.base_revision = revision;
  update.revision = revision_;
  update.age = std::chrono::duration_cast<milliseconds>(now - confirmed_at_);
  update.holders_known_for = HoldersKnownFor(now);
  update.history = HistoryLength(now);
  if (configuration_ != nullptr) {
    update.configuration_version = configuration_->version;
    update.configuration_revision = configuration_->revision;
  }
  if (!revision.IsSet()) {
    update.ended = ended_.All();
  }
  update.evacuations = evacuations_.Since(revision);
  for (const auto& [id, item] : targets_) {
    if (item.revision > revision) {
      update.targets.push_back(item);
    }
  }
  return update;
}

std::vector<fleet_target> fleet_state::CollectChanges() {
  std::vector<fleet_target> changes;
  for (const target_id id : changed_) {
    if (const auto found = targets_.find(id); found != targets_.end()) {
      changes.push_back(found->second);
    }
  }
  changed_.clear();
  return changes;
}

void fleet_state::RecordUnlistedAgent(time_point now,
                                      const present_agent& agent) {
  const target_id id{MixHash(agent.machine, agent.service.value)};
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.removed_at = now;
    return;
  }
  for (const auto& [known, item] : targets_) {
    if (item.address.address == agent.machine &&
        item.service == agent.service) {
      return;
    }
  }
  fleet_target item;
  item.id = id;
  item.address = {agent.machine, kAnyPort};
  item.service = agent.service;
  item.removed = true;
  item.removed_at = now;
  targets_.emplace(id, item);
  changed_.push_back(id);
}

bool fleet_state::HasListedTarget(std::uint32_t machine,
                                  target_id except) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const fleet_target& item = entry.second;
    return !item.removed && item.address.address == machine &&
           item.id != except &&
           (configuration_ == nullptr ||
            configuration_->HasService(item.service));
  });
}

std::optional<ended_target> fleet_state::RecordTargetAbsence(
    time_point now,
    std::uint32_t machine) {
  if (!revision_.IsSet()) {
    early_absences_[machine] = now;
    return std::nullopt;
  }
  const ended_target record{machine, revision_};
  if (HasListedTarget(machine) || !HasHolder(machine) ||
      !ended_.Record(now, record)) {
    return std::nullopt;
  }
  return record;
}

std::vector<ended_target> fleet_state::ApplyEarlyAbsences(time_point now) {
  std::vector<ended_target> records;
  if (!revision_.IsSet()) {
    return records;
  }
  for (const auto& [machine, received_at] :
       std::exchange(early_absences_, {})) {
    if (now - received_at > kEarlyAbsenceLifetime) {
      continue;
    }
    if (const auto record = RecordTargetAbsence(now, machine)) {
      records.push_back(*record);
    }
  }
  return records;
}

bool fleet_state::HasHolder(std::uint32_t machine) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const fleet_target& item = entry.second;
    return item.address.address == machine &&
           !ended_.HasTargetEnded(machine, item.revision);
  });
}

std::vector<ended_target> fleet_state::RecordEndedTargets(
    time_point now,
    const std::vector<ended_target>& ended) {
  std::vector<ended_target> added;
  std::copy_if(
      ended.begin(), ended.end(), std::back_inserter(added),
      [&](const ended_target& record) { return ended_.Record(now, record); });
  return added;
}

bool fleet_state::KnowsAllHolders(time_point now) const {
  if (confirmed_at_ == time_point{}) {
    return false;
  }
  return HoldersKnownFor(now) >= limits_.longest_flow ||
         (agents_known_at_ != time_point{} &&
          now - agents_known_at_ < kAgentsKnownFor);
}

void fleet_state::Expire(time_point now) {
  ended_.Expire(now);
  std::erase_if(targets_, [&](const auto& entry) {
    const fleet_target& item = entry.second;
    return item.removed && now - item.removed_at > limits_.longest_flow;
  });
}

std::shared_ptr<const fleet_snapshot> fleet_state::Snapshot(
    time_point now) const {
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->configuration = configuration_;
  snapshot->targets.reserve(targets_.size());
  for (const auto& [id, item] : targets_) {
    snapshot->targets.push_back(item);
    snapshot->targets.back().ended =
        ended_.HasTargetEnded(item.address.address, item.revision);
    snapshot->targets.back().evacuated =
        evacuations_.IsEvacuated(item.failure_domain);
  }
  snapshot->evacuations = evacuations_.Since({});
  // The order must be the same in every process; the table's order is not.
  std::sort(snapshot->targets.begin(), snapshot->targets.end(),
            [](const auto& left, const auto& right) {
              return left.id.value < right.id.value;
            });
  snapshot->dropped_routes = dropped_routes_;
  snapshot->confirmed_at = confirmed_at_;
  snapshot->knows_all_holders = KnowsAllHolders(now);
  return snapshot;
}

}  // namespace corianderplank
