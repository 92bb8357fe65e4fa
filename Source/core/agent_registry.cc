#include "core/agent_registry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time within which agents that were killed with an entry run again and have
/// said so: a restart's short delay and some tries.
constexpr milliseconds kSettleTime = 1000ms;
/// Quiet time after the last new agent: a try of an agent and a round trip.
constexpr milliseconds kQuietTime = 60ms;
/// Agents that are not listed speak once a second.
constexpr milliseconds kAgentLifetime = 5000ms;

}  // namespace

void agent_registry::OnPresent(time_point now,
                             const present_agent& agent,
                             bool listed) {
  if (heard_.insert(agent.machine).second) {
    latest_new_at_ = now;
  }
  if (listed) {
    unlisted_.erase(agent.machine);
  } else {
    unlisted_[agent.machine] = {agent, now};
  }
}

bool agent_registry::HasSettled(time_point now,
                              const fleet_belief& belief) const {
  if (woke_at_ != time_point{} && now - woke_at_ < kSettleTime) {
    return false;
  }
  if (now - started_at_ > kSettleTime) {
    return true;
  }
  // Agents that were killed with this entry come back at about one time: when
  // those of all listed targets are there, the others had time, too.
  return belief.Revision() != 0 && now - latest_new_at_ > kQuietTime &&
         std::all_of(belief.Targets().begin(), belief.Targets().end(),
                     [&](const auto& entry) {
                       const fleet_target& item = entry.second;
                       return item.gone ||
                              heard_.contains(item.address.address);
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
    return now - entry.second.at > kAgentLifetime;
  });
}

}  // namespace corianderplank
