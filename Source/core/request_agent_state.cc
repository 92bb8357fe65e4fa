#include "core/request_agent_state.h"

namespace corianderplank {

request_agent_state::request_agent_state(const request_agent_identity& identity,
                                         request_agent_effects& effects,
                                         counters& counters)
    : identity(identity),
      effects(effects),
      counted(counters),
      tokens(identity.target,
             identity.service,
             identity.incarnation,
             identity.secret) {}

void request_agent_state::Send(const flow_record& flow,
                               packet value,
                               std::uint32_t tries) {
  value.service = identity.service;
  value.flow = flow.id;
  value.token = TokenOf(flow);
  envelope header = Header();
  header.caller = flow.caller;
  endpoint via_entry = flow.entry;
  if (tries > 0 && !entries.empty()) {
    via_entry = entries[(flow.id.value + tries) % entries.size()];
  }
  effects.SendToCaller(via_entry, header, value);
}

envelope request_agent_state::Header() const {
  envelope header;
  header.kind = envelope_kind::to_caller;
  header.service = identity.service;
  header.revision = revision;
  header.control_port = identity.control_port;
  header.target = identity.target;
  header.load_permille = load_permille;
  header.serving = daemon_lifecycle.IsServing();
  return header;
}

flow_token request_agent_state::TokenOf(const flow_record& flow) const {
  return tokens.Issue(flow.id, flow.serial);
}

}  // namespace corianderplank
