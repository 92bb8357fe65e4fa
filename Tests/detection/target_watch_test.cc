/// @file
/// When a target that answers with errors is suspected, and when it is not.

#include <doctest/doctest.h>

#include "detection/suspect_limit.h"
#include "detection/target_watch.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const endpoint kRoute{200, 443};
const measured_answer kGood{4100, 47ms};
const measured_answer kError{130, 2ms};

/// A target whose peers are known.
struct fixture {
  fixture() { watch.OnPeers(kStart, {{kRoute, 4100, 40ms, 40}}); }

  /// @return whether the target is suspected after the answers.
  bool Answer(const measured_answer& answer, int count = 1) {
    for (int i = 0; i < count; ++i) {
      now += 5ms;
      if (const auto change = watch.OnAnswer(now, kRoute, answer)) {
        latest = *change;
      }
    }
    return watch.IsSuspected();
  }

  target_watch watch;
  time_point now = kStart;
  suspicion_change latest;
};

// Load: a target that says that it is well and fails every request.
TEST_CASE("a target that answers only errors is suspected after six") {
  fixture test;
  CHECK_FALSE(test.Answer(kGood, 30));
  CHECK_FALSE(test.Answer(kError, 5));
  CHECK(test.Answer(kError));
  CHECK(test.latest.pause == 500ms);
  CHECK(test.latest.suspect_answers == 6);
  CHECK(test.watch.Admit(test.now, true) == 500ms);
}

// Load: a target that fails 4 of 10 requests, for callers of one domain, say.
TEST_CASE("a target that fails part of its requests is suspected") {
  fixture test;
  int answers = 0;
  while (answers < 200 && !test.Answer(answers % 5 < 2 ? kError : kGood)) {
    ++answers;
  }
  CHECK(answers < 40);
}

// Load: each of these on its own, at a target that works.
TEST_CASE("slow targets, short answers and fast answers are not suspected") {
  fixture test;
  CHECK_FALSE(test.Answer({4100, 400ms}, 100));
  CHECK_FALSE(test.Answer({130, 47ms}, 100));
  CHECK_FALSE(test.Answer({4100, 2ms}, 100));
  CHECK_FALSE(test.Answer({1500, 2ms}, 100));
}

// Load: one answer in ten is short and fast by nature, such as "not modified".
TEST_CASE("a share of short answers that peers have as well is no suspicion") {
  fixture test;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(test.Answer(kGood, 9));
    CHECK_FALSE(test.Answer(kError));
  }
}

// Load: clients that poll, whose answers are small by nature.
TEST_CASE("a route with small or fast answers is not judged") {
  fixture test;
  test.watch.OnPeers(kStart, {{kRoute, 300, 40ms, 40}});
  CHECK_FALSE(test.Answer({60, 1ms}, 100));
  test.watch.OnPeers(kStart, {{kRoute, 4100, 1ms, 40}});
  CHECK_FALSE(test.Answer({130, 0ms}, 100));
}

// Failure: the entries that know the peers are away.
TEST_CASE("a target without current figures of its peers is not suspected") {
  fixture test;
  test.now += 20s;
  CHECK_FALSE(test.Answer(kError, 100));
  target_watch restarted;
  CHECK_FALSE(restarted.OnAnswer(test.now, kRoute, kError));
}

// Failure: the entries that know the peers go away after a pause has begun.
TEST_CASE("a suspicion ends if no answer can be judged any more") {
  fixture test;
  test.Answer(kError, 6);
  test.now += 10s;
  CHECK(test.watch.Admit(test.now, true) == 0ms);
  CHECK(test.watch.Admit(test.now, true) > 0ms);
  test.now += 10s;
  CHECK_FALSE(test.Answer(kGood));
  CHECK_FALSE(test.latest.suspected);
}

// Failure: the target fails through several trials and then works again.
TEST_CASE("single flows try a suspected target until it works") {
  fixture test;
  test.Answer(kError, 6);
  test.now += 500ms;
  // Requests that are not repeated leave the trial to others at first.
  CHECK(test.watch.Admit(test.now, false) > 0ms);
  CHECK(test.watch.Admit(test.now, true) == 0ms);
  CHECK(test.watch.Admit(test.now, true) > 0ms);
  CHECK(test.Answer(kError));
  CHECK(test.latest.pause == 1000ms);
  test.now += 1000ms;
  test.watch.OnPeers(test.now, {{kRoute, 4100, 40ms, 40}});
  CHECK(test.watch.Admit(test.now, true) == 0ms);
  CHECK(test.Answer(kGood));
  CHECK(test.watch.Admit(test.now, true) == 0ms);
  test.now += 1000ms;
  CHECK_FALSE(test.Answer(kGood));
  CHECK_FALSE(test.latest.suspected);
  CHECK(test.watch.Admit(test.now, false) == 0ms);
}

// Failure: half of a service's targets change what they answer at once.
TEST_CASE("less than a third of a service's slots are spared at a time") {
  std::vector<fleet_target> targets(6);
  std::vector<const fleet_target*> service;
  for (std::uint32_t i = 0; i < targets.size(); ++i) {
    targets[i].address = {i + 1, 7000};
    targets[i].slots = 4;
    service.push_back(&targets[i]);
  }
  suspect_limit limit;
  CHECK(limit.OnPause(kStart, 1, 500ms, service));
  CHECK_FALSE(limit.OnPause(kStart, 2, 500ms, service));
  CHECK(limit.IsNeeded(kStart, 2));
  CHECK_FALSE(limit.IsNeeded(kStart, 1));
  CHECK_FALSE(limit.IsNeeded(kStart + 500ms, 2));
  CHECK(limit.OnPause(kStart + 500ms, 2, 500ms, service));
  CHECK_FALSE(limit.OnPause(kStart, 1, 500ms, {&targets[0], &targets[1]}));
}

}  // namespace
}  // namespace corianderplank
