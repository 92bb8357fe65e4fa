#include "agent/agent_daemon.h"

#include <random>

#include <nlohmann/json.hpp>

#include "net/run_on.h"
#include "product/log.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTickPeriod{5};
constexpr std::chrono::milliseconds kHealthPeriod{500};
constexpr std::chrono::milliseconds kFenceTimeout{400};
constexpr std::chrono::milliseconds kStatusTimeout{300};

time_point Now() {
  return std::chrono::steady_clock::now();
}

request_agent_identity IdentityOf(const process_settings& settings) {
  request_agent_identity identity;
  identity.target = TargetIdOf(settings.name);
  identity.service = ServiceIdOf(settings.service);
  identity.control_port = settings.control.port;
  std::random_device random;
  identity.incarnation = {(std::uint64_t{random()} << 32) | random()};
  for (std::uint8_t& byte : identity.secret) {
    byte = static_cast<std::uint8_t>(random());
  }
  return identity;
}

/// An event that somebody may be missing an answer for.
bool IsLogged(result_code code) {
  const outcome_kind outcome = OutcomeOf(code);
  return outcome == outcome_kind::broken ||
         outcome == outcome_kind::outcome_unknown;
}

}  // namespace

agent_daemon::agent_daemon(daemon_host& shared)
    : shared_(shared),
      agent_(IdentityOf(shared.Settings()), *this, shared.Counters()),
      backend_(
          traffic_loop_,
          shared.Settings().backend,
          shared.Settings().service,
          [this](std::uint64_t id, execution_result result) {
            agent_.OnExecutionResult(Now(), id, std::move(result));
            socket_->Flush();
          },
          [this](bool leaving) {
            agent_.SetDrain(drain_reason::backend, leaving);
          }),
      socket_(std::make_unique<udp_socket>(traffic_loop_,
                                           shared.Settings().data,
                                           shared.Counters(),
                                           shared.Impaired())) {
  socket_->Receive(
      [this](const received_datagram& datagram) { OnDatagram(datagram); },
      [this] { socket_->Flush(); });
  traffic_loop_.Every(kTickPeriod, [this] { OnTick(); });
  traffic_loop_.Every(kHealthPeriod, [this] { backend_.AskHealth(); });
  traffic_thread_ = std::thread([this] { traffic_loop_.Run(); });
}

agent_daemon::~agent_daemon() {
  traffic_loop_.Stop();
  traffic_thread_.join();
}

void agent_daemon::OnConfig(
    std::shared_ptr<const environment_document> document,
    std::shared_ptr<const instance_list> instances) {
  traffic_loop_.Post([this, document, instances] {
    agent_.Configure(Now(), *document, *instances);
    const service* of =
        FindService(*document, ServiceIdOf(shared_.Settings().service));
    const target* self =
        of == nullptr ? nullptr
                      : FindTarget(*of, TargetIdOf(shared_.Settings().name));
    slots_ = self == nullptr ? slots_ : self->slots;
  });
}

void agent_daemon::OnDatagram(const received_datagram& datagram) {
  envelope header;
  result_code code = DecodeEnvelope(datagram.bytes, header);
  if (code != result_code::answered) {
    shared_.Counters().Add(code);
    return;
  }
  const time_point now = Now();
  if (header.kind == envelope_kind::load_report) {
    agent_.OnLoadReport(now, datagram.arrived_at, datagram.from, header);
    return;
  }
  if (header.kind != envelope_kind::to_agent) {
    shared_.Counters().Add(result_code::unexpected_kind);
    return;
  }
  packet value;
  code = DecodePacket(header.inner, value);
  if (code != result_code::answered) {
    shared_.Counters().Add(code);
    return;
  }
  agent_.OnPacket(now, datagram.arrived_at, header, value);
}

void agent_daemon::OnTick() {
  const time_point now = Now();
  MeasureLoad(now);
  agent_.Tick(now);
  socket_->Flush();
  LogStateChange(agent_.Summary().state);
  CheckStopped();
}

void agent_daemon::MeasureLoad(time_point now) {
  const request_agent_summary summary = agent_.Summary();
  if (measured_at_ != time_point()) {
    const std::chrono::duration<double> elapsed = now - measured_at_;
    busy_slot_seconds_ += summary.running * elapsed.count();
  }
  measured_at_ = now;
  const std::int64_t second = WallTimeMs() / 1000;
  if (second == interval_second_) {
    return;
  }
  if (interval_second_ != 0) {
    load_interval interval;
    interval.second = interval_second_;
    interval.busy_slots = busy_slot_seconds_;
    interval.slots = slots_;
    interval.feeds = summary.feeds;
    interval.flows = static_cast<std::uint32_t>(summary.flows);
    shared_.Events().AddInterval(interval);
  }
  interval_second_ = second;
  busy_slot_seconds_ = 0;
}

void agent_daemon::LogStateChange(lifecycle_state state) {
  if (state == logged_state_) {
    return;
  }
  logged_state_ = state;
  const request_agent_summary summary = agent_.Summary();
  LogEvent(log_level::info, "state",
           {{"state", std::string(LifecycleStateName(state))},
            {"reasons", std::to_string(summary.drain_reasons)},
            {"flows", std::to_string(summary.flows)}});
}

void agent_daemon::CheckStopped() {
  if (!stopping_) {
    return;
  }
  const request_agent_summary summary = agent_.Summary();
  const bool late = Now() >= stop_limit_at_;
  if (summary.state != lifecycle_state::stopped && !late) {
    return;
  }
  LogEvent(summary.flows == 0 ? log_level::info : log_level::warning, "drained",
           {{"flows_left", std::to_string(summary.flows)},
            {"requests_left", std::to_string(summary.requests)}});
  stopping_ = false;
  shared_.Exit();
}

void agent_daemon::OnStop() {
  traffic_loop_.Post([this] {
    stopping_ = true;
    stop_limit_at_ = Now() + shared_.Settings().drain_limit;
    agent_.SetDrain(drain_reason::signal, true);
  });
}

void agent_daemon::SendToCaller(const endpoint& entry,
                                const envelope& header,
                                const packet& value) {
  envelope complete = header;
  complete.inner = packet_encoder_.Encode(value);
  SendEnvelope(entry, complete);
}

void agent_daemon::SendEnvelope(const endpoint& to, const envelope& value) {
  socket_->Send(to, envelope_encoder_.Encode(value));
}

void agent_daemon::StartExecution(const execution& call) {
  backend_.Start(call);
}

void agent_daemon::CancelExecution(std::uint64_t id) {
  backend_.Cancel(id);
}

void agent_daemon::RequestFence(std::uint64_t resume_id,
                                const endpoint& control,
                                const fence_request& request) {
  control_message message;
  message.kind = control_kind::fence;
  message.fence = request;
  std::string bytes = EncodeControl(message);
  shared_.ControlLoop().Post([this, resume_id, control, bytes] {
    shared_.Peers().Request(
        control, bytes, kFenceTimeout, [this, resume_id](auto reply) {
          fence_reply fenced;
          const auto decoded =
              reply ? DecodeControl(*reply) : std::optional<control_message>();
          if (decoded && decoded->kind == control_kind::fenced) {
            fenced = decoded->fenced;
          }
          traffic_loop_.Post([this, resume_id, fenced] {
            agent_.OnFenceReply(Now(), resume_id, fenced);
            socket_->Flush();
          });
        });
  });
}

void agent_daemon::FetchDocumentFrom(const endpoint& peer) {
  shared_.FetchDocumentFrom(peer);
}

void agent_daemon::RecordEvent(const flow_event& event) {
  shared_.Events().Add({WallTimeMs(), event_source::agent,
                        ServiceIdOf(shared_.Settings().service), event, 0});
  if (IsLogged(event.code)) {
    LogEvent(log_level::warning, "outcome",
             {{"reason", std::string(ResultCodeName(event.code))},
              {"outcome", std::string(OutcomeName(OutcomeOf(event.code)))},
              {"flow", std::to_string(event.flow.value)},
              {"request_id", std::to_string(event.request_id)}});
  }
}

void agent_daemon::OnControl(const control_message& request,
                             std::function<void(control_message)> reply) {
  traffic_loop_.Post([this, request, reply = std::move(reply)] {
    control_message answer;
    answer.kind = control_kind::fenced;
    if (request.kind == control_kind::fence) {
      answer.fenced = agent_.OnFenceRequest(request.fence);
      socket_->Flush();
    }
    reply(answer);
  });
}

std::string agent_daemon::StatusJson() {
  const auto status = RunOn<std::string>(traffic_loop_, kStatusTimeout, [this] {
    const request_agent_summary summary = agent_.Summary();
    nlohmann::ordered_json page;
    page["state"] = LifecycleStateName(summary.state);
    page["drain_reasons"] = summary.drain_reasons;
    page["flows"] = summary.flows;
    page["requests"] = summary.requests;
    page["running"] = summary.running;
    page["feeds"] = summary.feeds;
    page["load_permille"] = summary.load_permille;
    return page.dump();
  });
  return status.value_or("{\"error\":\"traffic thread is busy\"}");
}

std::string agent_daemon::ExplainJson(const std::string& /*flow*/,
                                      const std::string& /*service*/) {
  return StatusJson();
}

}  // namespace corianderplank
