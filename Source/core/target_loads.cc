#include "core/target_loads.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Number of ranked targets that are considered for a flow, and how many of
/// them are in the entry's own failure domain. One in another domain balances
/// the load of the domains; more would cause expensive traffic between them.
constexpr std::size_t kChoices = 5;
constexpr std::size_t kLocalChoices = 4;
/// Minimum number of targets in other failure domains that are considered if no
/// local one seems to have a free slot: waiting costs more than the traffic.
constexpr std::size_t kRemoteChoicesWhenFull = 4;
/// Score of a target that has hardly a free slot, in thousandths of its slots.
constexpr std::uint64_t kFullUtilizationPermille = 800;
/// Load of an open flow between its requests, in thousandths of a slot.
constexpr std::uint64_t kOpenFlowPermille = 60;
/// Load of a flow that was placed after the last report, in thousandths of a
/// slot.
constexpr std::uint64_t kPlacedFlowPermille = 500;
/// Divides the mean utilization to get the penalty of a target in another
/// failure domain: traffic between domains is expensive, but the domains must
/// stay balanced.
constexpr std::uint64_t kRemotePenaltyDivisor = 4;
/// Upper limit of that penalty, in thousandths of the slots: a full target
/// costs more than the traffic.
constexpr std::uint64_t kMaxRemotePenaltyPermille = 100;
/// Penalty of a target that is still slow after its start and has not shown its
/// service time.
constexpr std::uint64_t kWarmUpPenaltyPermille = 300;
/// Age at which a load report expires: a few times the service time of a
/// request, and the time constant of the agents' averages.
constexpr milliseconds kReportLifetime = 500ms;
/// How long an unresponsive target gets no new flows while another one can
/// accept them: about the time after which the platform's list would show its
/// end.
constexpr milliseconds kAvoidAfterTimeout = 1000ms;
/// The same for a target that refused a flow.
constexpr milliseconds kAvoidAfterRefusal = 100ms;
/// Longest pause of a failing target that an entry observes.
constexpr milliseconds kMaxPause = 10000ms;
/// The same for a target that is leaving: longer than a planned restart of an
/// agent takes.
constexpr milliseconds kAvoidAfterLeaving = 3000ms;

}  // namespace

void target_loads::OnLoadReport(time_point now,
                                machine_address machine,
                                const agent_load& load) {
  machine_state& state = states_[machine];
  state.load = load;
  state.placed_since_report = 0;
  state.reported = true;
  state.reported_at = now;
}

void target_loads::OnFlowPlaced(machine_address machine) {
  ++states_[machine].placed_since_report;
}

void target_loads::OnOpeningTimeout(time_point now, machine_address machine) {
  machine_state& state = states_[machine];
  state.avoid_until = std::max(state.avoid_until, now + kAvoidAfterTimeout);
}

void target_loads::OnFlowRefused(time_point now,
                                 machine_address machine,
                                 milliseconds pause) {
  machine_state& state = states_[machine];
  state.avoid_until =
      std::max(state.avoid_until,
               now + std::clamp(pause, kAvoidAfterRefusal, kMaxPause));
}

void target_loads::OnAgentLeaving(time_point now, machine_address machine) {
  machine_state& state = states_[machine];
  state.avoid_until = std::max(state.avoid_until, now + kAvoidAfterLeaving);
}

bool target_loads::IsAvoided(time_point now, machine_address machine) const {
  const auto found = states_.find(machine);
  return found != states_.end() && now < found->second.avoid_until;
}

bool target_loads::HasCurrentReport(time_point now,
                                    machine_address machine) const {
  const auto found = states_.find(machine);
  return found != states_.end() && found->second.reported &&
         now - found->second.reported_at < kReportLifetime;
}

std::uint64_t target_loads::ReportedUtilization(
    const fleet_target& target) const {
  const agent_load& load = states_.at(target.address.address).load;
  return (load.busy_permille + kOpenFlowPermille * load.open_flows) /
         std::max(1U, target.slots);
}

target_loads::service_means target_loads::Means(
    time_point now,
    const std::vector<const fleet_target*>& targets) const {
  std::uint64_t sum = 0;
  std::uint64_t reported_count = 0;
  milliseconds service_time_sum{0};
  std::uint32_t service_time_count = 0;
  for (const fleet_target* item : targets) {
    const auto found = states_.find(item->address.address);
    if (found == states_.end() || !found->second.reported) {
      continue;
    }
    const auto age = now - found->second.reported_at;
    if (age < kReportLifetime) {
      sum += ReportedUtilization(*item);
      ++reported_count;
    }
    if (age < kServiceTimeLifetime && found->second.load.service_time != 0ms) {
      service_time_sum += found->second.load.service_time;
      ++service_time_count;
    }
  }
  service_means means;
  means.utilization = reported_count == 0 ? 0 : sum / reported_count;
  if (service_time_count != 0) {
    means.service_time = std::max(1ms, service_time_sum / service_time_count);
  }
  return means;
}

std::uint64_t target_loads::Score(time_point now,
                                  const fleet_target& target,
                                  const service_means& means) const {
  const std::uint64_t mean = means.utilization;
  const machine_address machine = target.address.address;
  std::uint64_t score = mean;
  const auto found = states_.find(machine);
  if (HasCurrentReport(now, machine)) {
    // The weight of a report falls with its age, and that of the mean rises.
    const auto lifetime = static_cast<std::uint64_t>(kReportLifetime.count());
    const auto age = std::min(
        lifetime,
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                       now - found->second.reported_at)
                                       .count()));
    score = (ReportedUtilization(target) * (lifetime - age) + mean * age) /
            lifetime;
  }
  if (found != states_.end()) {
    // Assumes that each of the other entries placed as many flows there.
    score += kPlacedFlowPermille * found->second.placed_since_report *
             entries_ / std::max(1U, target.slots);
  }
  score +=
      target.failure_domain == own_failure_domain_
          ? 0
          : std::min(kMaxRemotePenaltyPermille, mean / kRemotePenaltyDivisor);
  target_outlook outlook;
  outlook.slots = target.slots;
  if (found != states_.end() && found->second.reported) {
    outlook.pace_permille = found->second.load.pace_permille;
    outlook.service_time = found->second.load.service_time;
    outlook.age = std::chrono::duration_cast<milliseconds>(
        now - found->second.reported_at);
  }
  // A service time that the target has shown contains what warming up costs.
  if (now < target.warm_up_until && !IsLearned(outlook)) {
    score += kWarmUpPenaltyPermille;
  }
  outlook.utilization_permille = score;
  outlook.load_weight_permille =
      HasCurrentReport(now, machine)
          ? static_cast<std::uint32_t>((kReportLifetime - outlook.age) * 1000 /
                                       kReportLifetime)
          : 0;
  return means.service_time == 0ms
             ? score
             : CompletionTime(outlook, means.service_time);
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
    if (item->AcceptsNewFlows(now) &&
        std::find(tried.begin(), tried.end(), machine) == tried.end()) {
      (IsAvoided(now, machine) ? avoided_ : usable_).push_back(item);
    }
  }
  if (usable_.empty()) {
    usable_.swap(avoided_);
  }
  // Targets in the own failure domain first, so that a large service has local
  // ones among those considered.
  const auto first_remote = std::partition(
      usable_.begin(), usable_.end(), [&](const fleet_target* item) {
        return item->failure_domain == own_failure_domain_;
      });
  const service_means means = Means(now, usable_);
  const fleet_target* best = nullptr;
  std::uint64_t best_score = 0;
  const auto consider = [&](const std::vector<const fleet_target*>& from,
                            std::size_t choices) {
    fleet_index::Rank(from, flow_hash, choices, ranked_);
    for (const ranked_target& item : ranked_) {
      const std::uint64_t score = Score(now, *item.target, means);
      if (best == nullptr || score < best_score) {
        best = item.target;
        best_score = score;
      }
    }
  };
  avoided_.assign(first_remote, usable_.end());
  usable_.erase(first_remote, usable_.end());
  consider(usable_, kLocalChoices);
  const std::size_t local_count = std::min(usable_.size(), kLocalChoices);
  const std::uint64_t full_score =
      means.service_time == 0ms
          ? kFullUtilizationPermille
          : CompletionTime({.utilization_permille = kFullUtilizationPermille},
                           means.service_time);
  const bool local_full = best == nullptr || best_score >= full_score;
  consider(avoided_,
           local_full ? std::max(kRemoteChoicesWhenFull, kChoices - local_count)
                      : kChoices - local_count);
  return best;
}

void target_loads::Retain(const fleet_index& index) {
  std::erase_if(states_, [&](const auto& item) {
    return index.FindTarget(item.first) == nullptr;
  });
}

}  // namespace corianderplank
