/// @file
/// When a seed knows all agents: after a total loss no flow may be called dead
/// before.

#include <doctest/doctest.h>

#include "core/agent_registry.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

fleet_belief BeliefOf(std::initializer_list<std::uint32_t> machines) {
  fleet_belief belief(belief_limits(), /*first_start=*/false);
  std::vector<fleet_target> rows;
  for (const std::uint32_t machine : machines) {
    fleet_target item;
    item.id = {machine};
    item.address = {machine, 8080};
    item.service = kService;
    item.revision = 1;
    rows.push_back(item);
  }
  belief.TakeList(kStart, kStart, 2, rows);
  return belief;
}

TEST_CASE("a seed knows the agents when all listed ones have spoken") {
  const fleet_belief belief = BeliefOf({1, 2});
  agent_registry roster;
  roster.Start(kStart);
  roster.OnPresent(kStart + 10ms, {1, kService}, true);
  CHECK_FALSE(roster.HasSettled(kStart + 200ms, belief));
  roster.OnPresent(kStart + 210ms, {2, kService}, true);
  CHECK_FALSE(roster.HasSettled(kStart + 250ms, belief));
  CHECK(roster.HasSettled(kStart + 280ms, belief));
}

TEST_CASE("a new agent that is not listed puts it off, and is told") {
  const fleet_belief belief = BeliefOf({1});
  agent_registry roster;
  roster.Start(kStart);
  roster.OnPresent(kStart + 10ms, {1, kService}, true);
  roster.OnPresent(kStart + 60ms, {9, kService}, false);
  CHECK_FALSE(roster.HasSettled(kStart + 100ms, belief));
  CHECK(roster.HasSettled(kStart + 130ms, belief));
  REQUIRE(roster.Unlisted().size() == 1);
  CHECK(roster.Unlisted()[0].machine == 9);
  roster.OnPresent(kStart + 200ms, {9, kService}, true);
  CHECK(roster.Unlisted().empty());
}

TEST_CASE("a listed target whose agent is silent puts it off for a second") {
  const fleet_belief belief = BeliefOf({1, 2});
  agent_registry roster;
  roster.Start(kStart);
  roster.OnPresent(kStart + 10ms, {1, kService}, true);
  CHECK_FALSE(roster.HasSettled(kStart + 999ms, belief));
  CHECK(roster.HasSettled(kStart + 1001ms, belief));
}

TEST_CASE("without a list and after a sleep nothing is known for a second") {
  const fleet_belief none(belief_limits(), /*first_start=*/false);
  agent_registry roster;
  roster.Start(kStart);
  CHECK_FALSE(roster.HasSettled(kStart + 500ms, none));
  roster.OnResume(kStart + 10s);
  CHECK_FALSE(roster.HasSettled(kStart + 10900ms, BeliefOf({})));
  CHECK(roster.HasSettled(kStart + 11001ms, BeliefOf({})));
}

TEST_CASE("an agent that is silent for long is forgotten") {
  agent_registry roster;
  roster.Start(kStart);
  roster.OnPresent(kStart, {9, kService}, false);
  roster.Expire(kStart + 4s);
  CHECK(roster.Unlisted().size() == 1);
  roster.Expire(kStart + 6s);
  CHECK(roster.Unlisted().empty());
}

}  // namespace
}  // namespace corianderplank
