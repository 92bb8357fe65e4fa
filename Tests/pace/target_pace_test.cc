/// @file
/// The pace of one target, learned from its answers.

#include <doctest/doctest.h>

#include <cmath>

#include "pace/target_pace.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

const endpoint kView{1, 443};
const endpoint kHold{2, 443};
constexpr std::uint32_t kSlots = 4;

/// A target with a queue of answers: `capacity` requests are worked on at a
/// time at full speed, more share that speed.
class simulated_target {
 public:
  simulated_target(target_pace& pace, microseconds work)
      : pace_(pace), work_(work) {}

  void SetWork(microseconds work) { work_ = work; }
  void SetCapacity(std::uint32_t capacity) { capacity_ = capacity; }

  /// Keeps as many requests in progress as the pace allows.
  void Answer(int count, const endpoint& route = kView) {
    for (int index = 0; index < count; ++index) {
      const std::uint32_t in_progress = pace_.Limit();
      const microseconds time =
          work_ * std::max(in_progress, capacity_) / capacity_;
      now += time / in_progress;
      pace_.OnAnswered(now, route, time, in_progress);
    }
  }

  time_point now = time_point() + 1h;

 private:
  target_pace& pace_;
  microseconds work_;
  std::uint32_t capacity_ = 1000;
};

target_pace NewTarget(time_point now) {
  target_pace pace;
  pace.SetSlots(now, kSlots);
  pace.OnStarted(now, /*start_ms=*/1000, /*ran_for=*/100ms);
  return pace;
}

// A release: a new target gets its first requests while the service is busy.
// It is neither flooded by the first ones nor idle for more than two answers.
TEST_CASE("a started target is at full pace after two good answers") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 15ms);
  CHECK(pace.Limit() == 2);
  CHECK(pace.State() == pace_state::starting);
  target.Answer(2);
  CHECK(pace.Limit() == kSlots);
  CHECK(pace.State() == pace_state::steady);
}

// Entries repeat the start in each message, and an agent that is restarted
// beside a target that has long been running must not slow it down.
TEST_CASE("only a start of the target lowers the pace") {
  const time_point now = time_point() + 1h;
  target_pace pace;
  pace.SetSlots(now, kSlots);
  pace.OnStarted(now, 1000, 60s);
  CHECK(pace.Limit() == kSlots);
  pace.OnStarted(now, 1000, 60s);
  pace.OnStarted(now, 0, 60s);
  CHECK(pace.Limit() == kSlots);
  pace.OnStarted(now, 9000, 10ms);
  CHECK(pace.Limit() == 2);
  CHECK(pace.State() == pace_state::starting);
  // Some entries still have the earlier start in their list.
  simulated_target(pace, 15ms).Answer(2);
  pace.OnStarted(now, 1000, 60s);
  pace.OnStarted(now, 9000, 10ms);
  CHECK(pace.Limit() == kSlots);
}

// A target in a crash loop fails a request each time it comes back.
TEST_CASE("a failure halves the pace, good answers double the steps back") {
  target_pace pace = NewTarget(time_point() + 1h);
  pace.SetSlots(time_point() + 1h, 16);
  simulated_target target(pace, 15ms);
  CHECK(pace.Limit() == 16);
  for (int failure = 0; failure < 5; ++failure) {
    pace.OnFailed(target.now);
  }
  CHECK(pace.Limit() == 1);
  CHECK(pace.State() == pace_state::recovering);
  const auto change = pace.TakeChange();
  REQUIRE(change);
  CHECK(change->to == 1);
  CHECK_FALSE(pace.TakeChange());
  target.Answer(4);
  CHECK(pace.Limit() == 16);
}

// All targets come back after a loss of power, each request 1.6 times as long:
// none may be throttled, since callers wait for every slot.
TEST_CASE("a target that warms up keeps its full pace") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 24ms);
  target.Answer(2);
  CHECK(pace.Limit() == kSlots);
  target.Answer(60);
  target.SetWork(15ms);
  for (int index = 0; index < 200; ++index) {
    target.Answer(1);
    CHECK(pace.Limit() == kSlots);
  }
}

// A target whose work takes four times as long does not get faster with fewer
// requests at a time; it would lose half of its answers.
TEST_CASE(
    "a target that is merely slow loses its pace for a few answers only") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 15ms);
  target.Answer(100);
  target.SetWork(60ms);
  int lowered = 0;
  for (int index = 0; index < 200; ++index) {
    target.Answer(1);
    lowered += pace.Limit() < kSlots ? 1 : 0;
  }
  CHECK(lowered > 0);
  CHECK(lowered <= 20);
}

// A neighbour takes cores away, so that four requests at a time take four times
// as long: callers wait in the target, where nothing can overtake.
TEST_CASE("a target that slows down by concurrency gets fewer at a time") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 15ms);
  target.Answer(100);
  target.SetCapacity(1);
  target.Answer(100);
  CHECK(pace.Limit() <= 2);
  CHECK(pace.ServiceTime() < 45ms);
  target.SetCapacity(1000);
  target.Answer(200);
  CHECK(pace.Limit() == kSlots);
}

// Routes of 5 and 60 ms on one service: the long ones are not slow.
TEST_CASE("requests are compared with those of their own route") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 5ms);
  for (int round = 0; round < 200; ++round) {
    target.SetWork(5ms);
    target.Answer(3, kView);
    target.SetWork(60ms);
    target.Answer(1, kHold);
    if (round > 0) {
      CHECK(pace.Limit() == kSlots);
    }
  }
  CHECK(pace.EstimateFor(kView).UpperEstimate() <= 6ms);
  CHECK(pace.EstimateFor(kHold).LowerEstimate() >= 59ms);
  CHECK(pace.ServiceTime() > 12ms);
  CHECK(pace.ServiceTime() < 25ms);
}

// Times of single requests vary as those of a database do: few are long.
TEST_CASE("the variation of requests lowers no pace") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 15ms);
  int lowered = 0;
  for (std::uint64_t index = 0; index < 5000; ++index) {
    // Exponentially distributed.
    const double uniform =
        static_cast<double>(MixHash(5, index) >> 11U) / 9007199254740992.0;
    target.SetWork(microseconds(
        static_cast<std::int64_t>(1 - 15000 * std::log1p(-uniform))));
    target.Answer(1);
    lowered += index > 1 && pace.Limit() < kSlots ? 1 : 0;
  }
  CHECK(lowered <= 50);
  CHECK(pace.ServiceTime() > 8ms);
  CHECK(pace.ServiceTime() < 26ms);
}

// One packet is lost and repeated after 200 ms; the target is well.
TEST_CASE("one late answer changes nothing") {
  target_pace pace = NewTarget(time_point() + 1h);
  simulated_target target(pace, 15ms);
  target.Answer(100);
  pace.OnAnswered(target.now, kView, 215ms, kSlots);
  CHECK(pace.Limit() == kSlots);
  CHECK(pace.ServiceTime() < 25ms);
}

}  // namespace
}  // namespace corianderplank
