#include "core/flow_census.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time after which a round ends without the responses that are missing:
/// several round trips between failure domains.
constexpr milliseconds kRoundTimeout = 20ms;

}  // namespace

short_flow_hash ShortHashFlow(const flow_address& flow) {
  return static_cast<short_flow_hash>(HashFlow(flow));
}

void flow_census::Begin(time_point now, std::size_t agent_count) {
  End();
  running_ = true;
  ++round_;
  agent_count_ = agent_count;
  started_at_ = now;
}

void flow_census::AddFlowList(machine_address machine,
                              std::uint32_t round,
                              bool complete,
                              const std::vector<short_flow_hash>& flows) {
  if (!running_ || round != round_ || !responded_.insert(machine).second) {
    return;
  }
  if (complete) {
    complete_agents_.push_back(machine);
  }
  for (const short_flow_hash flow : flows) {
    holders_.emplace(flow, machine);
  }
}

bool flow_census::IsOver(time_point now) const {
  return running_ && (responded_.size() >= agent_count_ ||
                      now - started_at_ >= kRoundTimeout);
}

void flow_census::End() {
  running_ = false;
  responded_.clear();
  complete_agents_.clear();
  holders_.clear();
}

std::vector<machine_address> flow_census::FindHolders(
    const flow_address& flow) const {
  std::vector<machine_address> found;
  const auto [begin, end] = holders_.equal_range(ShortHashFlow(flow));
  for (auto item = begin; item != end; ++item) {
    found.push_back(item->second);
  }
  return found;
}

}  // namespace corianderplank
