#include "core/request_entry.h"

namespace corianderplank {
namespace {

/// Time after which a caller may try again when no target takes opens.
constexpr std::chrono::milliseconds kNoTargetRetryAfter{500};

}  // namespace

request_entry::request_entry(const endpoint& self,
                             std::uint16_t control_port,
                             request_entry_effects& effects,
                             const flow_locator& locator,
                             target_picker& picker,
                             counters& counters)
    : self_(self),
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
                                   const packet& value,
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
  if (value.service != service) {
    counters_.Add(result_code::wrong_service);
    return;
  }
  if (value.kind == packet_kind::open) {
    PlaceOpen(now, *routes, caller, value, datagram);
    return;
  }
  if (value.kind == packet_kind::verdict) {
    TakeVerdict(service, caller, value, datagram.size());
    return;
  }
  const located_target located = locator_.Locate(*routes, value);
  if (located.target == nullptr) {
    counters_.Add(located.code);
    return;
  }
  Forward(*located.target, service, caller, datagram);
}

void request_entry::TakeVerdict(service_id service,
                                const endpoint& caller,
                                const packet& value,
                                std::size_t request_bytes) {
  const result_code_entry* known = FindResultCode(value.code);
  if (known == nullptr || known->code == result_code::answered) {
    counters_.Add(result_code::malformed);
    return;
  }
  effects_.RecordVerdict(service, {value.flow, value.request_id, value.code});
  packet noted;
  noted.kind = packet_kind::noted;
  noted.service = service;
  noted.flow = value.flow;
  noted.request_id = value.request_id;
  effects_.ReplyToCaller(service, caller, noted, request_bytes);
}

void request_entry::PlaceOpen(time_point now,
                              const service_routes& routes,
                              const endpoint& caller,
                              const packet& value,
                              std::string_view datagram) {
  const std::uint64_t hash = MixHash(value.flow.value, value.attempt);
  const target_id avoid = value.token ? value.token->target : target_id{};
  const route_target* chosen = picker_.Pick(now, routes, hash, avoid);
  if (chosen != nullptr) {
    Forward(*chosen, routes.Id(), caller, datagram);
    return;
  }
  counters_.Add(result_code::no_target);
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.service = routes.Id();
  refusal.flow = value.flow;
  refusal.attempt = value.attempt;
  refusal.code = result_code::no_target;
  refusal.time = kNoTargetRetryAfter;
  effects_.ReplyToCaller(routes.Id(), caller, refusal, datagram.size());
}

void request_entry::Forward(const route_target& target,
                            service_id service,
                            const endpoint& caller,
                            std::string_view datagram) {
  envelope wrapped;
  wrapped.kind = envelope_kind::to_agent;
  wrapped.service = service;
  wrapped.caller = caller;
  wrapped.entry = self_;
  wrapped.revision = table_->Revision();
  wrapped.control_port = control_port_;
  wrapped.target = target.id;
  wrapped.inner = datagram;
  effects_.SendToAgent(target.agent, wrapped);
}

void request_entry::OnAgentEnvelope(time_point now,
                                    time_point arrived_at,
                                    const endpoint& from,
                                    const envelope& value) {
  if (IsStale(now, arrived_at)) {
    return;
  }
  const service_routes* routes =
      table_ == nullptr ? nullptr : table_->Find(value.service);
  if (routes == nullptr) {
    counters_.Add(result_code::unknown_service);
    return;
  }
  const route_target* known = routes->Find(value.target);
  if (known == nullptr || known->agent != from) {
    counters_.Add(result_code::unknown_target);
    return;
  }
  picker_.OnLoad(now, value.target, value.load_permille, value.serving);
  for (const target_id passed_by : value.visited) {
    picker_.OnPassedOn(passed_by);
  }
  if (value.revision > table_->Revision() && value.control_port != 0) {
    effects_.FetchDocumentFrom({from.address, value.control_port});
  }
  if (value.kind == envelope_kind::to_caller) {
    effects_.SendToCaller(value.service, value.caller, value.inner);
  }
}

}  // namespace corianderplank
