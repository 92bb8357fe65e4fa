#include "core/request_entry.h"

namespace corianderplank {
namespace {

/// Retry delay sent to a caller when no target accepts opens.
constexpr std::chrono::milliseconds kNoTargetRetryAfter{500};

}  // namespace

request_entry::request_entry(const endpoint& own_endpoint,
                             std::uint16_t control_port,
                             request_entry_effects& effects,
                             const flow_locator& locator,
                             target_picker& picker,
                             counters& counters)
    : own_endpoint_(own_endpoint),
      control_port_(control_port),
      effects_(effects),
      locator_(locator),
      picker_(picker),
      counters_(counters) {}

void request_entry::UseTable(std::shared_ptr<const routing_table> table) {
  table_ = std::move(table);
}

bool request_entry::IsStale(time_point now, time_point arrived_at) {
  if (now - arrived_at < kStaleAfter) {
    return false;
  }
  counters_.Add(result_code::stale_datagram);
  return true;
}

void request_entry::OnCallerPacket(time_point now,
                                   time_point arrived_at,
                                   service_id service,
                                   const endpoint& caller,
                                   const packet& received,
                                   std::string_view datagram) {
  if (IsStale(now, arrived_at)) {
    return;
  }
  const service_routes* routes =
      table_ == nullptr ? nullptr : table_->Find(service);
  if (routes == nullptr) {
    counters_.Add(result_code::unknown_service);
    return;
  }
  if (received.service != service) {
    counters_.Add(result_code::wrong_service);
    return;
  }
  if (received.kind == packet_kind::open) {
    PlaceOpen(now, *routes, caller, received, datagram);
    return;
  }
  if (received.kind == packet_kind::verdict) {
    RecordVerdictReport(service, caller, received, datagram.size());
    return;
  }
  const located_target located = locator_.Locate(*routes, received);
  if (located.target == nullptr) {
    counters_.Add(located.code);
    return;
  }
  Forward(*located.target, service, caller, datagram);
}

void request_entry::RecordVerdictReport(service_id service,
                                        const endpoint& caller,
                                        const packet& report,
                                        std::size_t request_bytes) {
  const result_code_entry* code_entry = FindResultCode(report.code);
  if (code_entry == nullptr || code_entry->code == result_code::answered) {
    counters_.Add(result_code::malformed);
    return;
  }
  effects_.RecordVerdict(service,
                         {report.flow, report.request_id, report.code});
  packet confirmation;
  confirmation.kind = packet_kind::noted;
  confirmation.service = service;
  confirmation.flow = report.flow;
  confirmation.request_id = report.request_id;
  effects_.ReplyToCaller(service, caller, confirmation, request_bytes);
}

void request_entry::PlaceOpen(time_point now,
                              const service_routes& routes,
                              const endpoint& caller,
                              const packet& open,
                              std::string_view datagram) {
  const std::uint64_t hash = MixHash(open.flow.value, open.attempt);
  const target_id avoided_target =
      open.token ? open.token->target : target_id{};
  const route_target* chosen = picker_.Pick(now, routes, hash, avoided_target);
  if (chosen != nullptr) {
    Forward(*chosen, routes.Id(), caller, datagram);
    return;
  }
  counters_.Add(result_code::no_target);
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.service = routes.Id();
  refusal.flow = open.flow;
  refusal.attempt = open.attempt;
  refusal.code = result_code::no_target;
  refusal.time = kNoTargetRetryAfter;
  effects_.ReplyToCaller(routes.Id(), caller, refusal, datagram.size());
}

void request_entry::Forward(const route_target& target,
                            service_id service,
                            const endpoint& caller,
                            std::string_view datagram) {
  envelope message;
  message.kind = envelope_kind::to_agent;
  message.service = service;
  message.caller = caller;
  message.entry = own_endpoint_;
  message.revision = table_->Revision();
  message.control_port = control_port_;
  message.target = target.id;
  message.inner = datagram;
  effects_.SendToAgent(target.agent, message);
}

void request_entry::OnAgentEnvelope(time_point now,
                                    time_point arrived_at,
                                    const endpoint& from,
                                    const envelope& message) {
  if (IsStale(now, arrived_at)) {
    return;
  }
  const service_routes* routes =
      table_ == nullptr ? nullptr : table_->Find(message.service);
  if (routes == nullptr) {
    counters_.Add(result_code::unknown_service);
    return;
  }
  const route_target* sender = routes->Find(message.target);
  if (sender == nullptr || sender->agent != from) {
    counters_.Add(result_code::unknown_target);
    return;
  }
  picker_.OnLoad(now, message.target, message.load_permille, message.serving);
  for (const target_id forwarded_by : message.visited) {
    picker_.OnPassedOn(forwarded_by);
  }
  if (message.revision > table_->Revision() && message.control_port != 0) {
    effects_.FetchDocumentFrom({from.address, message.control_port});
  }
  if (message.kind == envelope_kind::to_caller) {
    effects_.SendToCaller(message.service, message.caller, message.inner);
  }
}

}  // namespace corianderplank
