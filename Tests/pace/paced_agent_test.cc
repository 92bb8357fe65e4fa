/// @file
/// An agent that learns its target's pace and reports it.

#include <doctest/doctest.h>

#include "packet_recorder.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
const endpoint kRoute{200, 443};

enum class content { opening, data, reset };

flow_packet Packet(content holds) {
  flow_packet packet;
  packet.synchronize = holds == content::opening;
  packet.reset = holds == content::reset;
  packet.acknowledge = holds == content::data;
  packet.payload_bytes = holds == content::data ? 10 : 0;
  return packet;
}

/// An agent, an entry that sends to it and its target.
struct paced_agent {
  explicit paced_agent(bool learns_pace)
      : agent(kStart,
              {.service = kService,
               .first_start = true,
               .started_ms = 1000,
               .learns_pace = learns_pace},
              format,
              effects,
              counted) {}

  void Deliver(flow_packet packet, std::uint32_t client) {
    packet.source = {client, 40001};
    packet.destination = kRoute;
    const std::string bytes = plain_format::Encode(packet);
    mesh_message message;
    message.service = kService;
    message.slots = 4;
    message.target_start_ms = 1000;
    message.payload = bytes;
    agent.OnEntryMessage(now, {1, 7720}, message);
  }

  void Answer(flow_packet packet, std::uint32_t client) {
    packet.source = kRoute;
    packet.destination = {client, 40001};
    agent.OnTargetDatagram(now, plain_format::Encode(packet));
  }

  /// Opens a flow and forwards its first request.
  void Request(std::uint32_t client) {
    Deliver(Packet(content::opening), client);
    Answer(Packet(content::opening), client);
    Deliver(Packet(content::data), client);
  }

  time_point now = kStart;
  plain_format format;
  agent_recorder effects;
  counters counted;
  packet_agent agent;
};

// The path of a report: what an entry places by comes from the answers.
TEST_CASE("an agent reports the pace and the service time of its answers") {
  for (const bool learns_pace : {true, false}) {
    paced_agent test(learns_pace);
    test.Request(1);
    test.Request(2);
    test.now += 20ms;
    test.Answer(Packet(content::data), 1);
    test.Answer(Packet(content::data), 2);
    test.Request(3);
    const agent_load load = test.effects.entry_messages.back().load;
    CHECK(load.pace_permille == (learns_pace ? 4000 : 0));
    CHECK(load.service_time == (learns_pace ? 20ms : 0ms));
    CHECK(test.counted.Get(result_code::pace_raised) == (learns_pace ? 2 : 0));
  }
}

// A target in a crash loop resets the flow whose request it had.
TEST_CASE("a request that the target cuts lowers its pace") {
  paced_agent test(true);
  test.Request(1);
  test.Answer(Packet(content::reset), 1);
  CHECK(test.counted.Get(result_code::pace_lowered) == 1);
}

}  // namespace
}  // namespace corianderplank
