/// @file
/// The gate in front of a target: order, places, and the load after a total
/// loss, against a queue that is first come, first served.

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

TEST_CASE("all pass while slots are not known") {
  request_scheduler gate;
  for (std::uint32_t flow = 1; flow < 100; ++flow) {
    CHECK(gate.Admit(kStart, FlowOf(flow), {}, 0ms));
  }
}

TEST_CASE("more than the slots and a quarter wait until one has ended") {
  request_scheduler gate;
  gate.SetSlots(4);
  for (std::uint32_t flow = 1; flow <= 5; ++flow) {
    CHECK(gate.Admit(kStart, FlowOf(flow), {}, 0ms));
  }
  CHECK_FALSE(gate.Admit(kStart, FlowOf(6), {}, 0ms));
  CHECK_FALSE(gate.StartNext(kStart).has_value());
  gate.Finish(kStart, FlowOf(3));
  CHECK(gate.StartNext(kStart) == FlowOf(6));
  CHECK(gate.QueuedCount() == 0);
}

TEST_CASE("a request without an answer gives its place back in time") {
  request_scheduler gate;
  gate.SetSlots(1);
  CHECK(gate.Admit(kStart, FlowOf(1), {}, 0ms));
  CHECK(gate.Admit(kStart, FlowOf(2), {}, 0ms));
  CHECK_FALSE(gate.Admit(kStart, FlowOf(3), {}, 0ms));
  CHECK_FALSE(gate.StartNext(kStart + 999ms).has_value());
  CHECK(gate.StartNext(kStart + 1001ms) == FlowOf(3));
}

TEST_CASE("those in time go first, by priority, then those that are late") {
  request_scheduler gate;
  gate.SetSlots(1);
  gate.Admit(kStart, FlowOf(1), {}, 0ms);
  gate.Admit(kStart, FlowOf(2), {}, 0ms);
  gate.Admit(kStart, FlowOf(10), {2, 100ms}, 0ms);
  gate.Admit(kStart + 1ms, FlowOf(11), {1, 100ms}, 0ms);
  gate.Admit(kStart + 90ms, FlowOf(12), {2, 100ms}, 0ms);
  gate.Admit(kStart + 91ms, FlowOf(13), {1, 100ms}, 0ms);
  std::vector<flow_address> order;
  gate.Cancel(FlowOf(1));
  gate.Cancel(FlowOf(2));
  while (const auto flow = gate.StartNext(kStart + 120ms)) {
    order.push_back(*flow);
    gate.Cancel(*flow);
  }
  CHECK(order == std::vector<flow_address>{FlowOf(13), FlowOf(12), FlowOf(11),
                                           FlowOf(10)});
}

TEST_CASE("late requests get free slots only, one in time goes ahead") {
  request_scheduler gate;
  gate.SetSlots(4);
  for (std::uint32_t flow = 1; flow <= 4; ++flow) {
    CHECK(gate.Admit(kStart, FlowOf(flow), {2, 100ms}, 200ms));
  }
  CHECK_FALSE(gate.Admit(kStart, FlowOf(5), {2, 100ms}, 200ms));
  CHECK(gate.CountAheadOfNew(kStart) == 4);
  CHECK(gate.Admit(kStart, FlowOf(6), {2, 100ms}, 0ms));
  CHECK_FALSE(gate.Admit(kStart, FlowOf(7), {2, 100ms}, 0ms));
  CHECK(gate.CountAheadOfNew(kStart) == 6);
  gate.Finish(kStart + 1ms, FlowOf(1));
  CHECK(gate.StartNext(kStart + 1ms) == FlowOf(7));
  gate.Finish(kStart + 2ms, FlowOf(2));
  CHECK_FALSE(gate.StartNext(kStart + 2ms).has_value());
  gate.Finish(kStart + 3ms, FlowOf(3));
  CHECK(gate.StartNext(kStart + 3ms) == FlowOf(5));
}

TEST_CASE(
    "a request that may be in time goes after a sure one, before a late") {
  request_scheduler gate;
  gate.SetSlots(1);
  // One sample of 40 ms: nearly all requests within 80 ms, some within 20 ms.
  gate.Admit(kStart, FlowOf(1), {}, 0ms);
  gate.Finish(kStart + 40ms, FlowOf(1));
  const time_point now = kStart + 40ms;
  gate.Admit(now, FlowOf(1), {}, 0ms);
  gate.Admit(now, FlowOf(2), {}, 0ms);
  gate.Admit(now, FlowOf(10), {1, 150ms}, 140ms);
  gate.Admit(now, FlowOf(11), {1, 150ms}, 90ms);
  gate.Admit(now, FlowOf(12), {1, 150ms}, 10ms);
  gate.Cancel(FlowOf(1));
  gate.Cancel(FlowOf(2));
  std::vector<flow_address> order;
  while (const auto flow = gate.StartNext(now)) {
    order.push_back(*flow);
    gate.Cancel(*flow);
  }
  CHECK(order == std::vector<flow_address>{FlowOf(12), FlowOf(11), FlowOf(10)});
}

/// One request of the load below.
struct offered_request {
  milliseconds at{0};
  bool late = false;       ///< It has lost its aim before it came.
  milliseconds waited{0};  ///< As far as the gate is told.
};

/// Return after a total loss: requests that had to wait come all at once, and
/// new ones go on at three fifths of the capacity.
std::vector<offered_request> ReturnAfterTotalLoss() {
  std::vector<offered_request> load(60, {0ms, true, 0ms});
  for (int at = 0; at < 2000; at += 20) {
    load.push_back({milliseconds(at), false, 0ms});
  }
  return load;
}

constexpr std::size_t kSlots = 4;
constexpr milliseconds kWork{48};
constexpr milliseconds kAim{150};
constexpr milliseconds kDeadline{2500};

/// Credit as a client counts it: 1 in time, 0.3 later.
double Credit(const offered_request& request, milliseconds finished) {
  const milliseconds took = finished - request.at;
  if (took > kDeadline) {
    return 0;
  }
  return request.late || took > kAim ? 0.3 : 1.0;
}

/// A target with slots and a queue that is first come, first served.
struct played_target {
  /// @return the credit of all requests.
  double Play(const std::vector<offered_request>& load, bool gated) {
    request_scheduler gate;
    gate.SetSlots(gated ? kSlots : 0);
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
        gate.Finish(kStart + now, FlowOf(item->first));
        item = running.erase(item);
      }
      while (offered < load.size() && load[offered].at <= now) {
        const auto number = static_cast<std::uint32_t>(offered++);
        if (gate.Admit(kStart + now, FlowOf(number), {2, kAim},
                       load[number].waited)) {
          queue.push_back(number);
        }
      }
      while (const auto flow = gate.StartNext(kStart + now)) {
        queue.push_back(flow->client.address);
      }
      while (!queue.empty() && running.size() < kSlots) {
        running[queue.front()] = now + kWork;
        queue.pop_front();
      }
    }
    return credit;
  }
};

TEST_CASE("return after a total loss: fresh requests are served in time") {
  const std::vector<offered_request> load = ReturnAfterTotalLoss();
  const double first_come = played_target().Play(load, false);
  const double gated = played_target().Play(load, true);
  // Whoever knows all serves each fresh request at once, the late ones between.
  const double best = 100 * 1.0 + 60 * 0.3;
  MESSAGE("first come ", first_come, " gated ", gated, " best ", best);
  CHECK(gated > 0.9 * best);
  CHECK(first_come < 0.75 * best);
}

/// The same where half of those that had to wait come on flows that were opened
/// anew by a repeated packet, whose age is known, and over a longer time.
std::vector<offered_request> ReturnWithRepeats(bool age_is_told) {
  std::vector<offered_request> load;
  for (int at = 0; at < 1000; at += 5) {
    const bool late = at % 10 == 0;
    load.push_back({milliseconds(at), late,
                    late && age_is_told ? milliseconds(600) : 0ms});
  }
  return load;
}

TEST_CASE("return after a total loss: known ages keep late requests behind") {
  const double blind = played_target().Play(ReturnWithRepeats(false), true);
  const double told = played_target().Play(ReturnWithRepeats(true), true);
  // The last fresh one may end an aim after the last one has come.
  const std::size_t capacity = kSlots * (1000 + kAim.count()) / kWork.count();
  // As many fresh ones as fit in time, and all others later.
  const double best = capacity * 1.0 + (200 - capacity) * 0.3;
  MESSAGE("blind ", blind, " told ", told, " best ", best);
  CHECK(told > 0.9 * best);
  CHECK(told > 1.2 * blind);
}

TEST_CASE("a burst beyond the capacity: what is served is served in time") {
  // Half more than the target can do, for 3 s.
  std::vector<offered_request> load;
  for (int at = 0; at < 3000; at += 8) {
    load.push_back({milliseconds(at), false, 0ms});
  }
  const double gated = played_target().Play(load, true);
  const std::size_t capacity = kSlots * 3000 / kWork.count();
  const double all_in_time = static_cast<double>(capacity);
  MESSAGE("gated ", gated, " all that fit in time ", all_in_time);
  CHECK(gated > 0.9 * all_in_time);
}

}  // namespace
}  // namespace corianderplank
