/// @file
/// Messages between entries and agents on the packet path.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/ended_targets.h"
#include "core/fleet.h"
#include "core/flow_packet.h"

namespace corianderplank {

/// Queries that fit a datagram at the usual Ethernet MTU.
constexpr std::size_t kMaxFlowQueries = 48;

/// Kinds of messages. Numbers are part of the protocol.
enum class mesh_kind : std::uint8_t {
  deliver = 1,       ///< Entry to agent: a client's packet.
  opened = 2,        ///< Agent to entry: the target accepts the flow.
  holds = 3,         ///< Agent to entry: the target holds the flow.
  denied = 4,        ///< Agent to entry: the target does not hold the flow.
  refused = 5,       ///< Agent to entry: the target does not accept the flow.
  leaving = 6,       ///< Agent to entry: it is stopping; send no new flows.
  hello = 7,         ///< Entry to entry: the sender runs.
  members = 8,       ///< Entry to entry: other running entries.
  fleet_update = 9,  ///< Entry to entry: a part of the fleet state.
  drain = 10,        ///< Entry to agent: the agent's target is leaving.
  present = 11,      ///< Agent to seed: it runs on its target's machine.
  listed = 12,  ///< Seed to agent: its target is listed; no reports needed.
  flow_queries = 13,  ///< Entry to agent: which of these flows does it hold?
  flow_query_results = 14,  ///< Agent to entry: query results.
  busy = 15,        ///< Agent to entry: no slot is free; try others first.
  list_flows = 16,  ///< Entry to agent: request for the agent's flow list.
  flows = 17,       ///< Agent to entry: all flows that it knows.
  ended = 18,       ///< Agent to entry: its target has ended, with its flows.
  ended_target_list = 19,  ///< Entry to entry: targets that have ended.
  flow_handover = 20,      ///< Agent to seed, at its planned end: a part of its
                           ///< flows. Seed to agent: its predecessor's part.
  handover_request = 21,   ///< Agent to seed: request for the handover of the
                           ///< agent that ran in its place before.
  evacuation = 22,         ///< Entry to agent: whether its domain is evacuated.
};

/// Result of a query for one flow.
enum class flow_query_result : std::uint8_t {
  unknown,  ///< The agent does not know, only the target; send the packet.
  denied,   ///< The target does not hold it.
  holds,    ///< The target holds it.
};

/// A flow that an entry queries, and the result in the reply.
struct flow_query {
  flow_address flow;
  /// The client's acknowledgement number, which identifies the chosen target.
  std::uint32_t acknowledgement = 0;
  flow_query_result result = flow_query_result::unknown;
};

/// Load of a target as its agent measures it.
struct agent_load {
  std::uint32_t open_flows = 0;
  /// Average number of requests in progress, in thousandths.
  std::uint32_t busy_permille = 0;
  /// Requests that the target can work on at a time without slowing down, as
  /// learned from its answers, in thousandths; 0 if not known.
  std::uint32_t pace_permille = 0;
  /// Expected service time of a request; 0 if not known.
  std::chrono::milliseconds service_time{0};
};

/// What the answers to the requests of one route are like.
struct answer_profile {
  endpoint route;  ///< Address and port of the route.
  /// Typical size of an answer.
  std::uint32_t bytes = 0;
  /// Typical time from forwarding a request to its answer.
  std::chrono::milliseconds service_time{0};
  /// Number of answers, or of agents, that this describes.
  std::uint32_t count = 0;

  bool operator==(const answer_profile&) const = default;
};

/// An agent that runs on the machine of a target that is not listed.
struct present_agent {
  std::uint32_t machine = 0;
  service_id service;
};

/// One message. `payload` refers to the datagram's buffer and is valid as long
/// as it. Each field names the kinds that use it.
struct mesh_message {
  mesh_kind kind = mesh_kind::deliver;
  flow_address flow;
  service_id service;
  /// Deliver: the entry does not know whether the target holds the flow.
  bool searching = false;
  /// Deliver, flow_queries, list_flows: Unix time of the target's start in
  /// milliseconds, by the clock of its machine; 0 if unknown.
  std::int64_t target_start_ms = 0;
  /// Deliver, flow_queries, list_flows: how long the entry has known this
  /// target. Hello, members: length of the sender's history.
  std::chrono::milliseconds known_for{0};
  /// Deliver: slots of the target and the request policy of the flow's route.
  std::uint32_t slots = 0;
  request_policy policy;
  /// Deliver: the flow goes to this target even if no slot is free.
  bool must_accept = false;
  /// Deliver of an opening packet: how long its client has waited already.
  /// Flow_handover between seeds: how long the sender has kept it.
  std::chrono::milliseconds waited{0};
  /// Refused: the packet was meant for another service's target.
  bool wrong_service = false;
  /// Refused: how long the target should get no new flows, since it fails its
  /// requests; 0 if it does not.
  std::chrono::milliseconds pause{0};
  /// Opened: initial sequence number that the target chose.
  std::uint32_t sequence = 0;
  agent_load load;
  /// Flow_queries, flow_query_results, flow_handover: at most kMaxFlowQueries.
  std::vector<flow_query> queries;
  /// List_flows, flows: number of the census round. Hello: digest of the known
  /// ended targets.
  std::uint32_t round = 0;
  /// Flows: flow numbers as flow_census defines them.
  std::vector<std::uint32_t> flows;
  /// Flows, flow_handover: the list is complete.
  bool complete = false;
  /// Members: addresses of entries. Fleet_update, ended_target_list: entries
  /// that the receiver forwards the message to. Flow_handover between seeds:
  /// the agent's machine.
  std::vector<std::uint32_t> members;
  /// Members: agents whose targets are not listed, with their services.
  std::vector<present_agent> unlisted;
  /// Present: nothing listens at the target's address.
  bool absent = false;
  /// Members, ended_target_list: targets that have ended.
  std::vector<ended_target> ended;
  /// Members: the sender has received agent reports long enough to know all
  /// running agents.
  bool all_agents_known = false;
  /// Flow_handover: number of this part and of all parts; no parts if the seed
  /// has no handover for the agent.
  std::uint32_t part = 0;
  std::uint32_t part_count = 0;
  /// Flow_handover, handover_request: Unix time of the start of the agent whose
  /// flows these are or that asks, in milliseconds, by the clock of its
  /// machine.
  std::int64_t sender_started_ms = 0;
  /// Deliver of an opening packet, evacuation, refused: state of the target's
  /// failure domain; revision 0 if no evacuation is known.
  domain_evacuation evacuation;
  /// Deliver: how much longer the target is cold, and how many new flows a
  /// second it bears until then, in thousandths; 0 for no limit.
  std::chrono::milliseconds cold_for{0};
  std::uint32_t cold_flows_permille = 0;
  /// Refused: the pause is since the target's answers differ from those of its
  /// peers. Deliver: the sender knows of this, but the service cannot spare the
  /// target.
  bool suspected = false;
  /// Agent to entry: answers of its target; entry to agent: answers of its
  /// target's peers.
  std::vector<answer_profile> profiles;
  /// Deliver, denied, refused: the client's packet; fleet_update:
  /// the encoded update.
  std::string_view payload;
};

/// Rows that changed after `base_revision`, as one entry read them. A
/// `base_revision` of 0 means the complete state.
struct fleet_update {
  /// Address of the entry that read it.
  std::uint32_t reader = 0;
  source_revision base_revision;
  source_revision revision;
  /// Whether the targets have had time to write again since the source was
  /// restored, so that no row is older than what others may know.
  bool settled = true;
  /// Whether the sender ignores rows of a restored source until then.
  bool has_ignored_rows = false;
  /// Time from the start of the read to the sending of the update.
  std::chrono::milliseconds age{0};
  std::uint64_t configuration_version = 0;
  source_revision configuration_revision;
  /// Configuration text; empty if only its version is sent.
  std::string configuration;
  /// The same text compressed; empty if it is not known in that form.
  std::string compressed_configuration;
  /// Changed targets; `removed` marks those removed from the list.
  std::vector<fleet_target> targets;
  /// Changed evacuations, including those that have ended.
  std::vector<domain_evacuation> evacuations;
  /// Ended targets; only in an update with the complete state.
  std::vector<ended_target> ended;
  /// How long the sender has known all flow holders.
  std::chrono::milliseconds holders_known_for{0};
  /// Length of the sender's history, as fleet_state::HistoryLength defines it.
  std::chrono::milliseconds history{0};
};

}  // namespace corianderplank
