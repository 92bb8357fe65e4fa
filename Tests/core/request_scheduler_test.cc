/// @file
/// Order and capacity of the request scheduler, and its results under the load
/// after a total loss compared with a first-come, first-served queue.

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <queue>

#include "core/request_scheduler.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const time_point kStart = time_point() + 1h;

flow_address FlowOf(std::uint32_t number) {
  return {{number, 1}, {1, 1}};
}

TEST_CASE("all requests are admitted while the slot count is unknown") {
  request_scheduler scheduler;
  for (std::uint32_t flow = 1; flow < 100; ++flow) {
    CHECK(scheduler.Admit(kStart, FlowOf(flow), {}, 0ms));
  }
}

TEST_CASE("requests beyond the slots and a quarter wait until one ends") {
  request_scheduler scheduler;
  scheduler.SetSlots(4);
  for (std::uint32_t flow = 1; flow <= 5; ++flow) {
    CHECK(scheduler.Admit(kStart, FlowOf(flow), {}, 0ms));
  }
  CHECK_FALSE(scheduler.Admit(kStart, FlowOf(6), {}, 0ms));
  CHECK_FALSE(scheduler.StartNext(kStart).has_value());
  scheduler.Finish(kStart, FlowOf(3));
  CHECK(scheduler.StartNext(kStart) == FlowOf(6));
  CHECK(scheduler.QueuedCount() == 0);
}

TEST_CASE("a request without an answer releases its slot after a timeout") {
  request_scheduler scheduler;
  scheduler.SetSlots(1);
  CHECK(scheduler.Admit(kStart, FlowOf(1), {}, 0ms));
  CHECK(scheduler.Admit(kStart, FlowOf(2), {}, 0ms));
  CHECK_FALSE(scheduler.Admit(kStart, FlowOf(3), {}, 0ms));
  CHECK_FALSE(scheduler.StartNext(kStart + 999ms).has_value());
  CHECK(scheduler.StartNext(kStart + 1001ms) == FlowOf(3));
}

TEST_CASE("on-time requests go first by priority, late ones follow") {
  request_scheduler scheduler;
  scheduler.SetSlots(1);
  scheduler.Admit(kStart, FlowOf(1), {}, 0ms);
  scheduler.Admit(kStart, FlowOf(2), {}, 0ms);
  scheduler.Admit(kStart, FlowOf(10), {2, 100ms}, 0ms);
  scheduler.Admit(kStart + 1ms, FlowOf(11), {1, 100ms}, 0ms);
  scheduler.Admit(kStart + 90ms, FlowOf(12), {2, 100ms}, 0ms);
  scheduler.Admit(kStart + 91ms, FlowOf(13), {1, 100ms}, 0ms);
  std::vector<flow_address> order;
  scheduler.Cancel(FlowOf(1));
  scheduler.Cancel(FlowOf(2));
  while (const auto flow = scheduler.StartNext(kStart + 120ms)) {
    order.push_back(*flow);
    scheduler.Cancel(*flow);
  }
  CHECK(order == std::vector<flow_address>{FlowOf(13), FlowOf(12), FlowOf(11),
                                           FlowOf(10)});
}

TEST_CASE("late requests use only free slots, on-time ones also extra places") {
  request_scheduler scheduler;
  scheduler.SetSlots(4);
  for (std::uint32_t flow = 1; flow <= 4; ++flow) {
    CHECK(scheduler.Admit(kStart, FlowOf(flow), {2, 100ms}, 200ms));
  }
  CHECK_FALSE(scheduler.Admit(kStart, FlowOf(5), {2, 100ms}, 200ms));
  CHECK(scheduler.CountAheadOfNew(kStart) == 4);
  CHECK(scheduler.Admit(kStart, FlowOf(6), {2, 100ms}, 0ms));
  CHECK_FALSE(scheduler.Admit(kStart, FlowOf(7), {2, 100ms}, 0ms));
  CHECK(scheduler.CountAheadOfNew(kStart) == 6);
  scheduler.Finish(kStart + 1ms, FlowOf(1));
  CHECK(scheduler.StartNext(kStart + 1ms) == FlowOf(7));
  scheduler.Finish(kStart + 2ms, FlowOf(2));
  CHECK_FALSE(scheduler.StartNext(kStart + 2ms).has_value());
  scheduler.Finish(kStart + 3ms, FlowOf(3));
  CHECK(scheduler.StartNext(kStart + 3ms) == FlowOf(5));
}

TEST_CASE(
    "a possibly on-time request goes after a likely one, before a late one") {
  request_scheduler scheduler;
  scheduler.SetSlots(1);
  // One sample of 40 ms: nearly all requests within 80 ms, some within 20 ms.
  scheduler.Admit(kStart, FlowOf(1), {}, 0ms);
  scheduler.Finish(kStart + 40ms, FlowOf(1));
  const time_point now = kStart + 40ms;
  scheduler.Admit(now, FlowOf(1), {}, 0ms);
  scheduler.Admit(now, FlowOf(2), {}, 0ms);
  scheduler.Admit(now, FlowOf(10), {1, 150ms}, 140ms);
  scheduler.Admit(now, FlowOf(11), {1, 150ms}, 90ms);
  scheduler.Admit(now, FlowOf(12), {1, 150ms}, 10ms);
  scheduler.Cancel(FlowOf(1));
  scheduler.Cancel(FlowOf(2));
  std::vector<flow_address> order;
  while (const auto flow = scheduler.StartNext(now)) {
    order.push_back(*flow);
    scheduler.Cancel(*flow);
  }
  CHECK(order == std::vector<flow_address>{FlowOf(12), FlowOf(11), FlowOf(10)});
}

/// One request of the load below.
struct offered_request {
  milliseconds at{0};
  bool late = false;       ///< Missed its latency target before arrival.
  milliseconds waited{0};  ///< As reported to the scheduler.
};

/// Recovery after a total loss: requests that had to wait arrive all at once
/// and new ones continue at three fifths of the capacity.
std::vector<offered_request> ReturnAfterTotalLoss() {
  std::vector<offered_request> load(60, {0ms, true, 0ms});
  for (int at = 0; at < 2000; at += 20) {
    load.push_back({milliseconds(at), false, 0ms});
  }
  return load;
}

constexpr std::size_t kSlots = 4;
constexpr milliseconds kServiceTime{48};
constexpr milliseconds kLatencyTarget{150};
constexpr milliseconds kDeadline{2500};

/// Value of an answer to the client: 1 on time, 0.3 later.
double Credit(const offered_request& request, milliseconds finished) {
  const milliseconds took = finished - request.at;
  if (took > kDeadline) {
    return 0;
  }
  return request.late || took > kLatencyTarget ? 0.3 : 1.0;
}

/// Target with slots and a first-come, first-served queue.
struct simulated_target {
  /// @return total credit of all requests.
  double Run(const std::vector<offered_request>& load, bool scheduled) {
    request_scheduler scheduler;
    scheduler.SetSlots(scheduled ? kSlots : 0);
    double credit = 0;
    std::size_t offered = 0;
    std::deque<std::uint32_t> queue;
    std::map<std::uint32_t, milliseconds> running;
    for (milliseconds now{0}; now < 6s; ++now) {
      for (auto item = running.begin(); item != running.end();) {
        if (item->second > now) {
          ++item;
          continue;
        }
        credit += Credit(load[item->first], now);
        scheduler.Finish(kStart + now, FlowOf(item->first));
        item = running.erase(item);
      }
      while (offered < load.size() && load[offered].at <= now) {
        const auto number = static_cast<std::uint32_t>(offered++);
        if (scheduler.Admit(kStart + now, FlowOf(number), {2, kLatencyTarget},
                            load[number].waited)) {
          queue.push_back(number);
        }
      }
      while (const auto flow = scheduler.StartNext(kStart + now)) {
        queue.push_back(flow->client.address);
      }
      while (!queue.empty() && running.size() < kSlots) {
        running[queue.front()] = now + kServiceTime;
        queue.pop_front();
      }
    }
    return credit;
  }
};

TEST_CASE("recovery after a total loss: fresh requests are served on time") {
  const std::vector<offered_request> load = ReturnAfterTotalLoss();
  const double first_come = simulated_target().Run(load, false);
  const double scheduled = simulated_target().Run(load, true);
  // Optimum: each fresh request is served at once, the late ones in between.
  const double best = 100 * 1.0 + 60 * 0.3;
  MESSAGE("first come ", first_come, " scheduled ", scheduled, " best ", best);
  CHECK(scheduled > 0.9 * best);
  CHECK(first_come < 0.75 * best);
}

/// The same load over a longer time, where half of the requests that had to
/// wait arrive on flows reopened by a retransmitted packet, whose age is known.
std::vector<offered_request> ReturnWithRepeats(bool age_is_known) {
  std::vector<offered_request> load;
  for (int at = 0; at < 1000; at += 5) {
    const bool late = at % 10 == 0;
    load.push_back({milliseconds(at), late,
                    late && age_is_known ? milliseconds(600) : 0ms});
  }
  return load;
}

TEST_CASE("recovery after a total loss: known ages keep late requests last") {
  const double without_ages =
      simulated_target().Run(ReturnWithRepeats(false), true);
  const double with_ages =
      simulated_target().Run(ReturnWithRepeats(true), true);
  // The last fresh request may end one latency target after the last arrival.
  const std::size_t capacity =
      kSlots * (1000 + kLatencyTarget.count()) / kServiceTime.count();
  // As many fresh requests as possible on time, and all others later.
  const double best = capacity * 1.0 + (200 - capacity) * 0.3;
  MESSAGE("without ages ", without_ages, " with ages ", with_ages, " best ",
          best);
  CHECK(with_ages > 0.9 * best);
  CHECK(with_ages > 1.2 * without_ages);
}

TEST_CASE("a burst beyond the capacity: requests served are on time") {
  // One and a half times the target's capacity for 3 s.
  std::vector<offered_request> load;
  for (int at = 0; at < 3000; at += 8) {
    load.push_back({milliseconds(at), false, 0ms});
  }
  const double scheduled = simulated_target().Run(load, true);
  const std::size_t capacity = kSlots * 3000 / kServiceTime.count();
  const double all_in_time = static_cast<double>(capacity);
  MESSAGE("scheduled ", scheduled, " all that fit in time ", all_in_time);
  CHECK(scheduled > 0.9 * all_in_time);
}

}  // namespace
}  // namespace corianderplank
