#include "core/packet_entry.h"

#include <algorithm>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A pause between two calls from which on the process counts as asleep: above
/// the delays of a slow machine, below the bounds on leaving targets.
constexpr milliseconds kAsleepAfter = 1000ms;
/// A process that woke goes on without a confirmation after this long.
constexpr milliseconds kWakeGrace = 2500ms;
/// A picture that is older tells nothing about what is missing in it.
constexpr milliseconds kFreshPicture = 2000ms;
/// Bound on packets that are kept before the first configuration.
constexpr std::size_t kMaxEarlyPackets = 256;
/// Used until a configuration says how long a silent flow is kept.
constexpr milliseconds kDefaultIdle = 15000ms;
/// A flow's packets lie within this distance of its first acknowledgement.
constexpr std::uint32_t kMaxFlowBytes = 1U << 30U;

}  // namespace

packet_entry::packet_entry(std::uint64_t own_zone,
                           const packet_format& format,
                           packet_entry_effects& effects,
                           counters& counters,
                           const packet_entry_limits& limits)
    : format_(format),
      effects_(effects),
      counters_(counters),
      limits_(limits),
      own_zone_(own_zone),
      loads_(own_zone),
      search_budget_(limits.search_bytes_per_second),
      index_(std::make_shared<fleet_index>(std::make_shared<fleet_view>())) {}

void packet_entry::OnView(time_point now,
                          std::shared_ptr<const fleet_view> view) {
  NoticeTime(now);
  index_ = std::make_shared<fleet_index>(std::move(view), own_zone_);
  loads_.Retain(*index_);
  loads_.SetEntries(index_->View().entries);
  RetainEnded();
  TakeEnded(now);
  if (woke_at_ && index_->View().confirmed_at >= *woke_at_) {
    woke_at_.reset();
  }
  if (index_->View().configuration != nullptr) {
    for (const std::string& bytes : std::exchange(early_, {})) {
      OnClientDatagram(now, bytes);
    }
  }
}

void packet_entry::NoticeTime(time_point now) {
  if (seen_at_ != time_point{} && now - seen_at_ > kAsleepAfter) {
    woke_at_ = now;
    effects_.WantConfirmation();
  }
  seen_at_ = now;
  if (woke_at_ && now - *woke_at_ > kWakeGrace) {
    woke_at_.reset();
  }
}

bool packet_entry::IsFresh(time_point now) const {
  return !woke_at_ && index_->View().confirmed_at != time_point{} &&
         now - index_->View().confirmed_at < kFreshPicture;
}

void packet_entry::Decide(time_point now,
                          result_code code,
                          const flow_address& flow,
                          machine_address machine) {
  counters_.Add(code);
  const fleet_view& view = index_->View();
  flow_decision decision;
  decision.code = code;
  decision.flow = flow;
  decision.machine = machine;
  if (view.configuration != nullptr) {
    decision.configuration_version = view.configuration->version;
  }
  decision.snapshot_age =
      std::chrono::duration_cast<milliseconds>(now - view.confirmed_at);
  effects_.OnDecision(decision);
}

void packet_entry::OnClientDatagram(time_point now, std::string_view bytes) {
  NoticeTime(now);
  const auto packet = format_.Decode(bytes);
  const bool plausible = packet && !packet->returned &&
                         packet->source.IsValid() &&
                         !(packet->synchronize && packet->acknowledge);
  if (!plausible) {
    counters_.Add(result_code::malformed);
    return;
  }
  if (index_->View().configuration == nullptr) {
    KeepEarly(now, *packet);
  } else if (packet->synchronize) {
    OnOpening(now, *packet);
  } else {
    OnFlowPacket(now, *packet);
  }
}

void packet_entry::KeepEarly(time_point now, const flow_packet& packet) {
  if (early_.size() < kMaxEarlyPackets) {
    early_.emplace_back(packet.bytes);
    return;
  }
  Decide(now, result_code::dropped_no_configuration, packet.FromClient(), 0);
}

void packet_entry::OnFlowPacket(time_point now, const flow_packet& packet) {
  const flow_address flow = packet.FromClient();
  if (index_->IsDropped(flow.service)) {
    Reset(now, result_code::reset_route_dropped, flow, packet.acknowledgement);
    return;
  }
  const auto found = flows_.find(flow);
  if (found == flows_.end()) {
    StartSearch(now, packet, Insert(now, flow), 0);
    return;
  }
  flow_record& record = found->second;
  record.heard_at = now;
  if (record.holder == 0 && !record.accepted.empty()) {
    // The client acknowledges the number of the target that it has chosen.
    const auto chosen =
        std::min_element(record.accepted.begin(), record.accepted.end(),
                         [&](const acceptance& left, const acceptance& right) {
                           return packet.acknowledgement - left.sequence <
                                  packet.acknowledgement - right.sequence;
                         });
    if (packet.acknowledgement - chosen->sequence < kMaxFlowBytes) {
      record.holder = chosen->machine;
      record.opened.reset();
      record.sought.reset();
    }
  }
  if (record.holder != 0) {
    Deliver(flow, record.holder, false, packet.bytes);
  } else if (record.sought != nullptr) {
    ContinueSearch(now, packet, record);
  } else {
    StartSearch(now, packet, record, 0);
  }
}

void packet_entry::OnAgentMessage(time_point now,
                                  machine_address machine,
                                  const mesh_message& message) {
  NoticeTime(now);
  switch (message.kind) {
    case mesh_kind::opened:
      loads_.OnReport(now, machine, message.load);
      OnOpened(now, machine, message);
      return;
    case mesh_kind::holds:
      loads_.OnReport(now, machine, message.load);
      OnHolds(now, machine, message.flow);
      return;
    case mesh_kind::verdicts:
      loads_.OnReport(now, machine, message.load);
      OnVerdicts(now, machine, message);
      return;
    case mesh_kind::flows:
      loads_.OnReport(now, machine, message.load);
      OnFlowList(now, machine, message);
      return;
    case mesh_kind::denied:
      OnDenied(now, machine, message);
      return;
    case mesh_kind::refused:
      OnRefused(now, machine, message);
      return;
    case mesh_kind::busy:
      loads_.OnReport(now, machine, message.load);
      OnBusy(now, machine, message);
      return;
    case mesh_kind::ended:
      OnTargetEnded(now, machine);
      return;
    case mesh_kind::leaving:
      loads_.OnLeaving(now, machine);
      return;
    default:
      counters_.Add(result_code::unexpected_kind);
  }
}

mesh_message packet_entry::MessageFor(mesh_kind kind,
                                      machine_address machine) const {
  mesh_message message;
  message.kind = kind;
  if (const fleet_target* target = index_->FindTarget(machine)) {
    message.service = target->service;
    message.slots = target->slots;
    message.born_ms = target->gone ? 0 : target->born_ms;
    message.known_for = std::chrono::duration_cast<milliseconds>(
        seen_at_ - std::min(seen_at_, target->seen_since));
  }
  return message;
}

mesh_message packet_entry::DeliveryTo(const flow_address& flow,
                                      machine_address machine,
                                      std::string_view packet) const {
  mesh_message message = MessageFor(mesh_kind::deliver, machine);
  message.flow = flow;
  message.must_take = true;
  if (const fleet_route* route = index_->FindRoute(flow.service)) {
    message.policy = route->policy;
  }
  message.payload = packet;
  return message;
}

void packet_entry::Deliver(const flow_address& flow,
                           machine_address machine,
                           bool searching,
                           std::string_view packet) {
  mesh_message message = DeliveryTo(flow, machine, packet);
  message.searching = searching;
  effects_.SendToAgent(machine, message);
}

void packet_entry::DeliverOpening(const flow_address& flow,
                                  machine_address machine,
                                  milliseconds waited,
                                  bool must_take,
                                  std::string_view packet) {
  mesh_message message = DeliveryTo(flow, machine, packet);
  message.waited = waited;
  message.must_take = must_take;
  effects_.SendToAgent(machine, message);
}

void packet_entry::Reset(time_point now,
                         result_code code,
                         const flow_address& flow,
                         std::uint32_t sequence) {
  Decide(now, code, flow, 0);
  effects_.SendToClient(flow.client, format_.EncodeReset(flow, sequence));
  flows_.erase(flow);
}

void packet_entry::Tick(time_point now) {
  NoticeTime(now);
  TickOpenings(now);
  while (!searches_.empty() && searches_.begin()->first <= now) {
    const auto [at, flow] = *searches_.begin();
    searches_.erase(searches_.begin());
    TickSearch(now, at, flow);
  }
  ExpireFlows(now);
  Flush();
}

std::optional<time_point> packet_entry::NextTick() const {
  std::optional<time_point> next;
  if (!openings_.empty()) {
    next = openings_.front().at;
  }
  if (!searches_.empty() && (!next || searches_.begin()->first < *next)) {
    next = searches_.begin()->first;
  }
  return next;
}

packet_entry::flow_record& packet_entry::Insert(time_point now,
                                                const flow_address& flow) {
  const auto [found, added] = flows_.try_emplace(flow);
  if (added) {
    expiries_.push_back({now + kDefaultIdle, flow});
    if (flows_.size() > limits_.max_flows && expiries_.front().flow != flow) {
      counters_.Add(result_code::flow_evicted);
      flows_.erase(expiries_.front().flow);
      expiries_.pop_front();
    }
  }
  found->second.heard_at = now;
  return found->second;
}

void packet_entry::ExpireFlows(time_point now) {
  const fleet_view& view = index_->View();
  const milliseconds idle =
      view.configuration != nullptr && view.configuration->idle_timeout > 0ms
          ? view.configuration->idle_timeout
          : kDefaultIdle;
  while (!expiries_.empty() && expiries_.front().at <= now) {
    const due_flow due = expiries_.front();
    expiries_.pop_front();
    const auto found = flows_.find(due.flow);
    if (found == flows_.end()) {
      continue;
    }
    if (now - found->second.heard_at >= idle) {
      flows_.erase(found);
    } else {
      expiries_.push_back({now + kDefaultIdle, due.flow});
    }
  }
}

void packet_entry::Erase(std::vector<acceptance>& from,
                         machine_address machine) {
  std::erase_if(
      from, [&](const acceptance& item) { return item.machine == machine; });
}

}  // namespace corianderplank
