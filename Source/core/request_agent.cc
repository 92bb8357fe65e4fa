#include "core/request_agent.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Silence of a caller after which its flow is removed.
constexpr auto kFlowLease = 30s;
/// Time that a reservation waits for its first request.
constexpr auto kReservationLease = 5s;
constexpr auto kFlowSweepPeriod = 100ms;
/// Time between two requests to a caller to move.
constexpr auto kMovePeriod = 500ms;
/// Callers asked to move in one sweep, so that a drain is no burst.
constexpr int kMovesPerSweep = 100;
/// A longer gap between two events is a pause of this process.
constexpr auto kSuspendThreshold = 1s;
/// Change of load that siblings are told of; less moves flows to and fro.
constexpr std::uint32_t kReportThresholdPermille = 400;
/// Control traffic that an agent may spend on telling its load.
constexpr double kReportBytesPerSecond = 6000;
/// Size of one report with its UDP and IP headers.
constexpr double kReportBytes = 130;

}  // namespace

request_agent::request_agent(const request_agent_identity& identity,
                             request_agent_effects& effects,
                             counters& counters)
    : state_(identity, effects, counters),
      requests_(state_),
      opens_(state_, requests_) {}

void request_agent::SetReporting(std::uint32_t threshold_permille,
                                 double reports_per_second) {
  fixed_threshold_permille_ = threshold_permille;
  reporter_.SetBudget(reports_per_second);
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
  const service* of = FindService(document, state_.identity.service);
  const target* self =
      of == nullptr ? nullptr : FindTarget(*of, state_.identity.target);
  const bool leaving =
      std::any_of(instances.instances.begin(), instances.instances.end(),
                  [&](const instance& item) {
                    return item.role == instance_role::agent && item.leaving &&
                           TargetIdOf(item.name) == state_.identity.target;
                  });
  if (of != nullptr) {
    if (self != nullptr) {
      state_.settings = *self;
    }
    state_.siblings.Configure(*of, state_.identity.target, instances);
    requests_.Configure(now, *of);
    state_.daemon_lifecycle.OnReady();
    const std::size_t siblings = state_.siblings.All().size();
    if (!fixed_threshold_permille_ && siblings > 0) {
      reporter_.SetBudget(kReportBytesPerSecond /
                          (kReportBytes * static_cast<double>(siblings)));
    }
  }
  SetDrain(drain_reason::document, self == nullptr);
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
    opens_.OnOpen(now, header, value);
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
      requests_.OnRequest(now, arrived_at, *flow, value);
      break;
    case packet_kind::acknowledge:
      requests_.OnAcknowledge(now, *flow, value);
      break;
    case packet_kind::cancel:
      requests_.OnCancel(now, *flow, value);
      break;
    case packet_kind::ping:
      Answer(*flow, packet_kind::pong);
      break;
    case packet_kind::close:
      if (value.code == result_code::answered) {
        requests_.Abandon(*flow);
      } else {
        requests_.Expire(*flow);
      }
      state_.flows.Remove(value.flow);
      break;
    default:
      state_.counted.Add(result_code::unexpected_kind);
      break;
  }
  requests_.UpdateLoad(now);
}

void request_agent::RefuseUnknownFlow(const envelope& header,
                                      const packet& value) {
  if (value.kind == packet_kind::close ||
      value.kind == packet_kind::acknowledge) {
    return;
  }
  // Carries no token, so it is smaller than any packet that does.
  packet gone;
  gone.kind = packet_kind::refused;
  gone.service = state_.identity.service;
  gone.flow = value.flow;
  gone.sequence = value.sequence;
  gone.position = value.token->serial;
  gone.code = result_code::flow_gone;
  envelope reply = state_.Header();
  reply.caller = header.caller;
  state_.effects.SendToCaller(header.entry, reply, gone);
}

void request_agent::Answer(const flow_record& flow, packet_kind kind) {
  packet reply;
  reply.kind = kind;
  state_.Send(flow, reply, 0);
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
  requests_.OnExecutionResult(now, id, std::move(result));
  requests_.UpdateLoad(now);
  ReportLoad(now);
}

fence_reply request_agent::OnFenceRequest(const fence_request& request) {
  return opens_.OnFenceRequest(request);
}

void request_agent::OnFenceReply(time_point now,
                                 std::uint64_t resume_id,
                                 const fence_reply& reply) {
  opens_.OnFenceReply(now, resume_id, reply);
}

void request_agent::AdvanceLeaseClock(time_point now) {
  const auto elapsed = now - clock_at_;
  const bool first = clock_at_ == time_point();
  clock_at_ = now;
  if (first) {
    state_.lease_now = now;
  } else if (elapsed < kSuspendThreshold) {
    state_.lease_now += elapsed;
  }
}

void request_agent::Tick(time_point now) {
  AdvanceLeaseClock(now);
  UpdateBackendDrain(now);
  opens_.Tick(now);
  requests_.Tick(now);
  if (now - swept_at_ >= kFlowSweepPeriod) {
    swept_at_ = now;
    SweepFlows(now);
  }
  requests_.UpdateLoad(now);
  ReportLoad(now);
  const bool idle =
      state_.flows.Size() == 0 && requests_.QueuedOrRunning() == 0;
  const bool stopping =
      (drain_reasons_ & static_cast<std::uint8_t>(drain_reason::signal)) != 0;
  if (stopping && idle) {
    state_.daemon_lifecycle.OnEmpty();
  }
}

void request_agent::UpdateBackendDrain(time_point now) {
  const auto& siblings = state_.siblings.All();
  const bool has_other = std::any_of(
      siblings.begin(), siblings.end(),
      [](const sibling& item) { return item.serving && !item.leaving; });
  constexpr auto kFailing = static_cast<std::uint8_t>(drain_reason::failing);
  const bool was_failing = (drain_reasons_ & kFailing) != 0;
  // The last target of a service is never taken out.
  const bool failing = has_other && requests_.IsBackendSuspended(now);
  SetDrain(drain_reason::failing, failing);
  if (was_failing && !failing) {
    requests_.OnBackendRecovered(now);
  }
}

void request_agent::SweepFlows(time_point now) {
  const bool draining =
      state_.daemon_lifecycle.State() == lifecycle_state::draining;
  int moves = 0;
  auto& flows = state_.flows.All();
  for (auto item = flows.begin(); item != flows.end();) {
    flow_record& flow = item->second;
    if (ShouldRemove(flow)) {
      requests_.Expire(flow);
      item = flows.erase(item);
      continue;
    }
    const bool due = now - flow.move_sent_at >= kMovePeriod;
    if (draining && due && flow.state != flow_state::fenced &&
        moves < kMovesPerSweep) {
      ++moves;
      RequestMove(now, flow);
    }
    ++item;
  }
}

bool request_agent::ShouldRemove(flow_record& flow) {
  const bool unfinished = requests_.HasUnfinished(flow);
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
  Answer(flow, packet_kind::move);
}

std::uint32_t request_agent::ReportThreshold() const {
  const std::uint32_t one_slot = 1000 / std::max(1U, state_.settings.slots);
  return fixed_threshold_permille_.value_or(
      std::max(one_slot, kReportThresholdPermille));
}

void request_agent::ReportLoad(time_point now) {
  if (!reporter_.ShouldReport(now, state_.load_permille, ReportThreshold(),
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
  summary.running = requests_.Running();
  summary.feeds = requests_.Feeds();
  summary.load_permille = state_.load_permille;
  summary.drain_reasons = drain_reasons_;
  return summary;
}

}  // namespace corianderplank
