#include "core/target_loads.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How many of the ranked targets a flow may choose from, and how many of them
/// are near ones: one in another failure domain evens out the domains, and
/// bytes between them are dear.
constexpr std::size_t kChoices = 5;
constexpr std::size_t kNearChoices = 4;
/// Far ones to choose from when no near one seems to have a free slot: waiting
/// is dearer than bytes.
constexpr std::size_t kFarChoicesWhenFull = 4;
/// Work of a target with hardly a free slot, in thousandths of its slots.
constexpr std::uint64_t kFullPermille = 800;
/// Load of an open flow between its requests, in thousandths of a slot.
constexpr std::uint64_t kFlowPermille = 60;
/// Load of a flow that was placed after the last report.
constexpr std::uint64_t kPlacedPermille = 500;
/// Handicap of another failure domain, as a part of the mean work: bytes that
/// cross domains are dear, but domains are to stay even.
constexpr std::uint64_t kZoneDivisor = 4;
/// In thousandths of the slots: a full target costs more than bytes.
constexpr std::uint64_t kMostZonePermille = 100;
/// Handicap of a target that is still slow after its start.
constexpr std::uint64_t kColdPermille = 300;
/// Age from which a report tells nothing of its target: some times a request's
/// work, and the memory of the agents' averages.
constexpr milliseconds kReportLifetime = 500ms;
/// How long a silent target gets no new flows while another one can take them:
/// about the time in which the platform's list would show its end.
constexpr milliseconds kAvoidSilent = 1000ms;
constexpr milliseconds kAvoidRefused = 100ms;
/// Longer than a planned restart of an agent takes.
constexpr milliseconds kAvoidLeaving = 3000ms;

}  // namespace

void target_loads::OnLoadReport(time_point now,
                                machine_address machine,
                                const agent_load& load) {
  state& known = states_[machine];
  known.load = load;
  known.placed_since = 0;
  known.heard = true;
  known.heard_at = now;
}

void target_loads::OnFlowPlaced(machine_address machine) {
  ++states_[machine].placed_since;
}

void target_loads::OnOpeningTimeout(time_point now, machine_address machine) {
  state& known = states_[machine];
  known.avoid_until = std::max(known.avoid_until, now + kAvoidSilent);
}

void target_loads::OnFlowRefused(time_point now, machine_address machine) {
  state& known = states_[machine];
  known.avoid_until = std::max(known.avoid_until, now + kAvoidRefused);
}

void target_loads::OnAgentLeaving(time_point now, machine_address machine) {
  state& known = states_[machine];
  known.avoid_until = std::max(known.avoid_until, now + kAvoidLeaving);
}

bool target_loads::IsAvoided(time_point now, machine_address machine) const {
  const auto found = states_.find(machine);
  return found != states_.end() && now < found->second.avoid_until;
}

bool target_loads::IsHeard(time_point now, machine_address machine) const {
  const auto found = states_.find(machine);
  return found != states_.end() && found->second.heard &&
         now - found->second.heard_at < kReportLifetime;
}

std::uint64_t target_loads::KnownWork(const fleet_target& target) const {
  const agent_load& load = states_.at(target.address.address).load;
  return (load.busy_permille + kFlowPermille * load.open_flows) /
         std::max(1U, target.slots);
}

std::uint64_t target_loads::MeanWork(
    time_point now,
    const std::vector<const fleet_target*>& targets) const {
  std::uint64_t sum = 0;
  std::uint64_t heard = 0;
  for (const fleet_target* item : targets) {
    if (IsHeard(now, item->address.address)) {
      sum += KnownWork(*item);
      ++heard;
    }
  }
  return heard == 0 ? 0 : sum / heard;
}

std::uint64_t target_loads::Score(time_point now,
                                  const fleet_target& target,
                                  std::uint64_t mean) const {
  const machine_address machine = target.address.address;
  std::uint64_t score = mean;
  const auto found = states_.find(machine);
  if (IsHeard(now, machine)) {
    // The older a report is, the less it says beyond the mean.
    const auto life = static_cast<std::uint64_t>(kReportLifetime.count());
    const auto age = std::min(
        life,
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                       now - found->second.heard_at)
                                       .count()));
    score = (KnownWork(target) * (life - age) + mean * age) / life;
  }
  if (found != states_.end()) {
    // The other entries place flows there, too, and as many.
    score += kPlacedPermille * found->second.placed_since * entries_ /
             std::max(1U, target.slots);
  }
  score += target.zone == own_zone_
               ? 0
               : std::min(kMostZonePermille, mean / kZoneDivisor);
  score += now < target.cold_until ? kColdPermille : 0;
  return score;
}

const fleet_target* target_loads::Choose(
    time_point now,
    const std::vector<const fleet_target*>& targets,
    std::uint64_t flow_hash,
    const std::vector<machine_address>& tried) {
  usable_.clear();
  avoided_.clear();
  for (const fleet_target* item : targets) {
    const machine_address machine = item->address.address;
    if (item->TakesFlows(now) &&
        std::find(tried.begin(), tried.end(), machine) == tried.end()) {
      (IsAvoided(now, machine) ? avoided_ : usable_).push_back(item);
    }
  }
  if (usable_.empty()) {
    usable_.swap(avoided_);
  }
  // Near targets first, so that a large service has near ones to choose from.
  const auto far = std::partition(
      usable_.begin(), usable_.end(),
      [&](const fleet_target* item) { return item->zone == own_zone_; });
  const std::uint64_t mean = MeanWork(now, usable_);
  const fleet_target* best = nullptr;
  std::uint64_t best_score = 0;
  const auto consider = [&](const std::vector<const fleet_target*>& from,
                            std::size_t choices) {
    fleet_index::Rank(from, flow_hash, choices, ranked_);
    for (const ranked_target& item : ranked_) {
      const std::uint64_t score = Score(now, *item.target, mean);
      if (best == nullptr || score < best_score) {
        best = item.target;
        best_score = score;
      }
    }
  };
  avoided_.assign(far, usable_.end());
  usable_.erase(far, usable_.end());
  consider(usable_, kNearChoices);
  const std::size_t near = std::min(usable_.size(), kNearChoices);
  const bool near_full = best == nullptr || best_score >= kFullPermille;
  consider(avoided_, near_full ? std::max(kFarChoicesWhenFull, kChoices - near)
                               : kChoices - near);
  return best;
}

void target_loads::Retain(const fleet_index& index) {
  std::erase_if(states_, [&](const auto& entry) {
    return index.FindTarget(entry.first) == nullptr;
  });
}

}  // namespace corianderplank
