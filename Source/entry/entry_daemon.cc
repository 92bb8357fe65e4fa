#include "entry/entry_daemon.h"

#include <system_error>

#include <nlohmann/json.hpp>

#include "net/run_on.h"
#include "product/log.h"

namespace corianderplank {
namespace {

constexpr std::chrono::milliseconds kStatusTimeout{300};

time_point Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

entry_daemon::entry_daemon(daemon_host& shared)
    : shared_(shared),
      picker_(shared.Counters()),
      entry_(shared.Settings().data,
             shared.Settings().control.port,
             *this,
             locator_,
             picker_,
             shared.Counters()),
      agent_socket_(std::make_unique<udp_socket>(traffic_loop_,
                                                 shared.Settings().data,
                                                 shared.Counters(),
                                                 shared.Impaired())) {
  agent_socket_->Receive(
      [this](const received_datagram& datagram) { OnAgentDatagram(datagram); },
      [this] { FlushAll(); });
  traffic_thread_ = std::thread([this] { traffic_loop_.Run(); });
}

entry_daemon::~entry_daemon() {
  traffic_loop_.Stop();
  traffic_thread_.join();
}

void entry_daemon::OnConfig(
    std::shared_ptr<const environment_document> document,
    std::shared_ptr<const instance_list> instances) {
  built_table_ = std::make_shared<const routing_table>(*document, *instances,
                                                       built_table_.get());
  std::map<service_id, std::string> names;
  for (const service& item : document->services) {
    names[item.id] = item.name;
  }
  traffic_loop_.Post([this, table = built_table_, names = std::move(names)] {
    service_names_ = names;
    UseTable(table);
  });
}

void entry_daemon::UseTable(const std::shared_ptr<const routing_table>& table) {
  table_ = table;
  entry_.UseTable(table);
  picker_.Retain(*table);
  for (const service_routes& routes : table->Services()) {
    ListenFor(routes);
  }
}

void entry_daemon::ListenFor(const service_routes& routes) {
  if (service_sockets_.contains(routes.Id())) {
    return;
  }
  const endpoint local{shared_.Settings().data.address, routes.Port()};
  try {
    auto socket = std::make_unique<udp_socket>(
        traffic_loop_, local, shared_.Counters(), shared_.Impaired());
    socket->Receive(
        [this, id = routes.Id()](const received_datagram& datagram) {
          OnCallerDatagram(id, datagram);
        },
        [this] { FlushAll(); });
    service_sockets_[routes.Id()] = std::move(socket);
  } catch (const std::system_error& error) {
    LogEvent(log_level::error, "service_address_failed",
             {{"address", FormatEndpoint(local)}, {"error", error.what()}});
  }
}

void entry_daemon::OnCallerDatagram(service_id service,
                                    const received_datagram& datagram) {
  packet value;
  const result_code code = DecodePacket(datagram.bytes, value);
  if (code != result_code::answered) {
    shared_.Counters().Add(code);
    return;
  }
  entry_.OnCallerPacket(Now(), datagram.arrived_at, service, datagram.from,
                        value, datagram.bytes);
}

void entry_daemon::OnAgentDatagram(const received_datagram& datagram) {
  envelope value;
  const result_code code = DecodeEnvelope(datagram.bytes, value);
  if (code != result_code::answered) {
    shared_.Counters().Add(code);
    return;
  }
  if (value.kind == envelope_kind::to_agent) {
    shared_.Counters().Add(result_code::unexpected_kind);
    return;
  }
  entry_.OnAgentEnvelope(Now(), datagram.arrived_at, datagram.from, value);
}

void entry_daemon::Queue(udp_socket& socket,
                         const endpoint& to,
                         std::string_view bytes) {
  socket.Send(to, bytes);
  if (unflushed_.empty() || unflushed_.back() != &socket) {
    unflushed_.push_back(&socket);
  }
}

void entry_daemon::FlushAll() {
  for (udp_socket* socket : unflushed_) {
    socket->Flush();
  }
  unflushed_.clear();
}

void entry_daemon::SendToAgent(const endpoint& agent, const envelope& value) {
  ++forwarded_;
  Queue(*agent_socket_, agent, encoder_.Encode(value));
}

void entry_daemon::SendToCaller(service_id service,
                                const endpoint& caller,
                                std::string_view datagram) {
  const auto found = service_sockets_.find(service);
  if (found != service_sockets_.end()) {
    ++returned_;
    Queue(*found->second, caller, datagram);
  }
}

void entry_daemon::ReplyToCaller(service_id service,
                                 const endpoint& caller,
                                 const packet& value,
                                 std::size_t request_bytes) {
  const std::string_view datagram = encoder_.Encode(value);
  if (datagram.size() > request_bytes) {
    shared_.Counters().Add(result_code::reply_too_large);
    return;
  }
  SendToCaller(service, caller, datagram);
}

void entry_daemon::RecordVerdict(service_id service, const flow_event& event) {
  shared_.Verdicts().Add(event.code);
  shared_.Events().Add({WallTimeMs(), event_source::caller, service, event, 0});
  if (OutcomeOf(event.code) != outcome_kind::not_run) {
    LogEvent(log_level::warning, "verdict",
             {{"reason", std::string(ResultCodeName(event.code))},
              {"outcome", std::string(OutcomeName(OutcomeOf(event.code)))},
              {"service", service_names_[service]},
              {"flow", std::to_string(event.flow.value)},
              {"request_id", std::to_string(event.request_id)}});
  }
}

void entry_daemon::FetchDocumentFrom(const endpoint& peer) {
  shared_.FetchDocumentFrom(peer);
}

void entry_daemon::OnControl(const control_message& /*request*/,
                             std::function<void(control_message)> reply) {
  // Entries own no flows: there is nothing to fence.
  control_message answer;
  answer.kind = control_kind::fenced;
  reply(answer);
}

void entry_daemon::OnStop() {
  // Keeps nothing: goes on forwarding until the fabric has noticed.
  shared_.ControlLoop().After(shared_.Settings().drain_limit,
                              [this] { shared_.Exit(); });
}

std::string entry_daemon::StatusJson() {
  const auto status = RunOn<std::string>(traffic_loop_, kStatusTimeout, [this] {
    nlohmann::ordered_json page;
    page["forwarded"] = forwarded_;
    page["returned"] = returned_;
    page["services"] = service_sockets_.size();
    page["ejected"] = nlohmann::json::array();
    if (table_ != nullptr) {
      for (const service_routes& routes : table_->Services()) {
        for (const route_target& item : routes.Targets()) {
          if (picker_.IsEjected(Now(), item.id)) {
            page["ejected"].push_back(FormatEndpoint(item.agent));
          }
        }
      }
    }
    return page.dump();
  });
  return status.value_or("{\"error\":\"traffic thread is busy\"}");
}

std::string entry_daemon::ExplainJson(const std::string& flow,
                                      const std::string& service) {
  const auto page = RunOn<std::string>(
      traffic_loop_, kStatusTimeout,
      [this, flow, service] { return ExplainOnTraffic(flow, service); });
  return page.value_or("{\"error\":\"traffic thread is busy\"}");
}

std::string entry_daemon::ExplainOnTraffic(const std::string& flow,
                                           const std::string& service) {
  nlohmann::ordered_json page;
  page["process"] = shared_.Settings().name;
  const service_routes* routes =
      table_ == nullptr ? nullptr : table_->Find(ServiceIdOf(service));
  if (routes == nullptr) {
    page["refused"] = ResultCodeName(result_code::unknown_service);
    return page.dump();
  }
  page["revision"] = table_->Revision().value;
  const std::uint64_t number = std::strtoull(flow.c_str(), nullptr, 10);
  constexpr std::uint64_t kFirstAttempt = 1;
  page["targets"] = picker_.ExplainTargets(Now(), *routes);
  const route_target* chosen =
      picker_.Choose(Now(), *routes, MixHash(number, kFirstAttempt), {});
  page["chosen"] = chosen == nullptr
                       ? std::string(ResultCodeName(result_code::no_target))
                       : FormatEndpoint(chosen->agent);
  return page.dump();
}

}  // namespace corianderplank
