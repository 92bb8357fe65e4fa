/// @file
/// Tests of searches when targets have ended, and of flow queries that share
/// datagrams.

#include <doctest/doctest.h>

#include "packet_entry_fixture.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using fixture = entry_fixture;

/// Searches that use flow queries before the entry requests flow lists.
constexpr std::size_t kQueriesBeforeLists = 16;

TEST_CASE("queries for many flows share datagrams") {
  plain_format format;
  entry_recorder effects;
  counters counted;
  packet_entry entry(kOwnFailureDomain, format, effects, counted, {});
  entry.OnSnapshot(kStart,
                   std::make_shared<fleet_snapshot>(fixture(3).snapshot));
  for (std::uint16_t port = 1; port <= 200; ++port) {
    flow_packet packet = fixture::Packet();
    packet.source.port = port;
    packet.acknowledge = true;
    entry.OnClientDatagram(kStart, plain_format::Encode(packet));
  }
  entry.Flush();
  // The first searches query three agents each; from then on lists cost less.
  CHECK(effects.queried_flows.size() == 3 * kQueriesBeforeLists);
  CHECK(effects.messages == 3 + 3);
}

TEST_CASE("no search waits for a target that has ended") {
  fixture test(3);
  test.SendData(kStart);
  test.SendAgentMessage(kStart + 1ms, 1, mesh_kind::denied);
  test.SendAgentMessage(kStart + 1ms, 2, mesh_kind::denied);
  test.Confirm(kStart + 2ms);
  test.entry.Tick(kStart + 60ms);
  CHECK(test.effects.resets.empty());
  test.SendAgentMessage(kStart + 61ms, 3, mesh_kind::ended);
  test.entry.Tick(kStart + 61ms);
  CHECK(test.effects.resets.size() == 1);
  // A search for the next flow needs the denials of the other targets only.
  test.SendData(kStart + 70ms);
  test.SendAgentMessage(kStart + 71ms, 1, mesh_kind::denied);
  test.SendAgentMessage(kStart + 71ms, 2, mesh_kind::denied);
  test.Confirm(kStart + 72ms);
  test.entry.Tick(kStart + 130ms);
  CHECK(test.effects.resets.size() == 2);
}

TEST_CASE("a new target at the address of an ended one can claim its flow") {
  for (const flow_query_result result :
       {flow_query_result::holds, flow_query_result::unknown}) {
    fixture test(3);
    test.SendAgentMessage(kStart, 3, mesh_kind::ended);
    test.SendData(kStart + 70ms);
    test.SendQueryResult(kStart + 71ms, 3, result);
    test.SendAgentMessage(kStart + 71ms, 1, mesh_kind::denied);
    test.SendAgentMessage(kStart + 71ms, 2, mesh_kind::denied);
    test.Confirm(kStart + 72ms);
    test.entry.Tick(kStart + 130ms);
    CHECK(test.effects.resets.empty());
    CHECK(test.effects.deliveries.back().machine == 3);
  }
}

TEST_CASE("a later target at the address of an ended one is queried") {
  fixture test(3);
  test.SendAgentMessage(kStart, 3, mesh_kind::ended);
  test.snapshot.targets[2].revision = 7;
  test.Confirm(kStart + 1ms);
  test.SendData(kStart + 2ms);
  CHECK(test.effects.deliveries.size() == 3);
}

TEST_CASE("a flow of an ended target is searched for at its next packet") {
  fixture test(3);
  test.SendOpening(kStart);
  REQUIRE(test.effects.deliveries.size() == 1);
  const machine_address holder = test.effects.deliveries[0].machine;
  test.SendAgentMessage(kStart + 1ms, holder, mesh_kind::opened, 500);
  test.SendData(kStart + 2ms);
  CHECK(test.effects.deliveries.size() == 2);
  test.SendAgentMessage(kStart + 3ms, holder, mesh_kind::ended);
  test.SendData(kStart + 4ms);
  CHECK(test.effects.deliveries.size() == 2 + 3);
}

}  // namespace
}  // namespace corianderplank
