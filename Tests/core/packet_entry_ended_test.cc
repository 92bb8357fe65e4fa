/// @file
/// Searches and targets that have ended, and questions that share datagrams.

#include <doctest/doctest.h>

#include "packet_entry_fixture.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using fixture = entry_fixture;

/// Searches that ask for their flow before all agents are asked for lists.
constexpr std::size_t kQuestionsBeforeLists = 16;

TEST_CASE("questions for many flows share datagrams") {
  plain_format format;
  entry_recorder effects;
  counters counted;
  packet_entry entry(kZone, format, effects, counted, {});
  entry.OnView(kStart, std::make_shared<fleet_snapshot>(fixture(3).view));
  for (std::uint16_t port = 1; port <= 200; ++port) {
    flow_packet packet = fixture::Packet();
    packet.source.port = port;
    packet.acknowledge = true;
    entry.OnClientDatagram(kStart, plain_format::Encode(packet));
  }
  entry.Flush();
  // The first ones are asked for, three agents each; then lists cost less.
  CHECK(effects.asked_flows.size() == 3 * kQuestionsBeforeLists);
  CHECK(effects.messages == 3 + 3);
}

TEST_CASE("a target that has ended is waited for by no search") {
  fixture test(3);
  test.SendData(kStart);
  test.Answer(kStart + 1ms, 1, mesh_kind::denied);
  test.Answer(kStart + 1ms, 2, mesh_kind::denied);
  test.Confirm(kStart + 2ms);
  test.entry.Tick(kStart + 60ms);
  CHECK(test.effects.resets.empty());
  test.Answer(kStart + 61ms, 3, mesh_kind::ended);
  test.entry.Tick(kStart + 61ms);
  CHECK(test.effects.resets.size() == 1);
  // The next flow needs only the others' denials.
  test.SendData(kStart + 70ms);
  test.Answer(kStart + 71ms, 1, mesh_kind::denied);
  test.Answer(kStart + 71ms, 2, mesh_kind::denied);
  test.Confirm(kStart + 72ms);
  test.entry.Tick(kStart + 130ms);
  CHECK(test.effects.resets.size() == 2);
}

TEST_CASE("a target that runs where one has ended can still claim its flow") {
  for (const flow_query_result result :
       {flow_query_result::holds, flow_query_result::unknown}) {
    fixture test(3);
    test.Answer(kStart, 3, mesh_kind::ended);
    test.SendData(kStart + 70ms);
    test.SendVerdict(kStart + 71ms, 3, result);
    test.Answer(kStart + 71ms, 1, mesh_kind::denied);
    test.Answer(kStart + 71ms, 2, mesh_kind::denied);
    test.Confirm(kStart + 72ms);
    test.entry.Tick(kStart + 130ms);
    CHECK(test.effects.resets.empty());
    CHECK(test.effects.deliveries.back().machine == 3);
  }
}

TEST_CASE("a later target at the address of an ended one is asked again") {
  fixture test(3);
  test.Answer(kStart, 3, mesh_kind::ended);
  test.view.targets[2].revision = 7;
  test.Confirm(kStart + 1ms);
  test.SendData(kStart + 2ms);
  CHECK(test.effects.deliveries.size() == 3);
}

TEST_CASE("a flow of an ended target is searched for at its next packet") {
  fixture test(3);
  test.SendOpening(kStart);
  REQUIRE(test.effects.deliveries.size() == 1);
  const machine_address holder = test.effects.deliveries[0].machine;
  test.Answer(kStart + 1ms, holder, mesh_kind::opened, 500);
  test.SendData(kStart + 2ms);
  CHECK(test.effects.deliveries.size() == 2);
  test.Answer(kStart + 3ms, holder, mesh_kind::ended);
  test.SendData(kStart + 4ms);
  CHECK(test.effects.deliveries.size() == 2 + 3);
}

}  // namespace
}  // namespace corianderplank
