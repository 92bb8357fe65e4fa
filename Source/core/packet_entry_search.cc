#include "core/packet_entry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time after which the next wave of targets is queried, even if responses of
/// the previous one are missing. Also the time after which a search is looked
/// at again that is blocked by the rate limit or waits for a confirmed
/// snapshot.
constexpr milliseconds kWaveInterval = 15ms;
constexpr std::size_t kFirstWaveSize = 3;
/// Denials of the first two waves.
constexpr std::size_t kManyDenials = 9;
/// The same while most agents do not know all flows: each target gets a packet
/// instead of a query of 20 bytes.
constexpr std::size_t kFirstDeliveryWaveSize = 1;
/// Time after which unresponsive machines are queried again: half of a client's
/// initial retransmission timeout. Doubles with each repetition, at most
/// kMaxDoublings times.
constexpr milliseconds kRequeryInterval = 100ms;
constexpr std::uint32_t kMaxDoublings = 5;
/// Encoded size of one flow query.
constexpr std::size_t kQueryBytes = 20;
/// Size that the message envelope and the headers add to a payload.
constexpr std::size_t kEnvelopeBytes = 130;
/// Interval of a search that waits until the snapshot knows all holders.
constexpr milliseconds kHolderListPollInterval = 50ms;
/// Time within which a target returns a packet of a flow that it does not hold,
/// including the ways from and to the entry.
constexpr milliseconds kReturnTimeout = 12ms;
/// Time after which other targets are queried even if a likely holder is still
/// silent: the client's first two repetitions, so that the loss of the packet
/// or of its return is noticed, and a multiple of the service time.
constexpr milliseconds kLikelyHolderTimeout = 400ms;
/// A search that runs longer is given up, and the flow is removed.
constexpr milliseconds kSearchLifetime = 5000ms;
/// Window of a flow: neither end sends more packets without an acknowledgement.
constexpr std::size_t kMaxBufferedPackets = 16;

}  // namespace

bool packet_entry::search::IsDeniedOften() const {
  return denied.size() >= kManyDenials;
}

bool packet_entry::search::IsDeliveredTo(machine_address machine) const {
  return std::any_of(
      delivered.begin(), delivered.end(),
      [&](const delivery& item) { return item.machine == machine; });
}

bool packet_entry::search::HasLikelyHolder(time_point now) const {
  return std::any_of(delivered.begin(), delivered.end(),
                     [&](const delivery& item) {
                       return now - item.at >= kReturnTimeout &&
                              now - item.at < kLikelyHolderTimeout &&
                              !Contains(denied, item.machine);
                     });
}

void packet_entry::StartSearch(time_point now,
                               const flow_packet& packet,
                               flow_record& record,
                               machine_address denier) {
  const flow_address flow = packet.FromClient();
  record.holder = 0;
  record.pending_search = std::make_unique<search>();
  search& pending_search = *record.pending_search;
  pending_search.started_at = now;
  pending_search.next_wave_size =
      agents_.IsMostlyIncomplete() ? kFirstDeliveryWaveSize : kFirstWaveSize;
  pending_search.acknowledgement = packet.acknowledgement;
  pending_search.packets.emplace_back(packet.bytes);
  if (denier != 0) {
    pending_search.queried.push_back(denier);
    pending_search.denied.push_back(denier);
  }
  RecordDecision(now, result_code::search_started, flow, 0);
  if (record.pending_opening != nullptr) {
    // The client uses the flow, so one of the targets that got the opening
    // packet must have accepted it.
    for (const machine_address machine : record.pending_opening->tried) {
      if (!Contains(pending_search.queried, machine)) {
        pending_search.queried.push_back(machine);
        QueueQuery(flow, pending_search, machine);
      }
    }
    record.pending_opening.reset();
  }
  if (!JoinCensus(now, flow, pending_search)) {
    WidenSearch(now, flow, record);
  }
}

void packet_entry::WidenSearch(time_point now,
                               const flow_address& flow,
                               flow_record& record) {
  search& pending_search = *record.pending_search;
  const std::vector<machine_address> wave = index_->NextMachinesToQuery(
      index_->FindRoute(flow.service), HashFlow(flow), pending_search.queried,
      pending_search.next_wave_size);
  if (wave.empty()) {
    pending_search.exhausted = true;
    ConcludeSearch(now, flow);
    return;
  }
  const bool can_send = search_rate_limiter_.CanSend(now);
  if ((!can_send || pending_search.IsDeniedOften()) &&
      !pending_search.census_applied && JoinCensus(now, flow, pending_search)) {
    return;
  }
  if (!can_send) {
    Schedule(now + kWaveInterval, flow);
    return;
  }
  counters_.Add(result_code::search_widened);
  pending_search.exhausted = false;
  pending_search.next_wave_size *= 2;
  for (const machine_address machine : wave) {
    pending_search.queried.push_back(machine);
    Ask(now, flow, pending_search, machine);
  }
  Schedule(now + kWaveInterval, flow);
}

void packet_entry::Ask(time_point now,
                       const flow_address& flow,
                       search& pending_search,
                       machine_address machine) {
  if (!agents_.IsComplete(machine) && !HasTargetEnded(machine)) {
    DeliverSearching(now, flow, pending_search, machine);
  } else {
    QueueQuery(flow, pending_search, machine);
  }
}

void packet_entry::ContinueSearch(time_point now,
                                  const flow_packet& packet,
                                  flow_record& record) {
  search& pending_search = *record.pending_search;
  const bool repeated =
      std::find(pending_search.packets.begin(), pending_search.packets.end(),
                packet.bytes) != pending_search.packets.end();
  pending_search.acknowledgement = packet.acknowledgement;
  if (!repeated) {
    if (pending_search.packets.size() < kMaxBufferedPackets) {
      pending_search.packets.emplace_back(packet.bytes);
    }
    if (!pending_search.exhausted) {
      return;
    }
  }
  if (pending_search.awaits_census) {
    return;
  }
  // The client repeated a packet, or every known machine was queried and the
  // client is still sending: the query or the response of an unresponsive
  // machine may have been lost.
  counters_.Add(result_code::search_repeated);
  RequeryUnresponsive(now, packet.FromClient(), pending_search);
  if (!pending_search.exhausted && !pending_search.HasLikelyHolder(now)) {
    WidenSearch(now, packet.FromClient(), record);
  }
}

void packet_entry::RequeryUnresponsive(time_point now,
                                       const flow_address& flow,
                                       search& pending_search) {
  if (!search_rate_limiter_.CanSend(now)) {
    return;
  }
  for (const machine_address machine : pending_search.queried) {
    if (Contains(pending_search.denied, machine)) {
      continue;
    }
    Ask(now, flow, pending_search, machine);
  }
}

void packet_entry::QueueQuery(const flow_address& flow,
                              search& pending_search,
                              machine_address machine) {
  if (HasTargetEnded(machine)) {
    // Does not wait for the response, but queries nevertheless: a new target on
    // the machine could claim the flow.
    pending_search.denied.push_back(machine);
  }
  search_rate_limiter_.Consume(kQueryBytes);
  pending_queries_[machine].push_back({flow, pending_search.acknowledgement});
}

void packet_entry::Flush() {
  for (auto& [machine, queried] : pending_queries_) {
    mesh_message message = MakeMessage(mesh_kind::flow_queries, machine);
    for (std::size_t begin = 0; begin < queried.size();
         begin += kMaxFlowQueries) {
      const std::size_t end = std::min(queried.size(), begin + kMaxFlowQueries);
      message.queries.assign(
          queried.begin() + static_cast<std::ptrdiff_t>(begin),
          queried.begin() + static_cast<std::ptrdiff_t>(end));
      search_rate_limiter_.Consume(kEnvelopeBytes);
      effects_.SendToAgent(machine, message);
    }
  }
  pending_queries_.clear();
}

void packet_entry::OnQueryResults(time_point now,
                                  machine_address machine,
                                  const mesh_message& message) {
  for (const flow_query& item : message.queries) {
    if (item.result != flow_query_result::holds) {
      agents_.Set(machine, item.result == flow_query_result::denied);
    }
    switch (item.result) {
      case flow_query_result::holds:
        OnHolderFound(now, machine, item.flow);
        break;
      case flow_query_result::denied: {
        mesh_message denial;
        denial.flow = item.flow;
        OnDenied(now, machine, denial);
        break;
      }
      case flow_query_result::unknown:
        OnUnknownResult(now, machine, item.flow);
        break;
    }
  }
}

void packet_entry::OnUnknownResult(time_point now,
                                   machine_address machine,
                                   const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.pending_search == nullptr) {
    return;
  }
  search& pending_search = *found->second.pending_search;
  if (HasTargetEnded(machine)) {
    // Another target with another agent runs on the machine.
    ended_targets_[machine].contradicted = true;
    std::erase(pending_search.denied, machine);
  }
  if (!Contains(pending_search.queried, machine) ||
      Contains(pending_search.denied, machine)) {
    return;
  }
  DeliverSearching(now, flow, pending_search, machine);
}

void packet_entry::DeliverSearching(time_point now,
                                    const flow_address& flow,
                                    search& pending_search,
                                    machine_address machine) {
  if (!pending_search.IsDeliveredTo(machine)) {
    pending_search.delivered.push_back({machine, now});
  }
  const std::string& packet = pending_search.packets.front();
  search_rate_limiter_.Consume(packet.size() + kEnvelopeBytes);
  Deliver(flow, machine, true, packet);
}

void packet_entry::ConcludeSearch(time_point now, const flow_address& flow) {
  const flow_record& record = flows_.at(flow);
  const search& pending_search = *record.pending_search;
  if (pending_search.denied.size() < pending_search.queried.size()) {
    Schedule(
        now + kRequeryInterval *
                  (1 << std::min(pending_search.requery_count, kMaxDoublings)),
        flow);
    return;
  }
  const fleet_snapshot& snapshot = index_->Snapshot();
  if (snapshot.confirmed_at < pending_search.started_at || resumed_at_) {
    // A target that the snapshot does not list yet may hold the flow.
    effects_.RequestConfirmation();
    Schedule(now + kWaveInterval, flow);
    return;
  }
  if (!snapshot.knows_all_holders) {
    // Targets that are not listed may hold the flow; the agents of all targets
    // will be known soon.
    Schedule(now + kHolderListPollInterval, flow);
    return;
  }
  ResetFlow(now, result_code::reset_no_holder, flow,
            pending_search.acknowledgement);
}

void packet_entry::OnHolderFound(time_point now,
                                 machine_address machine,
                                 const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  flow_record& record = found->second;
  const std::unique_ptr<search> pending_search =
      std::move(record.pending_search);
  record.pending_opening.reset();
  record.holder = machine;
  if (pending_search == nullptr) {
    return;
  }
  RecordDecision(now, result_code::search_found, flow, machine);
  const std::size_t first = pending_search->IsDeliveredTo(machine) ? 1 : 0;
  for (std::size_t index = first; index < pending_search->packets.size();
       ++index) {
    Deliver(flow, machine, false, pending_search->packets[index]);
  }
}

void packet_entry::OnDenied(time_point now,
                            machine_address machine,
                            const mesh_message& message) {
  const auto found = flows_.find(message.flow);
  if (found == flows_.end()) {
    return;
  }
  flow_record& record = found->second;
  Erase(record.accepted, machine);
  if (record.pending_search == nullptr) {
    if (record.holder != machine) {
      return;
    }
    RecordDecision(now, result_code::holder_denied, message.flow, machine);
    const auto packet = format_.Decode(message.payload);
    if (packet && packet->FromClient() == message.flow) {
      StartSearch(now, *packet, record, machine);
    } else {
      record.holder = 0;
    }
    return;
  }
  search& pending_search = *record.pending_search;
  if (!Contains(pending_search.queried, machine) ||
      Contains(pending_search.denied, machine)) {
    return;
  }
  pending_search.denied.push_back(machine);
  if (pending_search.denied.size() == pending_search.queried.size()) {
    WidenSearch(now, message.flow, record);
  } else if (pending_search.due_at > now + kWaveInterval &&
             !pending_search.exhausted &&
             !pending_search.HasLikelyHolder(now)) {
    Schedule(now + kWaveInterval, message.flow);
  }
}

void packet_entry::OnTargetEnded(time_point now, machine_address machine) {
  const fleet_target* target = index_->FindTarget(machine);
  ended_targets_[machine] = {
      target == nullptr ? source_revision() : target->revision, false};
  counters_.Add(result_code::target_ended);
  loads_.OnAgentLeaving(now, machine);
  for (auto& [flow, record] : flows_) {
    Erase(record.accepted, machine);
    if (record.holder == machine) {
      record.holder = 0;
    }
    if (record.pending_search != nullptr &&
        Contains(record.pending_search->queried, machine) &&
        !Contains(record.pending_search->denied, machine)) {
      record.pending_search->denied.push_back(machine);
      Schedule(now, flow);
    }
  }
}

void packet_entry::PruneEndedTargets() {
  std::erase_if(ended_targets_, [&](const auto& item) {
    const fleet_target* target = index_->FindTarget(item.first);
    return target == nullptr ||
           (!target->removed && target->revision > item.second.revision);
  });
}

void packet_entry::ApplyEndedTargets(time_point now) {
  for (const fleet_target& item : index_->Snapshot().targets) {
    const machine_address machine = item.address.address;
    if (!item.ended || index_->FindTarget(machine) != &item) {
      continue;
    }
    const auto existing = ended_targets_.find(machine);
    if (existing == ended_targets_.end() ||
        existing->second.revision < item.revision) {
      OnTargetEnded(now, machine);
    }
  }
}

bool packet_entry::HasTargetEnded(machine_address machine) const {
  const auto found = ended_targets_.find(machine);
  return found != ended_targets_.end() && !found->second.contradicted;
}

void packet_entry::Schedule(time_point at, const flow_address& flow) {
  flows_.at(flow).pending_search->due_at = at;
  searches_.emplace(at, flow);
}

void packet_entry::TickSearch(time_point now,
                              time_point at,
                              const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.pending_search == nullptr ||
      found->second.pending_search->due_at != at) {
    // The search has ended or was rescheduled.
    return;
  }
  search& pending_search = *found->second.pending_search;
  if (now - pending_search.started_at > kSearchLifetime) {
    const auto unresponsive =
        std::find_if(pending_search.queried.begin(),
                     pending_search.queried.end(), [&](machine_address item) {
                       return !Contains(pending_search.denied, item);
                     });
    RecordDecision(
        now, result_code::dropped_unfound, flow,
        unresponsive == pending_search.queried.end() ? 0 : *unresponsive);
    flows_.erase(found);
    return;
  }
  if (pending_search.awaits_census) {
    PollCensus(now, flow);
    return;
  }
  if (pending_search.exhausted &&
      pending_search.denied.size() < pending_search.queried.size()) {
    // The agents of unresponsive machines may have been restarted meanwhile.
    RequeryUnresponsive(now, flow, pending_search);
    ++pending_search.requery_count;
  }
  if (!pending_search.exhausted && pending_search.HasLikelyHolder(now)) {
    Schedule(now + kLikelyHolderTimeout, flow);
    return;
  }
  // An exhausted search is widened as well: the snapshot may list new machines.
  WidenSearch(now, flow, found->second);
}

}  // namespace corianderplank
