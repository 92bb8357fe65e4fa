/// @file
/// One agent against recorded effects: opens, resumption, refusals.

#include <doctest/doctest.h>

#include "core/request_agent.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

/// Keeps what an agent decides.
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
      passed_to.push_back(to);
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
    fenced_at.push_back(control);
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
  std::vector<endpoint> passed_to;
  std::vector<std::uint64_t> started;
  std::vector<fence_request> fences;
  std::vector<std::uint64_t> fence_ids;
  std::vector<endpoint> fenced_at;
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

/// An agent for one of three targets.
struct agent_bench {
  explicit agent_bench(std::size_t index)
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

TEST_CASE("a resumption asks the agent that the open names, each time") {
  agent_bench bench(2);
  bench.Open(7, 2, TokenOf(0, 7));
  REQUIRE(bench.effects.fences.size() == 1);
  bench.core.OnFenceReply(kStart, bench.effects.fence_ids[0], {true, 0});
  const packet* opened = bench.effects.Last(packet_kind::opened);
  REQUIRE(opened != nullptr);
  CHECK(opened->fenced);
  const std::size_t answers = bench.effects.packets.size();
  // The flow went to target-1 instead and comes from there now. What target-0
  // promised says nothing about the requests that target-1 may have started.
  bench.Open(7, 5, TokenOf(1, 7));
  CHECK(bench.effects.packets.size() == answers);
  REQUIRE(bench.effects.fences.size() == 2);
  CHECK(bench.effects.fences[1].token == TokenOf(1, 7));
}

TEST_CASE("a resumed flow outlives a reservation while its work waits") {
  agent_bench bench(2);
  time_point now = kStart;
  bench.core.Tick(now);
  bench.Open(7, 2, TokenOf(0, 7));
  bench.core.OnFenceReply(now, bench.effects.fence_ids[0], {true, 0});
  bench.Open(8, 1);
  for (int step = 0; step < 100; ++step) {
    now += 100ms;
    bench.core.Tick(now);
  }
  // The plain reservation of flow 8 has expired, the resumed flow has not.
  CHECK(bench.core.Summary().flows == 1);
  CHECK(bench.core.Summary().load_permille == 0);
}

TEST_CASE("an open repeated within one resumption gets the same answer") {
  agent_bench bench(2);
  bench.Open(7, 2, TokenOf(0, 7));
  bench.Open(7, 3, TokenOf(0, 7));
  REQUIRE(bench.effects.fences.size() == 1);
  bench.core.OnFenceReply(kStart, bench.effects.fence_ids[0], {true, 2});
  const packet first = *bench.effects.Last(packet_kind::opened);
  bench.Open(7, 4, TokenOf(0, 7));
  const packet second = *bench.effects.Last(packet_kind::opened);
  CHECK(bench.effects.fences.size() == 1);
  CHECK(second.token == first.token);
  CHECK(second.selective == 2);
  CHECK(second.attempt == 4);
}

TEST_CASE("the agent of a target that left the document is still asked") {
  agent_bench bench(2);
  environment_document document = MakeDocument(3);
  document.revision = {2};
  document.services[0].targets.erase(document.services[0].targets.begin());
  bench.core.Configure(kStart, document, {});
  bench.Open(7, 2, TokenOf(0, 7));
  REQUIRE(bench.effects.fences.size() == 1);
  CHECK(bench.effects.fenced_at[0] == endpoint{0x0a000001, 6001});
  CHECK(bench.effects.passed_to.empty());
}

TEST_CASE("a request that came before its flow was closed does not run again") {
  agent_bench bench(0);
  bench.Open(7, 1);
  const flow_token first = *bench.effects.Last(packet_kind::opened)->token;
  bench.Request(7, first, 5);
  REQUIRE(bench.effects.started.size() == 1);
  bench.core.OnExecutionResult(kStart, bench.effects.started[0],
                               {execution_status::completed, "answer", {}, {}});
  packet close;
  close.kind = packet_kind::close;
  close.flow = {7};
  close.token = first;
  bench.Deliver(close);
  // Late copies of the open and of the request.
  bench.Open(7, 1);
  bench.Request(7, first, 5);
  CHECK(bench.effects.started.size() == 1);
  CHECK(bench.counted.Get(result_code::unknown_flow) == 1);
}

TEST_CASE("a cancelled request that arrives late is refused") {
  agent_bench bench(0);
  bench.Open(7, 1);
  const flow_token token = *bench.effects.Last(packet_kind::opened)->token;
  packet cancel;
  cancel.kind = packet_kind::cancel;
  cancel.flow = {7};
  cancel.token = token;
  cancel.sequence = 5;
  bench.Deliver(cancel);
  bench.Request(7, token, 5);
  CHECK(bench.effects.started.empty());
  CHECK(bench.effects.Last(packet_kind::refused)->code ==
        result_code::cancelled);
}

TEST_CASE("a draining agent starts nothing and asks the caller to move") {
  agent_bench bench(0);
  bench.Open(7, 1);
  const flow_token token = *bench.effects.Last(packet_kind::opened)->token;
  bench.core.SetDrain(drain_reason::backend, true);
  bench.Request(7, token, 5);
  CHECK(bench.effects.started.empty());
  CHECK(bench.effects.Last(packet_kind::refused)->code ==
        result_code::draining);
  bench.core.Tick(kStart + 1s);
  CHECK(bench.effects.Last(packet_kind::move) != nullptr);
  bench.Open(8, 1);
  CHECK(bench.core.Summary().flows == 1);
  bench.core.SetDrain(drain_reason::backend, false);
  bench.Request(7, token, 6);
  CHECK(bench.effects.started.size() == 1);
}

TEST_CASE("classes together take no more than the slots") {
  agent_bench bench(0);
  environment_document document = MakeDocument(1);
  document.services[0].classes.emplace_back();
  bench.core.Configure(kStart, document, {});
  for (std::uint64_t flow = 1; flow <= 2; ++flow) {
    bench.Open(flow, 1);
    packet value;
    value.kind = packet_kind::request;
    value.flow = {flow};
    value.token = bench.effects.Last(packet_kind::opened)->token;
    value.sequence = 5;
    value.traffic_class = static_cast<std::uint8_t>(flow - 1);
    value.time = 1000ms;
    bench.Deliver(value);
  }
  CHECK(bench.effects.started.size() == 1);
  bench.core.OnExecutionResult(kStart, bench.effects.started[0],
                               {execution_status::completed, "answer", {}, {}});
  CHECK(bench.effects.started.size() == 2);
}

TEST_CASE("a pause of the agent does not use up its flows' leases") {
  agent_bench bench(0);
  bench.Open(7, 1);
  bench.Request(7, *bench.effects.Last(packet_kind::opened)->token, 5);
  time_point now = kStart;
  bench.core.Tick(now);
  now += 60s;
  bench.core.Tick(now);
  CHECK(bench.core.Summary().flows == 1);
  CHECK(bench.counted.Get(result_code::flow_expired) == 0);
  for (int step = 0; step < 400; ++step) {
    now += 100ms;
    bench.core.Tick(now);
  }
  CHECK(bench.core.Summary().flows == 0);
  CHECK(bench.counted.Get(result_code::flow_expired) == 1);
}

TEST_CASE("a load is believed only from the sibling itself") {
  agent_bench bench(0);
  envelope report;
  report.kind = envelope_kind::load_report;
  report.service = kService;
  report.target = TargetIdOf("target-1");
  bench.core.OnLoadReport(kStart, kStart, {0x0a0000ff, 6000}, report);
  CHECK(bench.counted.Get(result_code::unknown_peer) == 1);
  // Two flows on one slot: the second would go to a free sibling.
  bench.Open(7, 1);
  bench.Request(7, *bench.effects.Last(packet_kind::opened)->token, 5);
  bench.Open(8, 1);
  CHECK(bench.effects.passed_to.empty());
  bench.core.OnLoadReport(kStart, kStart, {0x0a000002, 6000}, report);
  bench.Open(9, 1);
  REQUIRE(bench.effects.passed_to.size() == 1);
  CHECK(bench.effects.passed_to[0] == endpoint{0x0a000002, 6000});
}

TEST_CASE("an answer counts only when its caller has it") {
  const auto answered_after = [](auto&& end) {
    agent_bench bench(0);
    bench.core.Tick(kStart);
    bench.Open(7, 1);
    const flow_token token = *bench.effects.Last(packet_kind::opened)->token;
    bench.Request(7, token, 5);
    bench.core.OnExecutionResult(
        kStart, bench.effects.started[0],
        {execution_status::completed, "answer", {}, {}});
    packet value;
    value.flow = {7};
    value.token = token;
    value.sequence = 5;
    end(bench, value);
    return bench.counted.Get(result_code::answered);
  };
  CHECK(answered_after([](agent_bench& bench, packet value) {
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          bench.Deliver(value);
        }) == 1);
  CHECK(answered_after([](agent_bench& bench, packet value) {
          value.kind = packet_kind::close;
          bench.Deliver(value);
        }) == 1);
  // The answer came although its caller had cancelled.
  CHECK(answered_after([](agent_bench& bench, packet value) {
          value.kind = packet_kind::cancel;
          bench.Deliver(value);
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          bench.Deliver(value);
        }) == 1);
  // Closed by a caller that had ended the work before its answer came.
  CHECK(answered_after([](agent_bench& bench, packet value) {
          value.kind = packet_kind::close;
          value.code = result_code::answer_timeout;
          bench.Deliver(value);
        }) == 0);
  // Its caller went on without it: silence, or a late acknowledgement.
  CHECK(answered_after([](agent_bench& bench, packet) {
          for (time_point now = kStart; now < kStart + 40s; now += 100ms) {
            bench.core.Tick(now);
          }
        }) == 0);
  CHECK(answered_after([](agent_bench& bench, packet value) {
          value.kind = packet_kind::acknowledge;
          value.fragment = 1;
          value.code = result_code::answer_timeout;
          bench.Deliver(value);
        }) == 0);
}

TEST_CASE("a feed that flows does not hide that all requests are lost") {
  agent_bench bench(0);
  bench.Open(1, 1);
  packet feed;
  feed.kind = packet_kind::request;
  feed.flow = {1};
  feed.token = bench.effects.Last(packet_kind::opened)->token;
  feed.sequence = 5;
  feed.work = work_kind::feed;
  feed.time = 60000ms;
  bench.Deliver(feed);
  for (std::uint64_t flow = 2; flow <= 4; ++flow) {
    bench.core.OnExecutionResult(
        kStart, bench.effects.started.back(),
        {execution_status::completed, "", {"message"}, {}});
    const std::uint64_t feed_execution = bench.effects.started.back();
    bench.Open(flow, 1);
    bench.Request(flow, *bench.effects.Last(packet_kind::opened)->token, 5);
    bench.core.OnExecutionResult(kStart, bench.effects.started.back(),
                                 {execution_status::lost, "", {}, {}});
    bench.effects.started.push_back(feed_execution);
  }
  bench.core.Tick(kStart);
  CHECK(bench.core.Summary().drain_reasons ==
        static_cast<std::uint8_t>(drain_reason::failing));
}

TEST_CASE("a backend server that comes back is cold") {
  agent_bench bench(0);
  environment_document document = MakeDocument(3);
  document.services[0].cold_start = 10000ms;
  document.services[0].targets[0].slots = 4;
  bench.core.Configure(kStart, document, {});
  const time_point warm = kStart + 20s;
  for (std::uint64_t flow = 1; flow <= 3; ++flow) {
    bench.Open(flow, 1);
    bench.Request(flow, *bench.effects.Last(packet_kind::opened)->token, 5);
    bench.core.OnExecutionResult(warm, bench.effects.started.back(),
                                 {execution_status::unreachable, "", {}, {}});
  }
  bench.core.Tick(warm);
  CHECK(bench.core.Summary().state == lifecycle_state::draining);
  const time_point later = warm + 2s;
  bench.core.Tick(later);
  CHECK(bench.core.Summary().state == lifecycle_state::serving);
  const std::size_t before = bench.effects.started.size();
  for (std::uint64_t flow = 11; flow <= 13; ++flow) {
    packet open;
    open.kind = packet_kind::open;
    open.flow = {flow};
    open.sequence = 5;
    bench.Deliver(open, later);
    packet value;
    value.kind = packet_kind::request;
    value.flow = {flow};
    value.token = bench.effects.Last(packet_kind::opened)->token;
    value.sequence = 5;
    value.time = 1000ms;
    bench.Deliver(value, later);
  }
  CHECK(bench.effects.started.size() == before + 1);
}

TEST_CASE("what lay in the socket of a sleeping agent reserves nothing") {
  agent_bench bench(0);
  envelope header;
  header.service = kService;
  packet open;
  open.kind = packet_kind::open;
  open.service = kService;
  open.flow = {7};
  bench.core.OnPacket(kStart, kStart - 5s, header, open);
  CHECK(bench.core.Summary().flows == 0);
  CHECK(bench.effects.packets.empty());
  envelope report;
  report.kind = envelope_kind::load_report;
  report.service = kService;
  report.target = TargetIdOf("target-1");
  bench.core.OnLoadReport(kStart, kStart - 5s, {0x0a000002, 6000}, report);
  CHECK(bench.counted.Get(result_code::stale_datagram) == 2);
  bench.core.OnPacket(kStart, kStart - 500ms, header, open);
  CHECK(bench.core.Summary().flows == 1);
}

TEST_CASE("packets for another service or with a forged token do nothing") {
  agent_bench bench(0);
  bench.Open(7, 1);
  const flow_token token = *bench.effects.Last(packet_kind::opened)->token;
  const std::size_t answers = bench.effects.packets.size();
  packet foreign;
  foreign.kind = packet_kind::request;
  foreign.flow = {7};
  foreign.token = token;
  foreign.sequence = 5;
  foreign.time = 1000ms;
  foreign.service = ServiceIdOf("other");
  envelope header;
  header.service = kService;
  bench.core.OnPacket(kStart, kStart, header, foreign);
  header.service = ServiceIdOf("other");
  bench.core.OnPacket(kStart, kStart, header, foreign);
  CHECK(bench.counted.Get(result_code::wrong_service) == 2);
  flow_token forged = token;
  ++forged.mac;
  bench.Request(7, forged, 5);
  CHECK(bench.counted.Get(result_code::bad_token) == 1);
  CHECK(bench.effects.started.empty());
  CHECK(bench.effects.packets.size() == answers);
}

}  // namespace
}  // namespace corianderplank
