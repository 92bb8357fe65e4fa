/// @file
/// An agent that learns its target's pace and reports it.

#include <doctest/doctest.h>

#include "packet_recorder.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
const endpoint kEntry{1, 7720};

/// An agent, an entry that sends to it and its target.
struct paced_agent {
  explicit paced_agent(bool learns_pace)
      : agent(kStart, SettingsOf(learns_pace), format, effects, counted) {}

  static packet_agent_settings SettingsOf(bool learns_pace) {
    packet_agent_settings settings;
    settings.service = kService;
    settings.first_start = true;
    settings.started_ms = 1000;
    settings.learns_pace = learns_pace;
    return settings;
  }

  static flow_address FlowOf(std::uint32_t number) {
    return {{number, 40001}, {200, 443}};
  }

  void Deliver(flow_packet packet, const flow_address& flow) {
    packet.source = flow.client;
    packet.destination = flow.service;
    const std::string bytes = plain_format::Encode(packet);
    mesh_message message;
    message.kind = mesh_kind::deliver;
    message.service = kService;
    message.slots = 4;
    message.target_start_ms = 1000;
    message.payload = bytes;
    agent.OnEntryMessage(now, kEntry, message);
  }

  void Answer(flow_packet packet, const flow_address& flow) {
    packet.source = flow.service;
    packet.destination = flow.client;
    agent.OnTargetDatagram(now, plain_format::Encode(packet));
  }

  /// Opens a flow and forwards its first request.
  void Request(const flow_address& flow) {
    flow_packet opening;
    opening.synchronize = true;
    Deliver(opening, flow);
    Answer(opening, flow);
    flow_packet data;
    data.acknowledge = true;
    data.payload_bytes = 10;
    Deliver(data, flow);
  }

  void AnswerRequest(const flow_address& flow) {
    flow_packet answer;
    answer.payload_bytes = 10;
    Answer(answer, flow);
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
    test.Request(paced_agent::FlowOf(1));
    test.Request(paced_agent::FlowOf(2));
    test.now += 20ms;
    test.AnswerRequest(paced_agent::FlowOf(1));
    test.AnswerRequest(paced_agent::FlowOf(2));
    test.Request(paced_agent::FlowOf(3));
    const agent_load load = test.effects.entry_messages.back().load;
    CHECK(load.pace_permille == (learns_pace ? 4000 : 0));
    CHECK(load.service_time == (learns_pace ? 20ms : 0ms));
    CHECK(test.counted.Get(result_code::pace_raised) == (learns_pace ? 2 : 0));
  }
}

// A target in a crash loop resets the flow whose request it had.
TEST_CASE("a request that the target cuts lowers its pace") {
  paced_agent test(true);
  test.Request(paced_agent::FlowOf(1));
  flow_packet reset;
  reset.reset = true;
  test.Answer(reset, paced_agent::FlowOf(1));
  CHECK(test.counted.Get(result_code::pace_lowered) == 1);
}

}  // namespace
}  // namespace corianderplank
