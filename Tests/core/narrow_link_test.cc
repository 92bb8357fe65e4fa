/// @file
/// Tests of an entry and an agent under uploads over narrow links.

#include <doctest/doctest.h>

#include "core/request_scheduler.h"
#include "packet_entry_fixture.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// An entry on a link of 10 Mbit/s that has learned that flows bring 80 KB.
struct narrow_fixture : entry_fixture {
  narrow_fixture() : entry_fixture(5, 0, {.link_bytes_per_second = 1250000}) {
    auto configuration =
        std::make_shared<fleet_configuration>(*snapshot.configuration);
    configuration->routes[kFlow.service].policy.latency_target = 800ms;
    snapshot.configuration = configuration;
    Confirm(kStart - 2s);
    Upload(kStart - 2s, 1);
    entry.Tick(kStart - 1500ms);
    Confirm(kStart);
    effects.deliveries.clear();
  }

  void Upload(time_point now, std::uint16_t port) {
    Open(now, port);
    flow_packet packet = Packet();
    packet.source.port = port;
    packet.acknowledge = true;
    packet.payload_bytes = 1200;
    for (int count = 0; count < 67; ++count) {
      entry.OnClientDatagram(now, plain_format::Encode(packet));
    }
  }

  void Open(time_point now, std::uint16_t port, std::uint32_t copies = 0) {
    flow_packet packet = Packet();
    packet.source.port = port;
    packet.synchronize = true;
    packet.copies = copies;
    entry.OnClientDatagram(now, plain_format::Encode(packet));
  }
};

// Load: a burst of uploads. The refused ones learn it at once and before any
// target has seen them, so that their clients can try other entries.
TEST_CASE("an entry resets new flows that its link cannot carry in time") {
  narrow_fixture test;
  for (std::uint16_t port = 100; port < 140; ++port) {
    test.Open(kStart, port);
  }
  CHECK(test.effects.deliveries.size() == 7);
  CHECK(test.effects.resets.size() == 33);
  CHECK(test.counted.Get(result_code::reset_link_full) == 33);
  SUBCASE("a copy may belong to a flow that a target has accepted") {
    test.Open(kStart + 200ms, 200, 1);
    CHECK(test.effects.deliveries.size() == 8);
    CHECK(test.effects.resets.size() == 33);
  }
  SUBCASE("packets of open flows go on") {
    test.SendAgentMessage(kStart, test.effects.deliveries[0].machine,
                          mesh_kind::opened, 500);
    test.SendData(kStart + 5ms);
    CHECK(test.effects.resets.size() == 33);
  }
}

// Load: uploads that arrive slowly at a target of two slots. While they arrive
// the target has nothing to work on and must not be kept from other requests.
TEST_CASE("a request that is still arriving occupies no slot") {
  request_scheduler scheduler;
  scheduler.SetSlots(2);
  const auto flow = [](std::uint16_t port) {
    return flow_address{{100, port}, kFlow.service};
  };
  for (std::uint16_t port = 1; port <= 10; ++port) {
    CHECK(scheduler.OnArriving(kStart, flow(port)));
  }
  CHECK(scheduler.ForwardedCount() == 10);
  CHECK(scheduler.Admit(kStart + 10ms, flow(20), {}, 0ms));
  CHECK_FALSE(scheduler.IsFull());
  // 20 ms after their last packets they are complete, and the target works.
  CHECK_FALSE(scheduler.Admit(kStart + 30ms, flow(21), {}, 0ms));
  CHECK(scheduler.IsFull());
  // One of them goes on after a lost packet; the other nine do not.
  CHECK(scheduler.OnArriving(kStart + 200ms, flow(1)));
  for (std::uint16_t port = 2; port <= 10; ++port) {
    CHECK(scheduler.Finish(kStart + 210ms, flow(port)) == 210ms);
  }
  CHECK(scheduler.StartNext(kStart + 210ms) == flow(21));
  CHECK(scheduler.Finish(kStart + 215ms, flow(1)) == 15ms);
}

// Load: six clients send 43,200 bytes each to a target of two slots over narrow
// links. Counted as work, the fourth would wait until the first has arrived.
TEST_CASE("an agent forwards large requests while others still arrive") {
  plain_format format;
  agent_recorder effects;
  counters counted;
  packet_agent_settings settings;
  settings.service = kService;
  settings.first_start = true;
  packet_agent agent(kStart, settings, format, effects, counted);
  const auto deliver = [&](time_point now, const flow_packet& packet) {
    const std::string bytes = plain_format::Encode(packet);
    mesh_message message;
    message.kind = mesh_kind::deliver;
    message.service = kService;
    message.slots = 2;
    message.must_accept = true;
    message.payload = bytes;
    agent.OnEntryMessage(now, {1, 7720}, message);
  };
  for (std::uint16_t port = 1; port <= 6; ++port) {
    flow_packet packet = entry_fixture::Packet();
    packet.source.port = port;
    packet.synchronize = true;
    deliver(kStart, packet);
    std::swap(packet.source, packet.destination);
    packet.acknowledge = true;
    packet.sequence = 500;
    agent.OnTargetDatagram(kStart, plain_format::Encode(packet));
    packet = entry_fixture::Packet();
    packet.source.port = port;
    packet.acknowledge = true;
    packet.acknowledgement = 501;
    packet.payload_bytes = 1200;
    for (int count = 0; count < 36; ++count) {
      packet.sequence = 1 + 1200 * static_cast<std::uint32_t>(count);
      deliver(kStart + 1ms, packet);
    }
  }
  CHECK(counted.Get(result_code::request_held) == 0);
  CHECK(effects.to_target.size() == 6 * 37);
}

}  // namespace
}  // namespace corianderplank
