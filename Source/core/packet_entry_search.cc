#include "core/packet_entry.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time after which the next targets are asked without waiting for answers.
constexpr milliseconds kWavePatience = 15ms;
constexpr std::size_t kFirstWave = 3;
/// Time after which those that were asked for a flow and are silent are asked
/// again: half of the client's own first repeat. It doubles each time.
constexpr milliseconds kAskAgain = 100ms;
constexpr std::uint32_t kMaxDoublings = 5;
constexpr std::size_t kQuestionBytes = 20;
/// What an envelope adds to a packet.
constexpr std::size_t kEnvelopeBytes = 130;
/// Between two looks at a picture that does not know all holders yet.
constexpr milliseconds kKnowledgePatience = 50ms;
/// A search that is not fed by the client any more is forgotten.
constexpr milliseconds kSearchLifetime = 5000ms;
/// Window of a flow: an end sends no more packets without an acknowledgement.
constexpr std::size_t kMaxHeldPackets = 16;

}  // namespace

void packet_entry::StartSearch(time_point now,
                               const flow_packet& packet,
                               flow_record& record,
                               machine_address denier) {
  const flow_address flow = packet.FromClient();
  record.holder = 0;
  record.sought = std::make_unique<search>();
  search& sought = *record.sought;
  sought.began_at = now;
  sought.next_wave = kFirstWave;
  sought.acknowledgement = packet.acknowledgement;
  sought.packets.emplace_back(packet.bytes);
  if (denier != 0) {
    sought.asked.push_back(denier);
    sought.denied.push_back(denier);
  }
  Decide(now, result_code::search_started, flow, 0);
  if (record.opened != nullptr) {
    // One of those that got the opening packet must have accepted it.
    for (const machine_address machine : record.opened->tried) {
      if (!Contains(sought.asked, machine)) {
        sought.asked.push_back(machine);
        Ask(flow, sought, machine);
      }
    }
    record.opened.reset();
  }
  if (!JoinCensus(now, flow, sought)) {
    Widen(now, flow, record);
  }
}

void packet_entry::Widen(time_point now,
                         const flow_address& flow,
                         flow_record& record) {
  search& sought = *record.sought;
  if (!search_budget_.CanSend(now)) {
    if (sought.counted || !JoinCensus(now, flow, sought)) {
      Schedule(now + kWavePatience, flow);
    }
    return;
  }
  const std::vector<machine_address> wave =
      index_->NextHolders(index_->FindRoute(flow.service), HashFlow(flow),
                          sought.asked, sought.next_wave);
  if (wave.empty()) {
    sought.exhausted = true;
    Conclude(now, flow);
    return;
  }
  counters_.Add(result_code::search_widened);
  sought.exhausted = false;
  sought.next_wave *= 2;
  for (const machine_address machine : wave) {
    sought.asked.push_back(machine);
    Ask(flow, sought, machine);
  }
  Schedule(now + kWavePatience, flow);
}

void packet_entry::ContinueSearch(time_point now,
                                  const flow_packet& packet,
                                  flow_record& record) {
  search& sought = *record.sought;
  const bool repeated = std::find(sought.packets.begin(), sought.packets.end(),
                                  packet.bytes) != sought.packets.end();
  sought.acknowledgement = packet.acknowledgement;
  if (!repeated) {
    if (sought.packets.size() < kMaxHeldPackets) {
      sought.packets.emplace_back(packet.bytes);
    }
    if (!sought.exhausted) {
      return;
    }
  }
  if (sought.awaits_census) {
    return;
  }
  // The client has repeated a packet: whoever was silent may have lost it.
  counters_.Add(result_code::search_repeated);
  AskSilent(now, packet.FromClient(), sought);
  if (!sought.exhausted) {
    Widen(now, packet.FromClient(), record);
  }
}

void packet_entry::AskSilent(time_point now,
                             const flow_address& flow,
                             search& sought) {
  if (!search_budget_.CanSend(now)) {
    return;
  }
  for (const machine_address machine : sought.asked) {
    if (Contains(sought.denied, machine)) {
      continue;
    }
    Ask(flow, sought, machine);
    if (Contains(sought.delivered, machine)) {
      // Its target had the packet and was silent, too.
      OnUnsure(machine, flow);
    }
  }
}

void packet_entry::Ask(const flow_address& flow,
                       search& sought,
                       machine_address machine) {
  if (HasEnded(machine)) {
    // Nobody waits for the answer; another target would still be heard.
    sought.denied.push_back(machine);
  }
  search_budget_.Consume(kQuestionBytes);
  questions_[machine].push_back({flow, sought.acknowledgement});
}

void packet_entry::Flush() {
  for (auto& [machine, asked] : questions_) {
    mesh_message message = MessageFor(mesh_kind::ask, machine);
    for (std::size_t begin = 0; begin < asked.size(); begin += kMaxQuestions) {
      const std::size_t end = std::min(asked.size(), begin + kMaxQuestions);
      message.questions.assign(
          asked.begin() + static_cast<std::ptrdiff_t>(begin),
          asked.begin() + static_cast<std::ptrdiff_t>(end));
      search_budget_.Consume(kEnvelopeBytes);
      effects_.SendToAgent(machine, message);
    }
  }
  questions_.clear();
}

void packet_entry::OnVerdicts(time_point now,
                              machine_address machine,
                              const mesh_message& message) {
  for (const flow_question& item : message.questions) {
    switch (item.verdict) {
      case flow_verdict::holds:
        OnHolds(now, machine, item.flow);
        break;
      case flow_verdict::denied: {
        mesh_message denial;
        denial.flow = item.flow;
        OnDenied(now, machine, denial);
        break;
      }
      case flow_verdict::unsure:
        OnUnsure(machine, item.flow);
        break;
    }
  }
}

void packet_entry::OnUnsure(machine_address machine, const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.sought == nullptr) {
    return;
  }
  search& sought = *found->second.sought;
  if (HasEnded(machine)) {
    // Another target runs there, beside another agent.
    ended_[machine].contradicted = true;
    std::erase(sought.denied, machine);
  }
  if (!Contains(sought.asked, machine) || Contains(sought.denied, machine)) {
    return;
  }
  if (!Contains(sought.delivered, machine)) {
    sought.delivered.push_back(machine);
  }
  const std::string& packet = sought.packets.front();
  search_budget_.Consume(packet.size() + kEnvelopeBytes);
  Deliver(flow, machine, true, packet);
}

void packet_entry::Conclude(time_point now, const flow_address& flow) {
  const flow_record& record = flows_.at(flow);
  const search& sought = *record.sought;
  if (sought.denied.size() < sought.asked.size()) {
    Schedule(now + kAskAgain * (1 << std::min(sought.repeats, kMaxDoublings)),
             flow);
    return;
  }
  const fleet_view& view = index_->View();
  if (view.confirmed_at < sought.began_at || woke_at_) {
    // A target that is not listed yet may have accepted the flow.
    effects_.RequestConfirmation();
    Schedule(now + kWavePatience, flow);
    return;
  }
  if (!view.knows_all_holders) {
    // Soon the agents of all targets will be known.
    Schedule(now + kKnowledgePatience, flow);
    return;
  }
  Reset(now, result_code::reset_no_holder, flow, sought.acknowledgement);
}

void packet_entry::OnHolds(time_point now,
                           machine_address machine,
                           const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    return;
  }
  flow_record& record = found->second;
  const std::unique_ptr<search> sought = std::move(record.sought);
  record.opened.reset();
  record.holder = machine;
  if (sought == nullptr) {
    return;
  }
  Decide(now, result_code::search_found, flow, machine);
  const std::size_t first = Contains(sought->delivered, machine) ? 1 : 0;
  for (std::size_t index = first; index < sought->packets.size(); ++index) {
    Deliver(flow, machine, false, sought->packets[index]);
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
  if (record.sought == nullptr) {
    if (record.holder != machine) {
      return;
    }
    Decide(now, result_code::holder_denied, message.flow, machine);
    const auto packet = format_.Decode(message.payload);
    if (packet && packet->FromClient() == message.flow) {
      StartSearch(now, *packet, record, machine);
    } else {
      record.holder = 0;
    }
    return;
  }
  search& sought = *record.sought;
  if (!Contains(sought.asked, machine) || Contains(sought.denied, machine)) {
    return;
  }
  sought.denied.push_back(machine);
  if (sought.denied.size() == sought.asked.size()) {
    Widen(now, message.flow, record);
  }
}

void packet_entry::OnTargetEnded(time_point now, machine_address machine) {
  const fleet_target* target = index_->FindTarget(machine);
  ended_[machine] = {target == nullptr ? 0 : target->revision, false};
  counters_.Add(result_code::target_ended);
  loads_.OnAgentLeaving(now, machine);
  for (auto& [flow, record] : flows_) {
    Erase(record.accepted, machine);
    if (record.holder == machine) {
      record.holder = 0;
    }
    if (record.sought != nullptr && Contains(record.sought->asked, machine) &&
        !Contains(record.sought->denied, machine)) {
      record.sought->denied.push_back(machine);
      Schedule(now, flow);
    }
  }
}

void packet_entry::RetainEnded() {
  std::erase_if(ended_, [&](const auto& item) {
    const fleet_target* target = index_->FindTarget(item.first);
    return target == nullptr ||
           (!target->gone && target->revision > item.second.revision);
  });
}

void packet_entry::TakeEnded(time_point now) {
  for (const fleet_target& item : index_->View().targets) {
    const machine_address machine = item.address.address;
    if (!item.ended || index_->FindTarget(machine) != &item) {
      continue;
    }
    const auto known = ended_.find(machine);
    if (known == ended_.end() || known->second.revision < item.revision) {
      OnTargetEnded(now, machine);
    }
  }
}

bool packet_entry::HasEnded(machine_address machine) const {
  const auto found = ended_.find(machine);
  return found != ended_.end() && !found->second.contradicted;
}

void packet_entry::Schedule(time_point at, const flow_address& flow) {
  flows_.at(flow).sought->due_at = at;
  searches_.emplace(at, flow);
}

void packet_entry::TickSearch(time_point now,
                              time_point at,
                              const flow_address& flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end() || found->second.sought == nullptr ||
      found->second.sought->due_at != at) {
    // The search has ended or was put off.
    return;
  }
  search& sought = *found->second.sought;
  if (now - sought.began_at > kSearchLifetime) {
    const auto silent = std::find_if(
        sought.asked.begin(), sought.asked.end(),
        [&](machine_address item) { return !Contains(sought.denied, item); });
    Decide(now, result_code::dropped_unfound, flow,
           silent == sought.asked.end() ? 0 : *silent);
    flows_.erase(found);
    return;
  }
  if (sought.awaits_census) {
    AwaitCensus(now, flow);
    return;
  }
  if (sought.exhausted && sought.denied.size() < sought.asked.size()) {
    // Their agents may have just been started again.
    AskSilent(now, flow, sought);
    ++sought.repeats;
  }
  Widen(now, flow, found->second);
}

}  // namespace corianderplank
