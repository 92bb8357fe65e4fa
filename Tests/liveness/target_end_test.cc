/// @file
/// When a target counts as ended, and whose flows may be reset then.

#include <doctest/doctest.h>

#include "liveness/target_end.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kRefused = time_point() + 1h;

target_evidence Refused() {
  target_evidence evidence;
  evidence.first_refused_at = kRefused;
  evidence.last_refused_at = kRefused;
  evidence.last_packet_at = kRefused - 50ms;
  return evidence;
}

TEST_CASE("a target that refused no connection has not ended") {
  target_evidence evidence;
  evidence.unanswered = true;
  CHECK(ProofOfEnd(kRefused, evidence) == end_proof::none);
}

// Failure: scale-in during a burst. A target closes its listener and still
// receives uploads that its clients have queued on narrow links.
TEST_CASE("a refused connection does not end a target with busy flows") {
  target_evidence evidence = Refused();
  evidence.has_busy_flows = true;
  CHECK(ProofOfEnd(kRefused + 2ms, evidence) == end_proof::none);
  CHECK(ProofOfEnd(kRefused + kLongestRepeatInterval, evidence) ==
        end_proof::silent);
  // A copy of its last packet shows that it lives on.
  evidence.last_packet_at = kRefused + 600ms;
  CHECK(ProofOfEnd(kRefused + 700ms, evidence) == end_proof::none);
  evidence.last_refused_at = kRefused + 2s;
  CHECK(ProofOfEnd(kRefused + 2s, evidence) == end_proof::none);
  CHECK(ProofOfEnd(kRefused + 600ms + kLongestRepeatInterval, evidence) ==
        end_proof::silent);
}

// Load: planned removal in calm times. Clients of idle flows should learn at
// once that their target has ended.
TEST_CASE("a refused connection ends a target that has nothing to do") {
  CHECK(ProofOfEnd(kRefused + 2ms, Refused()) == end_proof::idle);
  // It was seen later, so it did not end when it refused the connection.
  target_evidence evidence = Refused();
  evidence.last_packet_at = kRefused + 1ms;
  CHECK(ProofOfEnd(kRefused + 2ms, evidence) == end_proof::none);
  evidence.last_refused_at = kRefused + 500ms;
  CHECK(ProofOfEnd(kRefused + 502ms, evidence) == end_proof::none);
  evidence.last_refused_at = kRefused + 2s;
  CHECK(ProofOfEnd(kRefused + 2s, evidence) == end_proof::silent);
}

// Failure: a target that crashes twice. Packets between the crashes say nothing
// about the second one.
TEST_CASE("refused connections far apart do not belong together") {
  target_evidence evidence;
  AddRefusal(kRefused, evidence);
  AddRefusal(kRefused + 500ms, evidence);
  CHECK(evidence.first_refused_at == kRefused);
  evidence.last_packet_at = kRefused + 9s;
  AddRefusal(kRefused + 10s, evidence);
  CHECK(evidence.first_refused_at == kRefused + 10s);
  CHECK(ProofOfEnd(kRefused + 10s, evidence) == end_proof::idle);
}

// Failure: a crash. Clients that send should not wait for their deadline.
TEST_CASE("an unanswered packet ends a target that refuses connections") {
  target_evidence evidence = Refused();
  evidence.has_busy_flows = true;
  evidence.unanswered = true;
  CHECK(ProofOfEnd(kRefused + 2ms, evidence) == end_proof::unanswered);
}

TEST_CASE("a busy flow is reset only after an unanswered packet") {
  CHECK(MayResetFlow(end_proof::unanswered, true));
  CHECK_FALSE(MayResetFlow(end_proof::silent, true));
  CHECK_FALSE(MayResetFlow(end_proof::idle, true));
  CHECK(MayResetFlow(end_proof::silent, false));
  CHECK(MayResetFlow(end_proof::idle, false));
  CHECK_FALSE(MayResetFlow(end_proof::none, false));
}

}  // namespace
}  // namespace corianderplank
