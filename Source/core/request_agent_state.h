/// @file
/// What the parts of an agent share.
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

/// Who an agent is.
struct request_agent_identity {
  target_id target;
  service_id service;
  incarnation_id incarnation;
  token_secret secret{};
  std::uint16_t control_port = 0;
};

/// Tables and settings that the parts of an agent work on.
struct request_agent_state {
  request_agent_state(const request_agent_identity& identity,
                      request_agent_effects& effects,
                      counters& counters);

  /// Sends a packet to a flow's caller.
  /// @param flow the flow.
  /// @param value the packet; flow, service and token are filled in.
  /// @param tries earlier tries; a repeated packet goes through other entries.
  void Send(const flow_record& flow, packet value, std::uint32_t tries);

  /// @return an envelope with this agent's load and revision.
  envelope Header() const;

  /// @param flow a flow.
  /// @return its token.
  flow_token TokenOf(const flow_record& flow) const;

  request_agent_identity identity;
  request_agent_effects& effects;
  counters& counted;
  token_authority tokens;
  lifecycle daemon_lifecycle;
  flow_table flows;
  request_table requests;
  sibling_view siblings;
  /// The target's row of the document in force.
  target settings;
  revision_number revision;
  std::vector<endpoint> entries;
  std::uint32_t load_permille = 0;
  std::uint32_t reserved = 0;
  /// Time without the pauses of this process; leases are counted in it.
  time_point lease_now;
};

}  // namespace corianderplank
