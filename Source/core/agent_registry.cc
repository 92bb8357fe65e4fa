#include "core/agent_registry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time within which agents that were killed together with an entry restart and
/// report: a short restart delay and several tries.
constexpr milliseconds kSettleTime = 1000ms;
/// Time without a new agent: the interval between an agent's reports plus a
/// round trip.
constexpr milliseconds kNewAgentDelay = 60ms;
/// Unlisted agents without a report for this long are expired; they report once
/// per second.
constexpr milliseconds kUnlistedTimeout = 5000ms;

}  // namespace

void agent_registry::OnPresent(time_point now,
                               const present_agent& agent,
                               bool listed) {
  if (known_machines_.insert(agent.machine).second) {
    latest_new_at_ = now;
  }
  if (listed) {
    unlisted_.erase(agent.machine);
  } else {
    unlisted_[agent.machine] = {agent, now};
  }
}

bool agent_registry::HasSettled(time_point now,
                                const fleet_state& state) const {
  if (resumed_at_ != time_point{} && now - resumed_at_ < kSettleTime) {
    return false;
  }
  if (now - started_at_ > kSettleTime) {
    return true;
  }
  // Agents that were killed together with this entry restart at about the same
  // time: once those of all listed targets have reported, the unlisted ones
  // have had enough time as well.
  return state.Revision() != 0 && now - latest_new_at_ > kNewAgentDelay &&
         std::all_of(state.Targets().begin(), state.Targets().end(),
                     [&](const auto& entry) {
                       const fleet_target& item = entry.second;
                       return item.removed ||
                              known_machines_.contains(item.address.address);
                     });
}

std::vector<present_agent> agent_registry::Unlisted() const {
  std::vector<present_agent> agents;
  for (const auto& [machine, item] : unlisted_) {
    agents.push_back(item.agent);
  }
  return agents;
}

void agent_registry::Expire(time_point now) {
  std::erase_if(unlisted_, [&](const auto& entry) {
    return now - entry.second.at > kUnlistedTimeout;
  });
}

}  // namespace corianderplank
