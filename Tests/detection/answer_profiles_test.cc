/// @file
/// What agents tell of their answers, and what entries make of it.

#include <doctest/doctest.h>

#include "detection/answer_profiles.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
const endpoint kRoute{200, 443};
const endpoint kOther{200, 444};

// Load: a new target, and one whose answers are sometimes short.
TEST_CASE("a profile needs some answers and leaves out the rare short ones") {
  answer_history history;
  for (int i = 0; i < 7; ++i) {
    history.Add(kRoute, {4000, 50ms});
  }
  CHECK(history.Profiles().empty());
  history.Add(kRoute, {130, 1ms});
  for (int i = 0; i < 24; ++i) {
    history.Add(kRoute, {4000, 50ms});
  }
  CHECK(history.Profiles() ==
        std::vector<answer_profile>{{kRoute, 4000, 50ms, 32}});
}

// Load: single requests on many routes, before the traffic begins.
TEST_CASE("routes with hardly any requests do not displace others") {
  answer_history history;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    history.Add({200, port}, {200, 1ms});
  }
  for (int i = 0; i < 8; ++i) {
    history.Add(kRoute, {4000, 50ms});
    history.Add({200, static_cast<std::uint16_t>(i + 1)}, {200, 1ms});
  }
  CHECK(history.Profiles().size() == 1);
}

// Failure: less than half of the targets answer errors.
TEST_CASE("the typical profile is that of the majority") {
  peer_profiles peers;
  peers.Add(kStart, kService, 1, {{kRoute, 130, 1ms, 32}});
  peers.Add(kStart, kService, 2, {{kRoute, 4000, 50ms, 32}});
  CHECK(peers.TakeDue(kStart, kService, 1).empty());
  peers.Add(kStart + 1s, kService, 3,
            {{kRoute, 4010, 40ms, 32}, {kOther, 1, 1ms, 32}});
  CHECK(peers.TakeDue(kStart + 1s, kService, 1) ==
        std::vector<answer_profile>{{kRoute, 4000, 40ms, 3}});
  // Another service on the same route is not compared.
  CHECK(peers.TakeDue(kStart + 1s, ServiceIdOf("other"), 9).empty());
  // Told a moment ago; other agents are told by themselves.
  CHECK(peers.TakeDue(kStart + 2s, kService, 1).empty());
  CHECK(peers.TakeDue(kStart + 2s, kService, 2).size() == 1);
  CHECK(peers.TakeDue(kStart + 2s, kService, 4).size() == 1);
  // A release changes the answers of most targets: the typical one follows.
  peers.Add(kStart + 4s, kService, 2, {{kRoute, 130, 1ms, 32}});
  CHECK(peers.TakeDue(kStart + 4s, kService, 1)[0].bytes == 130);
}

// Failure: agents that have ended or were cut off.
TEST_CASE("profiles of agents that are silent are not used") {
  peer_profiles peers;
  for (machine_address machine = 1; machine <= 3; ++machine) {
    peers.Add(kStart, kService, machine, {{kRoute, 4000, 50ms, 32}});
  }
  CHECK(peers.TakeDue(kStart + 31s, kService, 1).empty());
}

}  // namespace
}  // namespace corianderplank
