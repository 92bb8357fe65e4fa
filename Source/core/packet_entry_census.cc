#include "core/packet_entry.h"

#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// From so many searches on, lists cost less than questions: a list has some
/// hundred bytes, a question 20 and its share of a datagram.
constexpr std::size_t kCensusFrom = 16;
/// Bytes left to questions when a round begins, as time in which they come in:
/// two of their waves. Rounds would take all, and no search would end.
constexpr milliseconds kQuestionsReserve = 30ms;
/// Between two looks at a search that waits for a round.
constexpr milliseconds kCensusLook = 20ms;
/// What a question for a list adds to the link in both directions.
constexpr std::size_t kRoundBytes = 2 * 130;

}  // namespace

bool packet_entry::JoinCensus(time_point now,
                              const flow_address& flow,
                              search& sought) {
  if (searches_.size() < kCensusFrom) {
    return false;
  }
  sought.awaits_census = true;
  uncounted_.push_back(flow);
  Schedule(now + kCensusLook, flow);
  BeginCensus(now);
  return true;
}

void packet_entry::BeginCensus(time_point now) {
  if (census_.IsRunning() || uncounted_.empty() ||
      !search_budget_.CanSend(now, kQuestionsReserve)) {
    return;
  }
  std::vector<machine_address> machines = index_->Machines();
  std::erase_if(machines, [&](machine_address item) { return HasEnded(item); });
  census_.Begin(now, machines.size());
  counted_ = std::exchange(uncounted_, {});
  counters_.Add(result_code::census_begun);
  for (const machine_address machine : machines) {
    mesh_message message = MessageFor(mesh_kind::list_flows, machine);
    message.round = census_.Round();
    search_budget_.Consume(kRoundBytes);
    effects_.SendToAgent(machine, message);
  }
}

void packet_entry::OnFlowList(time_point now,
                              machine_address machine,
                              const mesh_message& message) {
  search_budget_.Consume(message.flows.size() * sizeof(short_flow_hash));
  census_.AddFlowList(machine, message.round, message.complete, message.flows);
  if (census_.IsOver(now)) {
    EndCensus(now);
  }
}

void packet_entry::EndCensus(time_point now) {
  for (const flow_address& flow : std::exchange(counted_, {})) {
    ApplyCensus(now, flow);
  }
  census_.End();
  BeginCensus(now);
}

void packet_entry::ApplyCensus(time_point now, const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.sought == nullptr ||
      !found->second.sought->awaits_census) {
    return;
  }
  search& sought = *found->second.sought;
  sought.awaits_census = false;
  sought.counted = true;
  const std::vector<machine_address> holders = census_.FindHolders(flow);
  const auto deny = [&](machine_address machine) {
    if (!Contains(holders, machine) && !Contains(sought.asked, machine)) {
      sought.asked.push_back(machine);
      sought.denied.push_back(machine);
    }
  };
  for (const machine_address machine : census_.CompleteAgents()) {
    deny(machine);
  }
  for (const auto& [machine, end] : ended_) {
    if (!end.contradicted) {
      deny(machine);
    }
  }
  bool asked = false;
  for (const machine_address machine : holders) {
    if (!Contains(sought.asked, machine)) {
      sought.asked.push_back(machine);
      Ask(flow, sought, machine);
      asked = true;
    }
  }
  if (asked) {
    Schedule(now + kCensusLook, flow);
  } else {
    Widen(now, flow, found->second);
  }
}

void packet_entry::AwaitCensus(time_point now, const flow_address& flow) {
  if (census_.IsOver(now)) {
    EndCensus(now);
  } else {
    BeginCensus(now);
  }
  const auto found = flows_.find(flow);
  if (found != flows_.end() && found->second.sought != nullptr &&
      found->second.sought->awaits_census) {
    Schedule(now + kCensusLook, flow);
  }
}

}  // namespace corianderplank
