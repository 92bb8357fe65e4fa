#include "core/request_agent.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// A flow is removed when no packet of its caller arrives for this long.
constexpr auto kFlowLease = 30s;
/// A reserved flow is removed when no request arrives for this long.
constexpr auto kReservationLease = 5s;
constexpr auto kFlowSweepPeriod = 100ms;
/// Interval between two move packets for one flow.
constexpr auto kMoveRepeatPeriod = 500ms;
/// Maximum number of move packets in one sweep, so that a drain does not cause
/// a burst.
constexpr int kMaxMovesPerSweep = 100;
/// A gap of at least this length between two events means that the process was
/// suspended.
constexpr auto kSuspendThreshold = 1s;
/// Smallest change of load that is reported. With a smaller value flows move
/// back and forth between the agents.
constexpr std::uint32_t kReportThresholdPermille = 400;
/// Control traffic that an agent may use for its load reports.
constexpr double kMaxReportBytesPerSecond = 6000;
/// Size of one load report with its UDP and IP headers.
constexpr double kReportBytes = 130;

}  // namespace

request_agent::request_agent(const request_agent_identity& identity,
                             request_agent_effects& effects,
                             counters& counters)
    : state_(identity, effects, counters),
      request_processor_(state_),
      open_processor_(state_, request_processor_) {}

void request_agent::SetReporting(std::uint32_t threshold_permille,
                                 double reports_per_second) {
  report_threshold_override_ = threshold_permille;
  load_reporter_.SetBudget(reports_per_second);
}

void request_agent::Configure(time_point now,
                              const environment_document& document,
                              const instance_list& instances) {
  state_.revision = document.revision;
  state_.entries.clear();
  for (const instance& item : instances.instances) {
    if (item.role == instance_role::entry && !item.leaving) {
      state_.entries.push_back(item.data);
    }
  }
  const service* own_service = FindService(document, state_.identity.service);
  const target* own_target =
      own_service == nullptr ? nullptr
                             : FindTarget(*own_service, state_.identity.target);
  const bool leaving =
      std::any_of(instances.instances.begin(), instances.instances.end(),
                  [&](const instance& item) {
                    return item.role == instance_role::agent && item.leaving &&
                           TargetIdOf(item.name) == state_.identity.target;
                  });
  if (own_service != nullptr) {
    if (own_target != nullptr) {
      state_.settings = *own_target;
    }
    state_.siblings.Configure(*own_service, state_.identity.target, instances);
    request_processor_.Configure(now, *own_service);
    state_.daemon_lifecycle.OnReady();
    const std::size_t siblings = state_.siblings.All().size();
    if (!report_threshold_override_ && siblings > 0) {
      load_reporter_.SetBudget(kMaxReportBytesPerSecond /
                               (kReportBytes * static_cast<double>(siblings)));
    }
  }
  SetDrain(drain_reason::document, own_target == nullptr);
  SetDrain(drain_reason::instance_list, leaving);
}

void request_agent::SetDrain(drain_reason reason, bool active) {
  const auto bit = static_cast<std::uint8_t>(reason);
  const std::uint8_t before = drain_reasons_;
  drain_reasons_ =
      static_cast<std::uint8_t>(active ? before | bit : before & ~bit);
  if (drain_reasons_ != 0) {
    state_.daemon_lifecycle.OnDrain();
  } else if (before != 0) {
    state_.daemon_lifecycle.OnUndrain();
  }
}

void request_agent::OnPacket(time_point now,
                             time_point arrived_at,
                             const envelope& header,
                             const packet& value) {
  AdvanceLeaseClock(now);
  if (header.revision > state_.revision && header.control_port != 0) {
    state_.effects.FetchDocumentFrom(
        {header.entry.address, header.control_port});
  }
  if (value.flow == flow_id{}) {
    state_.counted.Add(result_code::malformed);
    return;
  }
  if (header.service != state_.identity.service ||
      value.service != state_.identity.service) {
    state_.counted.Add(result_code::wrong_service);
    return;
  }
  if (value.kind == packet_kind::open) {
    if (now - arrived_at >= kStaleAfter) {
      state_.counted.Add(result_code::stale_datagram);
      return;
    }
    open_processor_.OnOpen(now, header, value);
    return;
  }
  OnFlowPacket(now, arrived_at, header, value);
}

void request_agent::OnFlowPacket(time_point now,
                                 time_point arrived_at,
                                 const envelope& header,
                                 const packet& value) {
  if (!value.token) {
    state_.counted.Add(result_code::bad_token);
    return;
  }
  const result_code checked = state_.tokens.Check(value.flow, *value.token);
  if (checked != result_code::answered) {
    state_.counted.Add(checked);
    if (checked == result_code::stale_incarnation) {
      RefuseUnknownFlow(header, value);
    }
    return;
  }
  flow_record* flow = state_.flows.Find(value.flow);
  if (flow == nullptr || flow->serial != value.token->serial) {
    state_.counted.Add(result_code::unknown_flow);
    RefuseUnknownFlow(header, value);
    return;
  }
  flow->caller = header.caller;
  flow->entry = header.entry;
  flow->heard_at = state_.lease_now;
  switch (value.kind) {
    case packet_kind::request:
      request_processor_.OnRequest(now, arrived_at, *flow, value);
      break;
    case packet_kind::acknowledge:
      request_processor_.OnAcknowledge(now, *flow, value);
      break;
    case packet_kind::cancel:
      request_processor_.OnCancel(now, *flow, value);
      break;
    case packet_kind::ping:
      SendWithoutPayload(*flow, packet_kind::pong);
      break;
    case packet_kind::close:
      if (value.code == result_code::answered) {
        request_processor_.Abandon(*flow);
      } else {
        request_processor_.Expire(*flow);
      }
      state_.flows.Remove(value.flow);
      break;
    default:
      state_.counted.Add(result_code::unexpected_kind);
      break;
  }
  request_processor_.UpdateLoad(now);
}

void request_agent::RefuseUnknownFlow(const envelope& header,
                                      const packet& value) {
  if (value.kind == packet_kind::close ||
      value.kind == packet_kind::acknowledge) {
    return;
  }
  // The refusal carries no token and is therefore always smaller than the
  // packet that caused it.
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.service = state_.identity.service;
  refusal.flow = value.flow;
  refusal.sequence = value.sequence;
  refusal.position = value.token->serial;
  refusal.code = result_code::flow_gone;
  envelope reply = state_.Header();
  reply.caller = header.caller;
  state_.effects.SendToCaller(header.entry, reply, refusal);
}

void request_agent::SendWithoutPayload(const flow_record& flow,
                                       packet_kind kind) {
  packet value;
  value.kind = kind;
  state_.Send(flow, value, 0);
}

void request_agent::OnLoadReport(time_point now,
                                 time_point arrived_at,
                                 const endpoint& from,
                                 const envelope& value) {
  if (now - arrived_at >= kStaleAfter) {
    state_.counted.Add(result_code::stale_datagram);
    return;
  }
  if (value.service != state_.identity.service) {
    state_.counted.Add(result_code::wrong_service);
    return;
  }
  if (!state_.siblings.OnLoad(now, from, value.target, value.load_permille,
                              value.serving)) {
    state_.counted.Add(result_code::unknown_peer);
    return;
  }
  if (value.revision > state_.revision && value.control_port != 0) {
    state_.effects.FetchDocumentFrom({from.address, value.control_port});
  }
}

void request_agent::OnExecutionResult(time_point now,
                                      std::uint64_t id,
                                      execution_result result) {
  request_processor_.OnExecutionResult(now, id, std::move(result));
  request_processor_.UpdateLoad(now);
  ReportLoad(now);
}

fence_reply request_agent::OnFenceRequest(const fence_request& request) {
  return open_processor_.OnFenceRequest(request);
}

void request_agent::OnFenceReply(time_point now,
                                 std::uint64_t resume_id,
                                 const fence_reply& reply) {
  open_processor_.OnFenceReply(now, resume_id, reply);
}

void request_agent::AdvanceLeaseClock(time_point now) {
  const auto elapsed = now - lease_clock_updated_at_;
  const bool first = lease_clock_updated_at_ == time_point();
  lease_clock_updated_at_ = now;
  if (first) {
    state_.lease_now = now;
  } else if (elapsed < kSuspendThreshold) {
    state_.lease_now += elapsed;
  }
}

void request_agent::Tick(time_point now) {
  AdvanceLeaseClock(now);
  UpdateBackendDrain(now);
  open_processor_.Tick(now);
  request_processor_.Tick(now);
  if (now - last_sweep_ >= kFlowSweepPeriod) {
    last_sweep_ = now;
    SweepFlows(now);
  }
  request_processor_.UpdateLoad(now);
  ReportLoad(now);
  const bool idle =
      state_.flows.Size() == 0 && request_processor_.QueuedOrRunning() == 0;
  const bool stopping =
      (drain_reasons_ & static_cast<std::uint8_t>(drain_reason::signal)) != 0;
  if (stopping && idle) {
    state_.daemon_lifecycle.OnEmpty();
  }
}

void request_agent::UpdateBackendDrain(time_point now) {
  const auto& siblings = state_.siblings.All();
  const bool has_serving_sibling = std::any_of(
      siblings.begin(), siblings.end(),
      [](const sibling& item) { return item.serving && !item.leaving; });
  constexpr auto kFailing = static_cast<std::uint8_t>(drain_reason::failing);
  const bool was_failing = (drain_reasons_ & kFailing) != 0;
  // The last serving target of a service stays in use even if its calls fail.
  const bool failing =
      has_serving_sibling && request_processor_.IsBackendSuspended(now);
  SetDrain(drain_reason::failing, failing);
  if (was_failing && !failing) {
    request_processor_.OnBackendRecovered(now);
  }
}

void request_agent::SweepFlows(time_point now) {
  const bool draining =
      state_.daemon_lifecycle.State() == lifecycle_state::draining;
  int moves_sent = 0;
  auto& flows = state_.flows.All();
  for (auto item = flows.begin(); item != flows.end();) {
    flow_record& flow = item->second;
    if (ShouldRemove(flow)) {
      request_processor_.Expire(flow);
      item = flows.erase(item);
      continue;
    }
    const bool due = now - flow.move_sent_at >= kMoveRepeatPeriod;
    if (draining && due && flow.state != flow_state::fenced &&
        moves_sent < kMaxMovesPerSweep) {
      ++moves_sent;
      RequestMove(now, flow);
    }
    ++item;
  }
}

bool request_agent::ShouldRemove(flow_record& flow) {
  const bool unfinished = request_processor_.HasUnfinished(flow);
  if (flow.state == flow_state::fenced && !unfinished) {
    return true;
  }
  const auto lease =
      flow.state == flow_state::reserved ? kReservationLease : kFlowLease;
  if (state_.lease_now - flow.heard_at < lease) {
    return false;
  }
  if (unfinished) {
    state_.counted.Add(result_code::flow_expired);
    state_.effects.RecordEvent({flow.id, 0, result_code::flow_expired});
  }
  return true;
}

void request_agent::RequestMove(time_point now, flow_record& flow) {
  flow.move_sent_at = now;
  SendWithoutPayload(flow, packet_kind::move);
}

std::uint32_t request_agent::ReportThreshold() const {
  const std::uint32_t one_slot = 1000 / std::max(1U, state_.settings.slots);
  return report_threshold_override_.value_or(
      std::max(one_slot, kReportThresholdPermille));
}

void request_agent::ReportLoad(time_point now) {
  if (!load_reporter_.ShouldReport(now, state_.load_permille, ReportThreshold(),
                                   state_.daemon_lifecycle.IsServing())) {
    return;
  }
  envelope report = state_.Header();
  report.kind = envelope_kind::load_report;
  for (const sibling& item : state_.siblings.All()) {
    if (!item.leaving) {
      state_.effects.SendEnvelope(item.agent, report);
    }
  }
}

request_agent_summary request_agent::Summary() const {
  request_agent_summary summary;
  summary.state = state_.daemon_lifecycle.State();
  summary.flows = state_.flows.Size();
  summary.requests = state_.requests.Size();
  summary.running = request_processor_.Running();
  summary.feeds = request_processor_.Feeds();
  summary.load_permille = state_.load_permille;
  summary.drain_reasons = drain_reasons_;
  return summary;
}

}  // namespace corianderplank
