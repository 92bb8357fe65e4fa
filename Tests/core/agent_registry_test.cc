/// @file
/// A seed must not report a flow as lost after a total loss before every
/// running agent has had time to report.

#include <doctest/doctest.h>

#include "core/agent_registry.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

fleet_state FleetStateWith(std::initializer_list<std::uint32_t> machines) {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  std::vector<fleet_target> rows;
  for (const std::uint32_t machine : machines) {
    fleet_target item;
    item.id = {machine};
    item.address = {machine, 8080};
    item.service = kService;
    item.revision = 1;
    rows.push_back(item);
  }
  state.ApplyList(kStart, kStart, 2, rows);
  return state;
}

TEST_CASE("the registry settles once all listed agents have reported") {
  const fleet_state state = FleetStateWith({1, 2});
  agent_registry registry;
  registry.Start(kStart);
  registry.OnPresent(kStart + 10ms, {1, kService}, true);
  CHECK_FALSE(registry.HasSettled(kStart + 200ms, state));
  registry.OnPresent(kStart + 210ms, {2, kService}, true);
  CHECK_FALSE(registry.HasSettled(kStart + 250ms, state));
  CHECK(registry.HasSettled(kStart + 280ms, state));
}

TEST_CASE("a new unlisted agent delays settling and is returned as unlisted") {
  const fleet_state state = FleetStateWith({1});
  agent_registry registry;
  registry.Start(kStart);
  registry.OnPresent(kStart + 10ms, {1, kService}, true);
  registry.OnPresent(kStart + 60ms, {9, kService}, false);
  CHECK_FALSE(registry.HasSettled(kStart + 100ms, state));
  CHECK(registry.HasSettled(kStart + 130ms, state));
  REQUIRE(registry.Unlisted().size() == 1);
  CHECK(registry.Unlisted()[0].machine == 9);
  registry.OnPresent(kStart + 200ms, {9, kService}, true);
  CHECK(registry.Unlisted().empty());
}

TEST_CASE("a listed target without an agent report delays settling by 1 s") {
  const fleet_state state = FleetStateWith({1, 2});
  agent_registry registry;
  registry.Start(kStart);
  registry.OnPresent(kStart + 10ms, {1, kService}, true);
  CHECK_FALSE(registry.HasSettled(kStart + 999ms, state));
  CHECK(registry.HasSettled(kStart + 1001ms, state));
}

TEST_CASE("no settling for 1 s without a target list or after a suspension") {
  const fleet_state none(fleet_state_limits(), /*first_start=*/false);
  agent_registry registry;
  registry.Start(kStart);
  CHECK_FALSE(registry.HasSettled(kStart + 500ms, none));
  registry.OnResume(kStart + 10s);
  CHECK_FALSE(registry.HasSettled(kStart + 10900ms, FleetStateWith({})));
  CHECK(registry.HasSettled(kStart + 11001ms, FleetStateWith({})));
}

TEST_CASE("an unlisted agent without reports expires") {
  agent_registry registry;
  registry.Start(kStart);
  registry.OnPresent(kStart, {9, kService}, false);
  registry.Expire(kStart + 4s);
  CHECK(registry.Unlisted().size() == 1);
  registry.Expire(kStart + 6s);
  CHECK(registry.Unlisted().empty());
}

}  // namespace
}  // namespace corianderplank
