/// @file
/// What entries and agents tell each other on the packet path.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ended_targets.h"
#include "core/fleet.h"
#include "core/flow_packet.h"

namespace corianderplank {

/// Questions that fit a datagram of an ordinary network.
constexpr std::size_t kMaxQuestions = 48;

/// Kinds of messages. Numbers are part of the protocol.
enum class mesh_kind : std::uint8_t {
  deliver = 1,      ///< Entry to agent: a client's packet.
  opened = 2,       ///< Agent to entry: the target accepts the flow.
  holds = 3,        ///< Agent to entry: the target holds the flow.
  denied = 4,       ///< Agent to entry: the target does not hold the flow.
  refused = 5,      ///< Agent to entry: the target does not accept the flow.
  leaving = 6,      ///< Agent to entry: no new flows, please.
  hello = 7,        ///< Entry to entry: it runs.
  members = 8,      ///< Entry to entry: who else runs.
  belief = 9,       ///< Entry to entry: what it has read.
  drain = 10,       ///< Entry to agent: the agent's target is leaving.
  present = 11,     ///< Agent to seed: it runs beside its target.
  listed = 12,      ///< Seed to agent: its target is listed, no need to tell.
  ask = 13,         ///< Entry to agent: which of these flows does it hold?
  verdicts = 14,    ///< Agent to entry: the answers.
  busy = 15,        ///< Agent to entry: no slot is free; ask another one first.
  list_flows = 16,  ///< Entry to agent: which flows does it have?
  flows = 17,       ///< Agent to entry: all flows that it knows of.
  ended = 18,       ///< Agent to entry: its target has ended, with its flows.
  ended_elsewhere = 19,  ///< Entry to entry: targets that have ended.
};

/// What an agent says of a flow that it was asked for.
enum class flow_verdict : std::uint8_t {
  unsure,  ///< Only the target knows; send the packet.
  denied,  ///< The target does not hold it.
  holds,   ///< The target holds it.
};

/// A flow that an entry asks for, and the answer.
struct flow_question {
  flow_address flow;
  /// The client's acknowledgement, which names the target that it has chosen.
  std::uint32_t acknowledgement = 0;
  flow_verdict verdict = flow_verdict::unsure;
};

/// Load of a target as its agent sees it.
struct agent_load {
  std::uint32_t open_flows = 0;
  /// Requests under way, in thousandths, averaged.
  std::uint32_t busy_permille = 0;
};

/// An agent that runs beside a target that is not listed.
struct present_agent {
  std::uint32_t machine = 0;
  service_id service;
};

/// One message. Views are valid as long as the datagram's buffer.
struct mesh_message {
  mesh_kind kind = mesh_kind::deliver;
  flow_address flow;
  service_id service;
  /// Deliver: the entry does not know whether the target holds the flow.
  bool searching = false;
  /// Deliver: Unix time of the target's start, by its own machine's clock.
  std::int64_t born_ms = 0;
  /// Deliver, ask, list_flows: how long the entry has known this target.
  std::chrono::milliseconds known_for{0};
  /// Deliver: slots of the target, and what the flow's route says.
  std::uint32_t slots = 0;
  request_policy policy;
  /// Deliver: the flow goes to this target even if no slot is free.
  bool must_take = false;
  /// Deliver of an opening packet: how long its client has waited before.
  std::chrono::milliseconds waited{0};
  /// Refused: the packet was meant for another service's target.
  bool wrong_service = false;
  /// Opened: the number that the target gave its end of the flow.
  std::uint32_t sequence = 0;
  agent_load load;
  /// Ask, verdicts: flows; at most kMaxQuestions.
  std::vector<flow_question> questions;
  /// List_flows, flows: the round of questions. Hello: digest of the ended
  /// targets that are known.
  std::uint32_t round = 0;
  /// Flows: numbers of the agent's flows, as flow_census has them.
  std::vector<std::uint32_t> flows;
  /// Flows: the agent has no others.
  bool complete = false;
  /// Members: addresses of entries. Belief, ended_elsewhere: entries that the
  /// receiver passes the message on to.
  std::vector<std::uint32_t> members;
  /// Members: agents whose targets are not listed, with their services.
  std::vector<present_agent> unlisted;
  /// Present: nothing listens at the target's address.
  bool absent = false;
  /// Members, ended_elsewhere: targets that have ended.
  std::vector<ended_target> ended;
  /// Members: the sender has listened for agents long enough to know them.
  bool settled = false;
  /// Deliver, denied, refused: the client's packet; belief: its encoding.
  std::string_view payload;
};

/// Rows that changed after `base_revision`, as one entry read them.
struct belief_update {
  /// The entry that has read it.
  std::uint32_t reader = 0;
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  /// Time from the begin of the read to the sending of the update.
  std::chrono::milliseconds age{0};
  std::uint64_t configuration_version = 0;
  std::uint64_t configuration_revision = 0;
  /// The configuration's text; empty when only its version is told.
  std::string configuration;
  /// Changed targets; those with `gone` have left.
  std::vector<fleet_target> targets;
  /// Targets that have ended; only of a whole belief.
  std::vector<ended_target> ended;
  /// How long the sender has known every holder of flows.
  std::chrono::milliseconds holders_known_for{0};
};

}  // namespace corianderplank
