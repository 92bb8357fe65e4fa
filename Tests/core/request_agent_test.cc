/// @file
/// Tests of one agent whose effects are recorded: opens, resumption, refusals.

#include <doctest/doctest.h>

#include "core/request_agent.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

/// Records the effects of an agent.
class recorded_effects : public request_agent_effects {
 public:
  void SendToCaller(const endpoint&,
                    const envelope&,
                    const packet& value) override {
    packets.push_back(value);
    packets.back().payload = {};
  }
  void SendEnvelope(const endpoint& to, const envelope& value) override {
    if (value.kind == envelope_kind::to_agent) {
      forwarded_to.push_back(to);
    }
  }
  void StartExecution(const execution& call) override {
    started.push_back(call.id);
  }
  void CancelExecution(std::uint64_t) override {}
  void RequestFence(std::uint64_t resume_id,
                    const endpoint& control,
                    const fence_request& request) override {
    fences.push_back(request);
    fence_ids.push_back(resume_id);
    fence_endpoints.push_back(control);
  }
  void FetchDocumentFrom(const endpoint&) override {}
  void RecordEvent(const flow_event&) override {}

  const packet* Last(packet_kind kind) const {
    for (auto item = packets.rbegin(); item != packets.rend(); ++item) {
      if (item->kind == kind) {
        return &*item;
      }
    }
    return nullptr;
  }

  std::vector<packet> packets;
  std::vector<endpoint> forwarded_to;
  std::vector<std::uint64_t> started;
  std::vector<fence_request> fences;
  std::vector<std::uint64_t> fence_ids;
  std::vector<endpoint> fence_endpoints;
};

environment_document MakeDocument(std::size_t targets) {
  environment_document document;
  document.revision = {1};
  service of;
  of.name = "service";
  of.id = kService;
  of.queue_per_slot = 2;
  of.classes.emplace_back();
  for (std::size_t index = 0; index < targets; ++index) {
    target item;
    item.name = "target-" + std::to_string(index);
    item.id = TargetIdOf(item.name);
    item.agent = {static_cast<std::uint32_t>(0x0a000001 + index), 6000};
    item.control = {static_cast<std::uint32_t>(0x0a000001 + index), 6001};
    item.slots = 1;
    item.connections = 100;
    of.targets.push_back(item);
  }
  document.services.push_back(of);
  return document;
}

request_agent_identity IdentityOf(std::size_t index) {
  request_agent_identity identity;
  identity.target = TargetIdOf("target-" + std::to_string(index));
  identity.service = kService;
  identity.incarnation = {100 + index};
  identity.secret[0] = static_cast<std::uint8_t>(index);
  return identity;
}

/// An agent for one of three targets with its recorded effects and counters.
struct agent_fixture {
  explicit agent_fixture(std::size_t index)
      : core(IdentityOf(index), effects, counted) {
    core.Configure(kStart, MakeDocument(3), {});
  }

  void Deliver(packet value, time_point now = kStart) {
    envelope header;
    header.service = kService;
    header.caller = {1, 1};
    header.entry = {2, 2};
    value.service = kService;
    core.OnPacket(now, now, header, value);
  }

  void Open(std::uint64_t flow,
            std::uint16_t attempt,
            const std::optional<flow_token>& token = {}) {
    packet value;
    value.kind = packet_kind::open;
    value.flow = {flow};
    value.attempt = attempt;
    value.sequence = 5;
    value.oldest_sequence = 3;
    value.token = token;
    Deliver(value);
  }

  void Request(std::uint64_t flow,
               const flow_token& token,
               std::uint32_t sequence) {
    packet value;
    value.kind = packet_kind::request;
    value.flow = {flow};
    value.token = token;
    value.sequence = sequence;
    value.oldest_sequence = sequence;
    value.time = 1000ms;
    Deliver(value);
  }

  counters counted;
  recorded_effects effects;
  request_agent core;
};

flow_token TokenOf(std::size_t index, std::uint64_t flow) {
  const request_agent_identity identity = IdentityOf(index);
  return token_authority(identity.target, identity.service,
                         identity.incarnation, identity.secret)
      .Issue({flow}, 1);
}

TEST_CASE("each resumption queries the agent that the open names") {
  agent_fixture fixture(2);
  fixture.Open(7, 2, TokenOf(0, 7));
  REQUIRE(fixture.effects.fences.size() == 1);
  fixture.core.OnFenceReply(kStart, fixture.effects.fence_ids[0], {true, 0});
  const packet* opened = fixture.effects.Last(packet_kind::opened);
  REQUIRE(opened != nullptr);
  CHECK(opened->fenced);
  const std::size_t packets_before = fixture.effects.packets.size();
  // The flow has moved to target-1 since then. The fence reply of target-0 does
  // not cover the requests that target-1 may have started.
  fixture.Open(7, 5, TokenOf(1, 7));
  CHECK(fixture.effects.packets.size() == packets_before);
  REQUIRE(fixture.effects.fences.size() == 2);
  CHECK(fixture.effects.fences[1].token == TokenOf(1, 7));
}

TEST_CASE(
    "a resumed flow does not expire like a reservation while its work waits") {
  agent_fixture fixture(2);
  time_point now = kStart;
  fixture.core.Tick(now);
  fixture.Open(7, 2, TokenOf(0, 7));
  fixture.core.OnFenceReply(now, fixture.effects.fence_ids[0], {true, 0});
  fixture.Open(8, 1);
  for (int step = 0; step < 100; ++step) {
    now += 100ms;
    fixture.core.Tick(now);
  }
  // The plain reservation of flow 8 has expired, the resumed flow has not.
  CHECK(fixture.core.Summary().flows == 1);
  CHECK(fixture.core.Summary().load_permille == 0);
}

TEST_CASE("an open repeated within one resumption gets the same reply") {
  agent_fixture fixture(2);
  fixture.Open(7, 2, TokenOf(0, 7));
  fixture.Open(7, 3, TokenOf(0, 7));
  REQUIRE(fixture.effects.fences.size() == 1);
  fixture.core.OnFenceReply(kStart, fixture.effects.fence_ids[0], {true, 2});
  const packet first = *fixture.effects.Last(packet_kind::opened);
  fixture.Open(7, 4, TokenOf(0, 7));
  const packet second = *fixture.effects.Last(packet_kind::opened);
  CHECK(fixture.effects.fences.size() == 1);
  CHECK(second.token == first.token);
  CHECK(second.selective == 2);
  CHECK(second.attempt == 4);
}

TEST_CASE("the agent of a target removed from the document is still queried") {
  agent_fixture fixture(2);
  environment_document document = MakeDocument(3);
  document.revision = {2};
  document.services[0].targets.erase(document.services[0].targets.begin());
  fixture.core.Configure(kStart, document, {});
  fixture.Open(7, 2, TokenOf(0, 7));
  REQUIRE(fixture.effects.fences.size() == 1);
  CHECK(fixture.effects.fence_endpoints[0] == endpoint{0x0a000001, 6001});
  CHECK(fixture.effects.forwarded_to.empty());
}

TEST_CASE("a request received before its flow was closed does not run again") {
  agent_fixture fixture(0);
  fixture.Open(7, 1);
  const flow_token first = *fixture.effects.Last(packet_kind::opened)->token;
  fixture.Request(7, first, 5);
  REQUIRE(fixture.effects.started.size() == 1);
  fixture.core.OnExecutionResult(
      kStart, fixture.effects.started[0],
      {execution_status::completed, "answer", {}, {}});
  packet close;
  close.kind = packet_kind::close;
  close.flow = {7};
  close.token = first;
  fixture.Deliver(close);
  // Delayed copies of the open and of the request.
  fixture.Open(7, 1);
  fixture.Request(7, first, 5);
  CHECK(fixture.effects.started.size() == 1);
  CHECK(fixture.counted.Get(result_code::unknown_flow) == 1);
}

TEST_CASE("a cancelled request that arrives late is refused") {
  agent_fixture fixture(0);
  fixture.Open(7, 1);
  const flow_token token = *fixture.effects.Last(packet_kind::opened)->token;
  packet cancel;
  cancel.kind = packet_kind::cancel;
  cancel.flow = {7};
  cancel.token = token;
  cancel.sequence = 5;
  fixture.Deliver(cancel);
  fixture.Request(7, token, 5);
  CHECK(fixture.effects.started.empty());
  CHECK(fixture.effects.Last(packet_kind::refused)->code ==
        result_code::cancelled);
}

TEST_CASE(
    "a draining agent starts no request and sends the caller a move packet") {
  agent_fixture fixture(0);
  fixture.Open(7, 1);
  const flow_token token = *fixture.effects.Last(packet_kind::opened)->token;
  fixture.core.SetDrain(drain_reason::backend, true);
  fixture.Request(7, token, 5);
  CHECK(fixture.effects.started.empty());
  CHECK(fixture.effects.Last(packet_kind::refused)->code ==
        result_code::draining);
  fixture.core.Tick(kStart + 1s);
  CHECK(fixture.effects.Last(packet_kind::move) != nullptr);
  fixture.Open(8, 1);
  CHECK(fixture.core.Summary().flows == 1);
  fixture.core.SetDrain(drain_reason::backend, false);
  fixture.Request(7, token, 6);
  CHECK(fixture.effects.started.size() == 1);
}

TEST_CASE("all classes together use no more than the slots") {
  agent_fixture fixture(0);
  environment_document document = MakeDocument(1);
  document.services[0].classes.emplace_back();
  fixture.core.Configure(kStart, document, {});
  for (std::uint64_t flow = 1; flow <= 2; ++flow) {
    fixture.Open(flow, 1);
    packet value;
    value.kind = packet_kind::request;
    value.flow = {flow};
    value.token = fixture.effects.Last(packet_kind::opened)->token;
    value.sequence = 5;
    value.traffic_class = static_cast<std::uint8_t>(flow - 1);
    value.time = 1000ms;
    fixture.Deliver(value);
  }
  CHECK(fixture.effects.started.size() == 1);
  fixture.core.OnExecutionResult(
      kStart, fixture.effects.started[0],
      {execution_status::completed, "answer", {}, {}});
  CHECK(fixture.effects.started.size() == 2);
}

TEST_CASE("flow leases do not run while the agent is suspended") {
  agent_fixture fixture(0);
  fixture.Open(7, 1);
  fixture.Request(7, *fixture.effects.Last(packet_kind::opened)->token, 5);
  time_point now = kStart;
  fixture.core.Tick(now);
  now += 60s;
  fixture.core.Tick(now);
  CHECK(fixture.core.Summary().flows == 1);
  CHECK(fixture.counted.Get(result_code::flow_expired) == 0);
  for (int step = 0; step < 400; ++step) {
    now += 100ms;
    fixture.core.Tick(now);
  }
  CHECK(fixture.core.Summary().flows == 0);
  CHECK(fixture.counted.Get(result_code::flow_expired) == 1);
}

TEST_CASE("a load report is accepted only from the address of the sibling") {
  agent_fixture fixture(0);
  envelope report;
  report.kind = envelope_kind::load_report;
  report.service = kService;
  report.target = TargetIdOf("target-1");
  fixture.core.OnLoadReport(kStart, kStart, {0x0a0000ff, 6000}, report);
  CHECK(fixture.counted.Get(result_code::unknown_peer) == 1);
  // Two flows on one slot: the second would go to a free sibling.
  fixture.Open(7, 1);
  fixture.Request(7, *fixture.effects.Last(packet_kind::opened)->token, 5);
  fixture.Open(8, 1);
  CHECK(fixture.effects.forwarded_to.empty());
  fixture.core.OnLoadReport(kStart, kStart, {0x0a000002, 6000}, report);
  fixture.Open(9, 1);
  REQUIRE(fixture.effects.forwarded_to.size() == 1);
  CHECK(fixture.effects.forwarded_to[0] == endpoint{0x0a000002, 6000});
}

TEST_CASE("an answer counts as answered only when its caller has it") {
  const auto answered_count_after = [](auto&& end) {
    agent_fixture fixture(0);
    fixture.core.Tick(kStart);
    fixture.Open(7, 1);
    const flow_token token = *fixture.effects.Last(packet_kind::opened)->token;
    fixture.Request(7, token, 5);
    fixture.core.OnExecutionResult(
        kStart, fixture.effects.started[0],
        {execution_status::completed, "answer", {}, {}});
    packet value;
    value.flow = {7};
    value.token = token;
    value.sequence = 5;
    end(fixture, value);
    return fixture.counted.Get(result_code::answered);
  };
  CHECK(answered_count_after([](agent_fixture& fixture, packet value) {
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          fixture.Deliver(value);
        }) == 1);
  CHECK(answered_count_after([](agent_fixture& fixture, packet value) {
          value.kind = packet_kind::close;
          fixture.Deliver(value);
        }) == 1);
  // The caller cancelled, but received and acknowledged the answer.
  CHECK(answered_count_after([](agent_fixture& fixture, packet value) {
          value.kind = packet_kind::cancel;
          fixture.Deliver(value);
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          fixture.Deliver(value);
        }) == 1);
  // The caller timed out before the answer arrived and closed the flow.
  CHECK(answered_count_after([](agent_fixture& fixture, packet value) {
          value.kind = packet_kind::close;
          value.code = result_code::answer_timeout;
          fixture.Deliver(value);
        }) == 0);
  // The caller gave up: no packet until the lease expires, or a late
  // acknowledgement with the code of the timeout.
  CHECK(answered_count_after([](agent_fixture& fixture, packet) {
          for (time_point now = kStart; now < kStart + 40s; now += 100ms) {
            fixture.core.Tick(now);
          }
        }) == 0);
  CHECK(answered_count_after([](agent_fixture& fixture, packet value) {
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          value.code = result_code::answer_timeout;
          fixture.Deliver(value);
        }) == 0);
}

TEST_CASE(
    "a feed that delivers messages does not hide that all requests are lost") {
  agent_fixture fixture(0);
  fixture.Open(1, 1);
  packet feed;
  feed.kind = packet_kind::request;
  feed.flow = {1};
  feed.token = fixture.effects.Last(packet_kind::opened)->token;
  feed.sequence = 5;
  feed.work = work_kind::feed;
  feed.time = 60000ms;
  fixture.Deliver(feed);
  for (std::uint64_t flow = 2; flow <= 4; ++flow) {
    fixture.core.OnExecutionResult(
        kStart, fixture.effects.started.back(),
        {execution_status::completed, "", {"message"}, {}});
    const std::uint64_t feed_execution = fixture.effects.started.back();
    fixture.Open(flow, 1);
    fixture.Request(flow, *fixture.effects.Last(packet_kind::opened)->token, 5);
    fixture.core.OnExecutionResult(kStart, fixture.effects.started.back(),
                                   {execution_status::lost, "", {}, {}});
    fixture.effects.started.push_back(feed_execution);
  }
  fixture.core.Tick(kStart);
  CHECK(fixture.core.Summary().drain_reasons ==
        static_cast<std::uint8_t>(drain_reason::failing));
}

TEST_CASE("a backend server in use again after a suspension warms up") {
  agent_fixture fixture(0);
  environment_document document = MakeDocument(3);
  document.services[0].cold_start = 10000ms;
  document.services[0].targets[0].slots = 4;
  fixture.core.Configure(kStart, document, {});
  const time_point warmed_up_at = kStart + 20s;
  for (std::uint64_t flow = 1; flow <= 3; ++flow) {
    fixture.Open(flow, 1);
    fixture.Request(flow, *fixture.effects.Last(packet_kind::opened)->token, 5);
    fixture.core.OnExecutionResult(warmed_up_at, fixture.effects.started.back(),
                                   {execution_status::unreachable, "", {}, {}});
  }
  fixture.core.Tick(warmed_up_at);
  CHECK(fixture.core.Summary().state == lifecycle_state::draining);
  const time_point readmitted_at = warmed_up_at + 2s;
  fixture.core.Tick(readmitted_at);
  CHECK(fixture.core.Summary().state == lifecycle_state::serving);
  const std::size_t started_before = fixture.effects.started.size();
  for (std::uint64_t flow = 11; flow <= 13; ++flow) {
    packet open;
    open.kind = packet_kind::open;
    open.flow = {flow};
    open.sequence = 5;
    fixture.Deliver(open, readmitted_at);
    packet value;
    value.kind = packet_kind::request;
    value.flow = {flow};
    value.token = fixture.effects.Last(packet_kind::opened)->token;
    value.sequence = 5;
    value.time = 1000ms;
    fixture.Deliver(value, readmitted_at);
  }
  CHECK(fixture.effects.started.size() == started_before + 1);
}

TEST_CASE("datagrams received while the agent was suspended reserve nothing") {
  agent_fixture fixture(0);
  envelope header;
  header.service = kService;
  packet open;
  open.kind = packet_kind::open;
  open.service = kService;
  open.flow = {7};
  fixture.core.OnPacket(kStart, kStart - 5s, header, open);
  CHECK(fixture.core.Summary().flows == 0);
  CHECK(fixture.effects.packets.empty());
  envelope report;
  report.kind = envelope_kind::load_report;
  report.service = kService;
  report.target = TargetIdOf("target-1");
  fixture.core.OnLoadReport(kStart, kStart - 5s, {0x0a000002, 6000}, report);
  CHECK(fixture.counted.Get(result_code::stale_datagram) == 2);
  fixture.core.OnPacket(kStart, kStart - 500ms, header, open);
  CHECK(fixture.core.Summary().flows == 1);
}

TEST_CASE("packets for another service or with a forged token are ignored") {
  agent_fixture fixture(0);
  fixture.Open(7, 1);
  const flow_token token = *fixture.effects.Last(packet_kind::opened)->token;
  const std::size_t packets_before = fixture.effects.packets.size();
  packet foreign;
  foreign.kind = packet_kind::request;
  foreign.flow = {7};
  foreign.token = token;
  foreign.sequence = 5;
  foreign.time = 1000ms;
  foreign.service = ServiceIdOf("other");
  envelope header;
  header.service = kService;
  fixture.core.OnPacket(kStart, kStart, header, foreign);
  header.service = ServiceIdOf("other");
  fixture.core.OnPacket(kStart, kStart, header, foreign);
  CHECK(fixture.counted.Get(result_code::wrong_service) == 2);
  flow_token forged = token;
  ++forged.mac;
  fixture.Request(7, forged, 5);
  CHECK(fixture.counted.Get(result_code::bad_token) == 1);
  CHECK(fixture.effects.started.empty());
  CHECK(fixture.effects.packets.size() == packets_before);
}

}  // namespace
}  // namespace corianderplank
