#include "detection/answer_profiles.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Routes that an agent measures, apart from those with hardly any requests.
/// Bounds its memory to a few kilobytes and the profiles in a message to 100
/// bytes.
constexpr std::size_t kMaxRoutes = 6;
/// Answers after which a profile is sent: with fewer, one odd answer decides.
constexpr std::size_t kMinAnswers = 8;
/// The profile is the answer that exceeds one in this many: a route whose
/// answers are short by nature less often has a profile of its long ones.
constexpr std::size_t kQuantileDivisor = 8;
/// With fewer targets a single one may be half of them.
constexpr std::size_t kMinPeers = 3;
/// A profile of an agent that has sent none for this long is not used: agents
/// send theirs every two seconds to each entry that sends them flows.
constexpr milliseconds kProfileLifetime = 30000ms;
/// Period of finding the typical profile of a route.
constexpr milliseconds kUpdatePeriod = 500ms;
/// Period of telling an agent. A release that changes all answers takes longer
/// than this.
constexpr milliseconds kTellPeriod = 2000ms;

/// @return the value that exceeds `below` of the others.
template <typename Value>
Value NthSmallest(std::vector<Value>& values, std::size_t below) {
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(below),
                   values.end());
  return values[below];
}

}  // namespace

void answer_history::Add(const endpoint& route, const measured_answer& answer) {
  if (!routes_.contains(route) && routes_.size() >= kMaxRoutes) {
    const auto rarest =
        std::min_element(routes_.begin(), routes_.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.count < right.second.count;
                         });
    if (rarest->second.count >= kMinAnswers) {
      return;
    }
    routes_.erase(rarest);
  }
  route_history& known = routes_[route];
  known.answers[known.count % kHistory] = answer;
  ++known.count;
}

std::vector<answer_profile> answer_history::Profiles() const {
  std::vector<answer_profile> result;
  for (const auto& [route, known] : routes_) {
    const std::size_t count = std::min<std::size_t>(known.count, kHistory);
    if (count < kMinAnswers) {
      continue;
    }
    std::vector<std::uint32_t> sizes;
    std::vector<milliseconds> times;
    for (std::size_t i = 0; i < count; ++i) {
      sizes.push_back(known.answers[i].bytes);
      times.push_back(known.answers[i].service_time);
    }
    const std::size_t below = count / kQuantileDivisor;
    result.push_back({route, NthSmallest(sizes, below),
                      NthSmallest(times, below),
                      static_cast<std::uint32_t>(count)});
  }
  return result;
}

void peer_profiles::Add(time_point now,
                        service_id service,
                        machine_address machine,
                        const std::vector<answer_profile>& profiles) {
  for (const answer_profile& item : profiles) {
    std::vector<agent_profile>& agents = services_[service][item.route].agents;
    const auto found = std::find_if(
        agents.begin(), agents.end(),
        [&](const agent_profile& other) { return other.machine == machine; });
    if (found == agents.end()) {
      agents.push_back({machine, item, now});
    } else {
      *found = {machine, item, now};
    }
  }
}

void peer_profiles::Update(time_point now,
                           const endpoint& route,
                           route_profiles& known) {
  if (known.typical_at != time_point{} &&
      now - known.typical_at < kUpdatePeriod) {
    return;
  }
  known.typical_at = now;
  known.typical = {};
  std::erase_if(known.agents, [&](const agent_profile& item) {
    return now - item.at > kProfileLifetime;
  });
  if (known.agents.size() < kMinPeers) {
    return;
  }
  std::vector<std::uint32_t> sizes;
  std::vector<milliseconds> times;
  for (const agent_profile& item : known.agents) {
    sizes.push_back(item.profile.bytes);
    times.push_back(item.profile.service_time);
  }
  const std::size_t middle = known.agents.size() / 2;
  known.typical = {route, NthSmallest(sizes, middle),
                   NthSmallest(times, middle),
                   static_cast<std::uint32_t>(known.agents.size())};
}

std::vector<answer_profile> peer_profiles::TakeDue(time_point now,
                                                   service_id service,
                                                   machine_address machine) {
  std::vector<answer_profile> result;
  const auto found = services_.find(service);
  const auto sent = sent_at_.find(machine);
  if (found == services_.end() ||
      (sent != sent_at_.end() && now - sent->second < kTellPeriod)) {
    return result;
  }
  for (auto& [route, known] : found->second) {
    Update(now, route, known);
    if (known.typical.count > 0) {
      result.push_back(known.typical);
    }
  }
  if (!result.empty()) {
    sent_at_[machine] = now;
  }
  return result;
}

void peer_profiles::Retain(const fleet_index& index) {
  for (auto& [service, routes] : services_) {
    for (auto& [route, known] : routes) {
      std::erase_if(known.agents, [&](const agent_profile& item) {
        return index.FindTarget(item.machine) == nullptr;
      });
    }
    std::erase_if(routes,
                  [](const auto& item) { return item.second.agents.empty(); });
  }
  std::erase_if(services_,
                [](const auto& item) { return item.second.empty(); });
  std::erase_if(sent_at_, [&](const auto& item) {
    return index.FindTarget(item.first) == nullptr;
  });
}

}  // namespace corianderplank
