#include "core/flow_census.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time after which a round goes on without the silent agents: several round
/// trips between failure domains.
constexpr milliseconds kPatience = 20ms;

}  // namespace

short_flow_hash ShortHashFlow(const flow_address& flow) {
  return static_cast<short_flow_hash>(HashFlow(flow));
}

void flow_census::Begin(time_point now, std::size_t machines) {
  End();
  running_ = true;
  ++round_;
  machines_ = machines;
  began_at_ = now;
}

void flow_census::AddFlowList(machine_address machine,
                              std::uint32_t round,
                              bool complete,
                              const std::vector<short_flow_hash>& flows) {
  if (!running_ || round != round_ || !heard_.insert(machine).second) {
    return;
  }
  if (complete) {
    complete_.push_back(machine);
  }
  for (const short_flow_hash flow : flows) {
    holders_.emplace(flow, machine);
  }
}

bool flow_census::IsOver(time_point now) const {
  return running_ &&
         (heard_.size() >= machines_ || now - began_at_ >= kPatience);
}

void flow_census::End() {
  running_ = false;
  heard_.clear();
  complete_.clear();
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
