/// @file
/// State that the components of an agent share.
#pragma once

#include <cstdint>
#include <vector>

#include "core/counters.h"
#include "core/flow_table.h"
#include "core/lifecycle.h"
#include "core/request_agent_effects.h"
#include "core/request_table.h"
#include "core/sibling_view.h"
#include "core/token_authority.h"

namespace corianderplank {

/// Identifiers, token secret and control port of an agent process.
struct request_agent_identity {
  target_id target;
  service_id service;
  incarnation_id incarnation;
  token_secret secret{};
  std::uint16_t control_port = 0;
};

/// Tables, settings and load of an agent. The components of the agent hold
/// references to it.
struct request_agent_state {
  request_agent_state(const request_agent_identity& identity,
                      request_agent_effects& effects,
                      counters& counters);

  /// Sends a packet to the caller of a flow.
  /// @param flow flow whose caller receives the packet.
  /// @param value the packet; this function sets its flow, service and token.
  /// @param tries how often the packet was sent before. The first try goes
  ///     through the entry of the caller's last packet, each further one
  ///     through another entry.
  void Send(const flow_record& flow, packet value, std::uint32_t tries);

  /// @return an envelope to a caller with this agent's load and document
  ///     revision.
  envelope Header() const;

  /// @param flow a flow of this agent.
  /// @return the token that its packets carry.
  flow_token TokenOf(const flow_record& flow) const;

  request_agent_identity identity;
  request_agent_effects& effects;
  counters& counted;
  token_authority tokens;
  lifecycle daemon_lifecycle;
  flow_table flows;
  request_table requests;
  sibling_view siblings;
  /// Settings of the agent's target in the document in force.
  target settings;
  revision_number revision;
  /// Entries that are not leaving.
  std::vector<endpoint> entries;
  /// Load in thousandths of the slots; may exceed 1000.
  std::uint32_t load_permille = 0;
  /// Number of flows in flow_state::reserved.
  std::uint32_t reserved = 0;
  /// Clock of the flow leases: the monotonic clock without the periods in which
  /// this process was suspended.
  time_point lease_now;
};

}  // namespace corianderplank
