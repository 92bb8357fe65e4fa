#include "core/fleet_belief.h"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A pause between two confirmations from which on the source counts as having
/// failed: longer than two heartbeats of a target and the slowest poll.
constexpr milliseconds kFailedAfter = 2000ms;
/// A pause in which a target may have come and gone without being seen.
constexpr milliseconds kBlindAfter = 5000ms;
/// Age at which a seed's word on the agents that run is too old: it speaks at
/// least once a second while it runs.
constexpr milliseconds kAgentsKnownFor = 5000ms;
/// Age from which an early absence tells nothing: a target that has started
/// since cannot have been listed and have left within this time.
constexpr milliseconds kEarlyLifetime = 1500ms;
/// Only the machine of a target that is not listed is known.
constexpr std::uint16_t kAnyPort = 1;
/// Bound on remembered dropped routes; later ones push out the oldest.
constexpr std::size_t kMaxDroppedRoutes = 4096;

bool SameContent(const fleet_target& left, const fleet_target& right) {
  return left.address == right.address && left.service == right.service &&
         left.zone == right.zone && left.slots == right.slots &&
         left.state == right.state && left.born_ms == right.born_ms &&
         left.gone == right.gone;
}

/// Age of an update that confirms nothing.
constexpr milliseconds kConfirmsNothing = 1h;

}  // namespace

std::vector<belief_update> SplitUpdate(belief_update update,
                                       std::size_t most_rows) {
  std::vector<fleet_target> rows = std::move(update.targets);
  std::sort(rows.begin(), rows.end(), [](const auto& left, const auto& right) {
    return left.revision < right.revision;
  });
  std::vector<belief_update> parts;
  auto begin = rows.begin();
  do {
    const auto left = static_cast<std::size_t>(rows.end() - begin);
    const auto end =
        begin + static_cast<std::ptrdiff_t>(std::min(left, most_rows));
    belief_update part = update;
    part.targets.assign(begin, end);
    if (!parts.empty()) {
      part.base_revision = parts.back().revision;
    }
    if (end != rows.end()) {
      part.revision = part.targets.back().revision;
      part.age = kConfirmsNothing;
    }
    parts.push_back(std::move(part));
    begin = end;
  } while (begin != rows.end());
  return parts;
}

void fleet_belief::Confirm(time_point now,
                           time_point began,
                           std::uint64_t revision) {
  if (confirmed_at_ == time_point{}) {
    whole_since_ = first_start_ ? time_point{} : now;
  } else if (began - confirmed_at_ > kBlindAfter) {
    whole_since_ = now;
  }
  revision_ = std::max(revision_, revision);
  confirmed_at_ = std::max(confirmed_at_, began);
}

void fleet_belief::TakeRow(time_point now, const fleet_target& row) {
  const auto found = targets_.find(row.id);
  if (found == targets_.end()) {
    // What has left without an address cannot hold a flow that is known here.
    if (row.address.IsValid()) {
      targets_.emplace(row.id, row).first->second.seen_since = now;
      changed_.push_back(row.id);
    }
    return;
  }
  fleet_target& item = found->second;
  if (row.revision <= item.revision) {
    return;
  }
  if (row.gone) {
    MarkGone(now, item, row.revision);
    item.doubtful_until = std::max(item.doubtful_until, row.doubtful_until);
    return;
  }
  if (SameContent(item, row)) {
    // A heartbeat; the row's revision stays that of the last real change.
    return;
  }
  const time_point seen_since =
      row.born_ms == item.born_ms ? item.seen_since : now;
  item = row;
  item.seen_since = seen_since;
  changed_.push_back(row.id);
}

void fleet_belief::MarkGone(time_point now,
                            fleet_target& item,
                            std::uint64_t revision) {
  if (item.gone) {
    return;
  }
  item.gone = true;
  item.gone_since = now;
  item.revision = std::max(item.revision, revision);
  item.doubtful_until = std::max(item.doubtful_until, doubt_until_);
  changed_.push_back(item.id);
}

void fleet_belief::TakeList(time_point now,
                            time_point began,
                            std::uint64_t revision,
                            const std::vector<fleet_target>& rows) {
  if (revision < revision_) {
    return;
  }
  NoticeFailure(now, began);
  TakeRows(now, rows);
  MarkMissing(now, revision, rows);
  Confirm(now, began, revision);
}

void fleet_belief::NoticeFailure(time_point now, time_point began) {
  if (confirmed_at_ != time_point{} && began - confirmed_at_ > kFailedAfter) {
    doubt_until_ = now + limits_.return_grace;
  }
}

void fleet_belief::TakeRows(time_point now,
                            const std::vector<fleet_target>& rows) {
  for (const fleet_target& row : rows) {
    TakeRow(now, row);
  }
}

void fleet_belief::MarkMissing(time_point now,
                               std::uint64_t revision,
                               const std::vector<fleet_target>& rows) {
  std::unordered_set<target_id, identifier_hash> listed;
  for (const fleet_target& row : rows) {
    listed.insert(row.id);
  }
  for (auto& [id, item] : targets_) {
    if (!listed.contains(id) && item.revision <= revision) {
      MarkGone(now, item, revision);
    }
  }
}

void fleet_belief::TakeChanges(time_point now,
                               time_point began,
                               std::uint64_t revision,
                               const std::vector<fleet_target>& rows) {
  NoticeFailure(now, began);
  TakeRows(now, rows);
  Confirm(now, began, revision);
}

bool fleet_belief::TakeConfiguration(
    std::shared_ptr<const fleet_configuration> configuration) {
  if (configuration == nullptr ||
      (configuration_ != nullptr &&
       configuration->version <= configuration_->version)) {
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

update_fit fleet_belief::TakeUpdate(time_point now,
                                    const belief_update& update) {
  NoticeFailure(now, now - update.age);
  TakeRows(now, update.targets);
  if (update.base_revision > revision_) {
    return update_fit::gap;
  }
  const bool first = confirmed_at_ == time_point{};
  if (update.base_revision == 0) {
    // The sender may never have seen what left before it started.
    MarkMissing(now, update.revision, update.targets);
  }
  Confirm(now, now - update.age, update.revision);
  if (update.base_revision == 0) {
    TakeEnded(now, update.ended);
    const time_point since = now - update.holders_known_for;
    whole_since_ = first ? since : std::min(whole_since_, since);
  }
  return update_fit::taken;
}

milliseconds fleet_belief::HoldersKnownFor(time_point now) const {
  if (confirmed_at_ == time_point{}) {
    return 0ms;
  }
  return std::min(std::chrono::duration_cast<milliseconds>(now - whole_since_),
                  limits_.longest_flow);
}

belief_update fleet_belief::UpdateSince(time_point now,
                                        std::uint64_t revision) const {
  belief_update update;
  update.base_revision = revision;
  update.revision = revision_;
  update.age = std::chrono::duration_cast<milliseconds>(now - confirmed_at_);
  update.holders_known_for = HoldersKnownFor(now);
  if (configuration_ != nullptr) {
    update.configuration_version = configuration_->version;
    update.configuration_revision = configuration_->revision;
  }
  if (revision == 0) {
    update.ended = ended_.All();
  }
  for (const auto& [id, item] : targets_) {
    if (item.revision > revision) {
      update.targets.push_back(item);
    }
  }
  return update;
}

std::vector<fleet_target> fleet_belief::CollectChanges() {
  std::vector<fleet_target> changes;
  for (const target_id id : changed_) {
    if (const auto found = targets_.find(id); found != targets_.end()) {
      changes.push_back(found->second);
    }
  }
  changed_.clear();
  return changes;
}

void fleet_belief::TakePresent(time_point now, const present_agent& agent) {
  const target_id id{MixHash(agent.machine, agent.service.value)};
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.gone_since = now;
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
  item.gone = true;
  item.gone_since = now;
  targets_.emplace(id, item);
  changed_.push_back(id);
}

std::optional<ended_target> fleet_belief::TakeAbsence(time_point now,
                                                      std::uint32_t machine) {
  if (revision_ == 0) {
    early_absences_[machine] = now;
    return std::nullopt;
  }
  const bool listed =
      std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
        return !entry.second.gone && entry.second.address.address == machine;
      });
  const ended_target fact{machine, revision_};
  if (listed || !HasHolder(machine) || !ended_.Record(now, fact)) {
    return std::nullopt;
  }
  return fact;
}

std::vector<ended_target> fleet_belief::TakeEarlyAbsences(time_point now) {
  std::vector<ended_target> facts;
  if (revision_ == 0) {
    return facts;
  }
  for (const auto& [machine, told_at] : std::exchange(early_absences_, {})) {
    if (now - told_at > kEarlyLifetime) {
      continue;
    }
    if (const auto fact = TakeAbsence(now, machine)) {
      facts.push_back(*fact);
    }
  }
  return facts;
}

bool fleet_belief::HasHolder(std::uint32_t machine) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const fleet_target& item = entry.second;
    return item.address.address == machine &&
           !ended_.HasTargetEnded(machine, item.revision);
  });
}

std::vector<ended_target> fleet_belief::TakeEnded(
    time_point now,
    const std::vector<ended_target>& ended) {
  std::vector<ended_target> news;
  std::copy_if(
      ended.begin(), ended.end(), std::back_inserter(news),
      [&](const ended_target& fact) { return ended_.Record(now, fact); });
  return news;
}

bool fleet_belief::KnowsAllHolders(time_point now) const {
  if (confirmed_at_ == time_point{}) {
    return false;
  }
  return HoldersKnownFor(now) >= limits_.longest_flow ||
         (agents_known_at_ != time_point{} &&
          now - agents_known_at_ < kAgentsKnownFor);
}

void fleet_belief::Expire(time_point now) {
  ended_.Expire(now);
  std::erase_if(targets_, [&](const auto& entry) {
    const fleet_target& item = entry.second;
    return item.gone && now - item.gone_since > limits_.longest_flow;
  });
}

std::shared_ptr<const fleet_view> fleet_belief::View(time_point now) const {
  auto view = std::make_shared<fleet_view>();
  view->configuration = configuration_;
  view->targets.reserve(targets_.size());
  for (const auto& [id, item] : targets_) {
    view->targets.push_back(item);
    view->targets.back().ended =
        ended_.HasTargetEnded(item.address.address, item.revision);
  }
  // The same order in every process, whatever the table's.
  std::sort(view->targets.begin(), view->targets.end(),
            [](const auto& left, const auto& right) {
              return left.id.value < right.id.value;
            });
  view->dropped_routes = dropped_routes_;
  view->confirmed_at = confirmed_at_;
  view->knows_all_holders = KnowsAllHolders(now);
  return view;
}

}  // namespace corianderplank
