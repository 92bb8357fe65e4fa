/// @file
/// The request scheduler with a learned pace.

#include <doctest/doctest.h>

#include <map>

#include "core/request_scheduler.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const time_point kStart = time_point() + 1h;
constexpr std::uint32_t kSlots = 3;
constexpr milliseconds kLatencyTarget{200};

flow_address FlowOf(std::uint32_t number) {
  return {{number, 1}, {9, 443}};
}

/// All power was lost: 40 requests that waited meanwhile arrive together, and
/// new ones every 25 ms. The target has just started too and needs 64 ms for a
/// request during 2 s, then 40 ms.
/// @return number of requests answered within the latency target.
int OnTimeAfterTotalLoss(bool learned) {
  request_scheduler scheduler;
  if (learned) {
    scheduler.LearnPace();
  }
  scheduler.SetSlots(kSlots);
  scheduler.OnTargetStarted(kStart, 1000, 0ms);
  std::map<std::uint32_t, milliseconds> began;
  std::multimap<milliseconds, std::uint32_t> running;
  std::vector<std::uint32_t> at_target;
  std::uint32_t count = 0;
  int on_time = 0;
  const auto offer = [&](milliseconds now, milliseconds waited) {
    const std::uint32_t number = ++count;
    began[number] = now - waited;
    if (scheduler.Admit(kStart + now, FlowOf(number), {1, kLatencyTarget},
                        waited)) {
      at_target.push_back(number);
    }
  };
  for (milliseconds now{0}; now < 4s; ++now) {
    while (!running.empty() && running.begin()->first <= now) {
      const std::uint32_t number = running.begin()->second;
      running.erase(running.begin());
      scheduler.Finish(kStart + now, FlowOf(number));
      on_time += now - began[number] <= kLatencyTarget ? 1 : 0;
    }
    for (int index = 0; now == 0ms && index < 40; ++index) {
      offer(now, 300ms);
    }
    if (now % 25 == 0ms) {
      offer(now, 0ms);
    }
    while (const auto flow = scheduler.StartNext(kStart + now)) {
      at_target.push_back(flow->client.address);
    }
    while (!at_target.empty() && running.size() < kSlots) {
      running.emplace(now + (now < 2s ? 64ms : 40ms), at_target.front());
      at_target.erase(at_target.begin());
    }
  }
  return on_time;
}

// The worst seconds of a day: every slot is waited for.
TEST_CASE("after a total loss a learned pace serves as many in time") {
  const int by_slots = OnTimeAfterTotalLoss(false);
  const int by_answers = OnTimeAfterTotalLoss(true);
  MESSAGE(by_answers, " by answers, ", by_slots, " by slots");
  CHECK(by_answers >= by_slots);
}

// A started target gets requests from every entry at once.
TEST_CASE("a started target gets half of its slots until it has answered") {
  request_scheduler scheduler;
  scheduler.LearnPace();
  scheduler.SetSlots(8);
  scheduler.OnTargetStarted(kStart, 1000, 0ms);
  for (std::uint32_t number = 1; number <= 8; ++number) {
    scheduler.Admit(kStart, FlowOf(number), {}, 0ms);
  }
  CHECK(scheduler.ForwardedCount() == 5);
  CHECK(scheduler.IsFull());
  // Two answers raise it by 1 and 2 requests.
  for (std::uint32_t number = 1; number <= 2; ++number) {
    scheduler.Finish(kStart + 15ms, FlowOf(number));
    while (scheduler.StartNext(kStart + 15ms)) {
    }
  }
  CHECK(scheduler.Pace().Limit() == 7);
  CHECK(scheduler.QueuedCount() == 0);
}

// Requests of 60 ms are not late because those of another route take 5 ms.
TEST_CASE("the chance to be on time is estimated by route") {
  request_scheduler scheduler;
  scheduler.LearnPace();
  scheduler.SetSlots(1);
  scheduler.OnTargetStarted(kStart, 1000, 60s);
  const flow_address slow_route{{1, 1}, {8, 443}};
  time_point now = kStart;
  for (std::uint32_t round = 0; round < 20; ++round) {
    scheduler.Admit(now, FlowOf(2), {}, 0ms);
    scheduler.Finish(now + 5ms, FlowOf(2));
    scheduler.Admit(now, slow_route, {}, 0ms);
    scheduler.Finish(now + 60ms, slow_route);
    now += 100ms;
  }
  scheduler.Admit(now, FlowOf(3), {}, 0ms);
  scheduler.Admit(now, FlowOf(4), {}, 0ms);
  // 40 ms are left to each: enough for the short one only.
  scheduler.Admit(now, slow_route, {0, 200ms}, 160ms);
  scheduler.Admit(now, FlowOf(5), {1, 200ms}, 160ms);
  scheduler.Cancel(FlowOf(3));
  scheduler.Cancel(FlowOf(4));
  const auto next = scheduler.StartNext(now);
  REQUIRE(next);
  CHECK(*next == FlowOf(5));
}

}  // namespace
}  // namespace corianderplank
