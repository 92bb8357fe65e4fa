/// @file
/// One flow of a caller against recorded effects.

#include <doctest/doctest.h>

#include "core/caller_flow.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

/// A token of one of the service's targets; callers do not look inside.
flow_token TokenOf(std::uint64_t target, std::uint64_t flow) {
  return {{target + 1}, kService, {100 + target}, 1, flow};
}

/// Keeps what a caller's flow decides.
class recorded_caller : public caller_effects {
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

TEST_CASE("a caller gives back a second reservation, but none that it uses") {
  recorded_caller effects;
  retry_budget budget(0.2, 10);
  counters counted;
  caller_flow flow(kService, {7}, effects, budget, counted);
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
  // The same agent again: a copy, nothing to give back.
  flow.OnPacket(kStart, opened);
  CHECK(effects.sent.size() == sent);
  opened.token = TokenOf(1, 7);
  flow.OnPacket(kStart, opened);
  REQUIRE(effects.sent.size() == sent + 1);
  CHECK(effects.sent.back().kind == packet_kind::close);
  CHECK(effects.sent.back().token == TokenOf(1, 7));
  CHECK(flow.Target() == TokenOf(0, 7).target);
}

TEST_CASE("a closed flow says of a late answer that nobody waited for it") {
  recorded_caller effects;
  retry_budget budget(0.2, 10);
  counters counted;
  caller_flow flow(kService, {7}, effects, budget, counted);
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

TEST_CASE("a caller takes no answer to an open of an earlier resumption") {
  recorded_caller effects;
  retry_budget budget(0.2, 10);
  counters counted;
  caller_flow flow(kService, {7}, effects, budget, counted);
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
  // Late, from a reservation of the first resumption: it tells of target-0.
  flow.OnPacket(kStart, opened(2, first_resume));
  CHECK(flow.State() == caller_state::resuming);
  CHECK(effects.sent.size() == sent);
}

}  // namespace
}  // namespace corianderplank
