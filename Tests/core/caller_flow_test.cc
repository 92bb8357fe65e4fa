/// @file
/// Tests of caller_flow with recorded output.

#include <doctest/doctest.h>

#include "core/caller_flow.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

/// Returns a token of a target of the service; tokens are opaque to callers.
flow_token TokenOf(std::uint64_t target, std::uint64_t flow) {
  return {{target + 1}, kService, {100 + target}, 1, flow};
}

/// Records the packets and results of a flow.
class recording_caller_effects : public caller_effects {
 public:
  void Send(const packet& value) override { sent.push_back(value); }
  void OnOutcome(const request_outcome& outcome) override {
    outcomes.push_back(outcome);
  }
  void OnFeedMessage(std::uint64_t, std::uint64_t, std::string_view) override {}
  void OnBroken(result_code) override {}
  std::vector<packet> sent;
  std::vector<request_outcome> outcomes;
};

TEST_CASE("a caller closes a second reservation but not the one it uses") {
  recording_caller_effects effects;
  retry_budget budget(0.2, 10);
  counters flow_counters;
  caller_flow flow(kService, {7}, effects, budget, flow_counters);
  request_spec spec;
  spec.request_id = 1;
  spec.timeout = 60s;
  flow.Submit(kStart, spec);
  packet opened;
  opened.kind = packet_kind::opened;
  opened.flow = {7};
  opened.attempt = 1;
  opened.token = TokenOf(0, 7);
  flow.OnPacket(kStart, opened);
  const std::size_t sent = effects.sent.size();
  // A duplicate from the same agent is not a second reservation.
  flow.OnPacket(kStart, opened);
  CHECK(effects.sent.size() == sent);
  opened.token = TokenOf(1, 7);
  flow.OnPacket(kStart, opened);
  REQUIRE(effects.sent.size() == sent + 1);
  CHECK(effects.sent.back().kind == packet_kind::close);
  CHECK(effects.sent.back().token == TokenOf(1, 7));
  CHECK(flow.Target() == TokenOf(0, 7).target);
}

TEST_CASE(
    "a closed flow replies to a late answer with close and answer_timeout") {
  recording_caller_effects effects;
  retry_budget budget(0.2, 10);
  counters flow_counters;
  caller_flow flow(kService, {7}, effects, budget, flow_counters);
  request_spec spec;
  spec.request_id = 1;
  spec.timeout = 1000ms;
  flow.Submit(kStart, spec);
  packet value;
  value.kind = packet_kind::opened;
  value.flow = {7};
  value.attempt = 1;
  value.token = TokenOf(0, 7);
  flow.OnPacket(kStart, value);
  for (time_point now = kStart; now < kStart + 4s; now += 5ms) {
    flow.Tick(now);
  }
  REQUIRE(effects.outcomes.size() == 1);
  CHECK(effects.outcomes[0].code == result_code::answer_timeout);
  flow.Close();
  value.kind = packet_kind::answer;
  value.sequence = 1;
  value.last = true;
  flow.OnPacket(kStart + 5s, value);
  CHECK(effects.sent.back().kind == packet_kind::close);
  CHECK(effects.sent.back().code == result_code::answer_timeout);
}

TEST_CASE("a caller ignores the reply to an open of an earlier resumption") {
  recording_caller_effects effects;
  retry_budget budget(0.2, 10);
  counters flow_counters;
  caller_flow flow(kService, {7}, effects, budget, flow_counters);
  request_spec spec;
  spec.request_id = 1;
  spec.timeout = 60s;
  flow.Submit(kStart, spec);
  const auto opened = [&](std::size_t target, std::uint16_t attempt) {
    packet value;
    value.kind = packet_kind::opened;
    value.flow = {7};
    value.attempt = attempt;
    value.token = TokenOf(target, 7);
    value.fenced = true;
    value.oldest_sequence = 1;
    return value;
  };
  const auto move = [&](std::size_t target) {
    packet value;
    value.kind = packet_kind::move;
    value.flow = {7};
    value.token = TokenOf(target, 7);
    return value;
  };
  flow.OnPacket(kStart, opened(0, 1));
  flow.OnPacket(kStart, move(0));
  const std::uint16_t first_resume = effects.sent.back().attempt;
  flow.OnPacket(kStart, opened(1, first_resume));
  CHECK(flow.Target() == TokenOf(1, 7).target);
  flow.OnPacket(kStart, move(1));
  const std::size_t sent = effects.sent.size();
  // A late reply to the first resumption. It reports which requests target 0
  // has started, but the flow is now leaving target 1.
  flow.OnPacket(kStart, opened(2, first_resume));
  CHECK(flow.State() == caller_state::resuming);
  CHECK(effects.sent.size() == sent);
}

}  // namespace
}  // namespace corianderplank
