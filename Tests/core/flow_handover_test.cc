/// @file
/// Handover of an agent's flows to the agent that is started in its place.

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "core/flow_handover.h"
#include "packet_recorder.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
const endpoint kEntry{1, 7720};
constexpr machine_address kMachine = 9;
constexpr std::int64_t kStartedMs = 1000;

flow_address FlowOf(std::uint32_t client) {
  return {{100 + client, 40001}, {200, 443}};
}

flow_handover HandoverOf(std::uint32_t flows, bool complete = true) {
  flow_handover handover;
  handover.service = kService;
  handover.started_ms = kStartedMs;
  handover.complete = complete;
  for (std::uint32_t client = 0; client < flows; ++client) {
    handover.flows.push_back(
        {FlowOf(client), 500 + client, flow_query_result::holds});
  }
  return handover;
}

/// An agent that was restarted beside a live target.
struct restarted_agent {
  restarted_agent()
      : agent(kStart, {kService, false, 2000}, format, effects, counted) {
    agent.AwaitHandover();
  }

  void Deliver(std::uint32_t client, bool searching) {
    flow_packet packet;
    packet.source = FlowOf(client).client;
    packet.destination = FlowOf(client).service;
    packet.acknowledge = true;
    packet.acknowledgement = 501;
    packet.payload_bytes = 10;
    const std::string bytes = plain_format::Encode(packet);
    mesh_message message;
    message.kind = mesh_kind::deliver;
    message.service = kService;
    message.searching = searching;
    message.payload = bytes;
    agent.OnEntryMessage(kStart, kEntry, message);
  }

  void Query(std::uint32_t client) {
    mesh_message message;
    message.kind = mesh_kind::flow_queries;
    message.service = kService;
    message.queries = {{FlowOf(client), 501, flow_query_result::unknown}};
    agent.OnEntryMessage(kStart, kEntry, message);
  }

  /// @return the result of the latest query.
  flow_query_result Result() const {
    return effects.entry_messages.back().queries.at(0).result;
  }

  plain_format format;
  agent_recorder effects;
  counters counted;
  packet_agent agent;
};

TEST_CASE("a handover arrives whole from parts in any order, some twice") {
  std::mt19937 random(7);
  for (const std::uint32_t flows : {0U, 1U, 48U, 49U, 1000U}) {
    CAPTURE(flows);
    const flow_handover sent = HandoverOf(flows);
    std::vector<mesh_message> parts = SplitHandover(sent);
    const std::size_t count = parts.size();
    CHECK(count == std::max(1U, (flows + 47) / 48));
    const std::vector<mesh_message> again = parts;
    parts.insert(parts.end(), again.begin(), again.end());
    std::shuffle(parts.begin(), parts.end(), random);
    handover_assembly assembly;
    for (const mesh_message& part : parts) {
      assembly.Add(part);
    }
    const auto received = assembly.Whole();
    REQUIRE(received.has_value());
    CHECK(received->complete);
    CHECK(received->flows.size() == flows);
  }
}

TEST_CASE("a handover with a missing part is not whole") {
  std::vector<mesh_message> parts = SplitHandover(HandoverOf(100));
  handover_assembly assembly;
  assembly.Add(parts[0]);
  assembly.Add(parts[2]);
  CHECK_FALSE(assembly.Whole().has_value());
  mesh_message invalid = parts[1];
  invalid.part = invalid.part_count;
  assembly.Add(invalid);
  CHECK_FALSE(assembly.Whole().has_value());
}

// Guards against a list that lacks the flows which an agent in between opened.
TEST_CASE("only the first successor gets a handover, and only for 5 s") {
  handover_store store;
  const auto keep = [&] {
    for (const mesh_message& part : SplitHandover(HandoverOf(3))) {
      store.Add(kStart, kMachine, part);
    }
  };
  keep();
  CHECK(store.PartsFor(kStart, kMachine + 1, 2000).empty());
  CHECK(store.PartsFor(kStart + 1s, kMachine, 2000).size() == 1);
  CHECK(store.PartsFor(kStart + 1s, kMachine, 2000).size() == 1);
  CHECK(store.PartsFor(kStart + 2s, kMachine, 3000).empty());
  CHECK(store.PartsFor(kStart + 2s, kMachine, 2000).empty());
  keep();
  CHECK(store.PartsFor(kStart + 6s, kMachine, 2000).empty());
  keep();
  store.Expire(kStart + 6s);
  CHECK(store.PartsFor(kStart + 1s, kMachine, 2000).empty());
}

// Guards against open flows whose packets a restarted agent sends to its target
// although another target holds them.
TEST_CASE("a restarted agent denies flows that were not handed over") {
  restarted_agent test;
  test.agent.OnHandover(kStart, HandoverOf(2));
  CHECK(test.agent.OpenFlows() == 2);
  test.Query(1);
  CHECK(test.Result() == flow_query_result::holds);
  test.Query(2);
  CHECK(test.Result() == flow_query_result::denied);
  test.Deliver(3, /*searching=*/true);
  CHECK(test.effects.entry_messages.back().kind == mesh_kind::denied);
  CHECK(test.effects.to_target.empty());
  test.Deliver(1, /*searching=*/true);
  CHECK(test.effects.entry_messages.back().kind == mesh_kind::holds);
  CHECK(test.effects.to_target.size() == 1);
}

TEST_CASE("searches wait for the handover") {
  restarted_agent test;
  test.Query(2);
  test.Deliver(3, /*searching=*/true);
  CHECK(test.effects.entry_messages.empty());
  CHECK(test.effects.to_target.empty());
  test.agent.OnHandover(kStart, HandoverOf(2));
  REQUIRE(test.effects.entry_messages.size() == 2);
  CHECK(test.effects.entry_messages[0].queries.at(0).result ==
        flow_query_result::denied);
  CHECK(test.effects.entry_messages[1].kind == mesh_kind::denied);
  CHECK(test.effects.to_target.empty());
}

TEST_CASE("without a handover searches go on after the wait") {
  restarted_agent test;
  test.Query(2);
  test.Deliver(3, /*searching=*/true);
  test.agent.OnNoHandover(kStart);
  REQUIRE(test.effects.entry_messages.size() == 1);
  CHECK(test.Result() == flow_query_result::unknown);
  CHECK(test.effects.to_target.size() == 1);
  // A handover that arrives later still counts.
  test.agent.OnHandover(kStart, HandoverOf(2));
  test.Query(1);
  CHECK(test.Result() == flow_query_result::holds);
  test.Query(2);
  CHECK(test.Result() == flow_query_result::denied);
}

// Guards against a reset of a flow that a handover does not contain since
// another agent ran in between.
TEST_CASE("an entry that knows the holder overrules a handover") {
  restarted_agent test;
  test.agent.OnHandover(kStart, HandoverOf(2));
  test.Deliver(5, /*searching=*/false);
  CHECK(test.effects.entry_messages.empty());
  CHECK(test.effects.to_target.size() == 1);
}

TEST_CASE("an incomplete handover confirms flows and denies none") {
  restarted_agent test;
  test.agent.OnHandover(kStart, HandoverOf(2, /*complete=*/false));
  test.Query(1);
  CHECK(test.Result() == flow_query_result::holds);
  test.Query(2);
  CHECK(test.Result() == flow_query_result::unknown);
}

TEST_CASE("a handover of another service's agent is not taken") {
  restarted_agent test;
  flow_handover handover = HandoverOf(2);
  handover.service = ServiceIdOf("other");
  test.agent.OnHandover(kStart, handover);
  test.Query(1);
  CHECK(test.Result() == flow_query_result::unknown);
}

TEST_CASE("flows pass through agents that are restarted one after another") {
  restarted_agent first;
  first.agent.OnHandover(kStart, HandoverOf(60));
  // A flow that the target has accepted, but whose client may have chosen
  // another target.
  flow_packet accepted;
  accepted.source = FlowOf(70).service;
  accepted.destination = FlowOf(70).client;
  accepted.synchronize = true;
  accepted.acknowledge = true;
  first.agent.OnTargetDatagram(kStart, plain_format::Encode(accepted));
  const flow_handover passed_on = first.agent.HandOver(kStart);
  CHECK(passed_on.complete);
  CHECK(passed_on.flows.size() == 61);
  restarted_agent second;
  second.agent.OnHandover(kStart, passed_on);
  second.Query(59);
  CHECK(second.Result() == flow_query_result::holds);
  second.Query(60);
  CHECK(second.Result() == flow_query_result::denied);
  second.Query(70);
  CHECK(second.Result() == flow_query_result::unknown);
}

}  // namespace
}  // namespace corianderplank
