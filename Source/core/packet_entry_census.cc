#include "core/packet_entry.h"

#include <algorithm>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Number of searches from which flow lists cost less bandwidth than flow
/// queries: a list has a few hundred bytes, a query 20 bytes and its share of a
/// datagram.
constexpr std::size_t kMinCensusSearches = 16;
/// A round costs a request and a response for each machine, however many
/// searches it resolves.
constexpr std::size_t kMachinesPerCensusSearch = 4;
/// Part of the rate limit that a census round leaves to queries, as the time in
/// which it refills: two waves of queries. Without it the rounds would consume
/// the whole limit, and no search would end.
constexpr milliseconds kQueryReserve = 30ms;
/// A round whose lists are mostly incomplete and name the holders of less than
/// one in kMinNamedDivisor searches costs more than it saves; searches do
/// without lists for kCensusPause, in which agents learn flows.
constexpr std::size_t kMinNamedDivisor = 4;
constexpr milliseconds kCensusPause = 500ms;
/// Interval at which a search that waits for a round is looked at.
constexpr milliseconds kCensusPollInterval = 20ms;
/// Size of the request for a list and of the envelope of its response.
constexpr std::size_t kListRequestBytes = 2 * 130;

}  // namespace

bool packet_entry::JoinCensus(time_point now,
                              const flow_address& flow,
                              search& pending_search) {
  // A new search will probably be resolved by a few queries; one that was
  // denied often would have to query all machines.
  const std::size_t min_searches =
      pending_search.IsDeniedOften()
          ? kMinCensusSearches
          : std::max(kMinCensusSearches,
                     index_->MachineCount() / kMachinesPerCensusSearch);
  if (searches_.size() < min_searches || now < census_paused_until_) {
    return false;
  }
  pending_search.awaits_census = true;
  next_census_flows_.push_back(flow);
  Schedule(now + kCensusPollInterval, flow);
  BeginCensus(now);
  return true;
}

void packet_entry::BeginCensus(time_point now) {
  if (census_.IsRunning() || next_census_flows_.empty() ||
      !search_rate_limiter_.CanSend(now, kQueryReserve)) {
    return;
  }
  std::vector<machine_address> machines = index_->Machines();
  std::erase_if(machines,
                [&](machine_address item) { return HasTargetEnded(item); });
  census_.Begin(now, machines.size());
  census_flows_ = std::exchange(next_census_flows_, {});
  counters_.Add(result_code::census_begun);
  for (const machine_address machine : machines) {
    mesh_message message = MakeMessage(mesh_kind::list_flows, machine);
    message.round = census_.Round();
    search_rate_limiter_.Consume(kListRequestBytes);
    effects_.SendToAgent(machine, message);
  }
}

void packet_entry::OnFlowList(time_point now,
                              machine_address machine,
                              const mesh_message& message) {
  search_rate_limiter_.Consume(message.flows.size() * sizeof(short_flow_hash));
  if (message.complete) {
    agents_.Set(machine, true);
  }
  census_.AddFlowList(machine, message.round, message.complete, message.flows);
  if (census_.IsOver(now)) {
    EndCensus(now);
  }
}

void packet_entry::EndCensus(time_point now) {
  const bool denies =
      2 * census_.CompleteAgents().size() >= census_.ResponseCount();
  const std::vector<flow_address> flows = std::exchange(census_flows_, {});
  std::size_t named_count = 0;
  for (const flow_address& flow : flows) {
    named_count += ApplyCensus(now, flow) ? 1 : 0;
  }
  if (!denies && kMinNamedDivisor * named_count < flows.size()) {
    census_paused_until_ = now + kCensusPause;
  }
  census_.End();
  BeginCensus(now);
}

bool packet_entry::ApplyCensus(time_point now, const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.pending_search == nullptr ||
      !found->second.pending_search->awaits_census) {
    return false;
  }
  search& pending_search = *found->second.pending_search;
  pending_search.awaits_census = false;
  pending_search.census_applied = true;
  const std::vector<machine_address> holders = census_.FindHolders(flow);
  const auto deny = [&](machine_address machine) {
    if (!Contains(holders, machine) &&
        !Contains(pending_search.queried, machine)) {
      pending_search.queried.push_back(machine);
      pending_search.denied.push_back(machine);
    }
  };
  for (const machine_address machine : census_.CompleteAgents()) {
    deny(machine);
  }
  for (const auto& [machine, end] : ended_targets_) {
    if (!end.contradicted) {
      deny(machine);
    }
  }
  bool queried = false;
  for (const machine_address machine : holders) {
    if (!Contains(pending_search.queried, machine)) {
      pending_search.queried.push_back(machine);
      QueueQuery(flow, pending_search, machine);
      queried = true;
    }
  }
  if (queried) {
    Schedule(now + kCensusPollInterval, flow);
  } else {
    WidenSearch(now, flow, found->second);
  }
  return !holders.empty();
}

void packet_entry::PollCensus(time_point now, const flow_address& flow) {
  if (census_.IsOver(now)) {
    EndCensus(now);
  } else {
    BeginCensus(now);
  }
  const auto found = flows_.find(flow);
  if (found != flows_.end() && found->second.pending_search != nullptr &&
      found->second.pending_search->awaits_census) {
    Schedule(now + kCensusPollInterval, flow);
  }
}

}  // namespace corianderplank
