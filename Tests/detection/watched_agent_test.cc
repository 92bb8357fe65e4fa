/// @file
/// An agent whose target fails its requests unseen, and an entry that hears of
/// it.

#include <doctest/doctest.h>

#include "packet_entry_fixture.h"
#include "packet_recorder.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const endpoint kRoute{200, 443};
const endpoint kEntry{1, 7720};

struct recorder : agent_recorder {
  void SendToEntry(const endpoint& entry,
                   const mesh_message& message) override {
    agent_recorder::SendToEntry(entry, message);
    latest = message;
    profiles += message.profiles.size();
  }

  mesh_message latest;
  std::size_t profiles = 0;
};

/// An agent whose clients open a flow for each request.
struct watched_agent {
  explicit watched_agent(bool watches)
      : agent(kStart, SettingsOf(watches), format, effects, counted) {}

  static packet_agent_settings SettingsOf(bool watches) {
    packet_agent_settings settings;
    settings.service = kService;
    settings.first_start = true;
    settings.watches_answers = watches;
    return settings;
  }

  void Deliver(const flow_packet& packet, bool needed = false) {
    const std::string bytes = plain_format::Encode(packet);
    mesh_message message;
    message.kind = mesh_kind::deliver;
    message.service = kService;
    message.slots = 4;
    message.policy.repeatable = true;
    message.profiles = {{kRoute, 4100, 40ms, 40}};
    message.suspected = needed;
    message.must_accept = !needed;
    message.payload = bytes;
    agent.OnEntryMessage(now, kEntry, message);
  }

  /// One request on a flow of its own, answered in packets of 1,000 bytes.
  /// @return whether the agent let the target have the flow.
  bool Request(std::uint32_t bytes, std::chrono::milliseconds service_time) {
    const endpoint client{100, ++port};
    flow_packet from_client;
    from_client.source = client;
    from_client.destination = kRoute;
    from_client.synchronize = true;
    const std::size_t forwarded = effects.to_target.size();
    Deliver(from_client);
    if (effects.to_target.size() == forwarded) {
      return false;
    }
    flow_packet from_target;
    from_target.source = kRoute;
    from_target.destination = client;
    from_target.synchronize = true;
    from_target.sequence = 500;
    agent.OnTargetDatagram(now, plain_format::Encode(from_target));
    from_client.synchronize = false;
    from_client.acknowledge = true;
    from_client.acknowledgement = 501;
    from_client.payload_bytes = 10;
    Deliver(from_client);
    now += service_time;
    from_target.synchronize = false;
    // The last packet, which is shorter, arrives first.
    for (std::uint32_t end = bytes; end > 0;) {
      const std::uint32_t begin = (end - 1) / 1000 * 1000;
      from_target.sequence = 501 + begin;
      from_target.payload_bytes = static_cast<std::uint16_t>(end - begin);
      end = begin;
      agent.OnTargetDatagram(now, plain_format::Encode(from_target));
    }
    from_client.payload_bytes = 0;
    from_client.finish = true;
    Deliver(from_client);
    return true;
  }

  plain_format format;
  recorder effects;
  counters counted;
  time_point now = kStart;
  std::uint16_t port = 40000;
  packet_agent agent;
};

// Load: a target that answers well and then only errors, in full health.
TEST_CASE("an agent pauses new flows of a target whose answers are errors") {
  watched_agent test(/*watches=*/true);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(test.Request(4100, 40ms));
  }
  int errors = 0;
  while (errors < 50 && test.Request(130, 1ms)) {
    ++errors;
  }
  CHECK(errors == 6);
  CHECK(test.counted.Get(result_code::target_suspected) == 1);
  CHECK(test.effects.profiles > 0);
  CHECK(test.effects.latest.kind == mesh_kind::refused);
  CHECK(test.effects.latest.suspected);
  CHECK(test.effects.latest.pause > 0ms);
  // The entry knows, but the service cannot spare the target.
  flow_packet opening;
  opening.source = {100, 50000};
  opening.destination = kRoute;
  opening.synchronize = true;
  const std::size_t forwarded = test.effects.to_target.size();
  test.Deliver(opening, /*needed=*/true);
  CHECK(test.effects.to_target.size() == forwarded + 1);
}

TEST_CASE("an agent that does not watch answers lets errors pass") {
  watched_agent test(/*watches=*/false);
  for (int i = 0; i < 50; ++i) {
    CHECK(test.Request(130, 1ms));
  }
  CHECK(test.effects.profiles == 0);
}

// Failure: a change of the service makes all of its targets look suspicious.
TEST_CASE("an entry places flows on suspects that the service cannot spare") {
  entry_fixture test(4);
  test.SendOpening(kStart);
  mesh_message refusal;
  refusal.kind = mesh_kind::refused;
  refusal.flow = kFlow;
  refusal.suspected = true;
  refusal.pause = 500ms;
  for (std::size_t i = 0; i < 2; ++i) {
    REQUIRE(test.effects.deliveries.size() == i + 1);
    CHECK_FALSE(test.effects.deliveries[i].must_accept);
    test.entry.OnAgentMessage(kStart, test.effects.deliveries[i].machine,
                              refusal);
  }
  // The first one is spared; the second one may have to serve.
  REQUIRE(test.effects.deliveries.size() == 3);
  CHECK(test.effects.deliveries[2].machine !=
        test.effects.deliveries[0].machine);
}

}  // namespace
}  // namespace corianderplank
