/// @file
/// The record that a machine has no target ends every search for its flows,
/// remains valid without the agent that reported it, and never applies to a
/// target that starts there later.

#include <doctest/doctest.h>

#include "core/ended_targets.h"
#include "core/fleet_state.h"
#include "packet_entry_fixture.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kMachine = 3;

fleet_target Row(std::uint64_t id,
                 std::uint64_t revision,
                 bool removed = false) {
  fleet_target row;
  row.id = {id};
  row.address = {kMachine, 8080};
  row.service = kService;
  row.revision = revision;
  row.removed = removed;
  return row;
}

/// State of a seed after a total loss whose list has no target on the machine.
fleet_state StateAfterTotalLoss(std::uint64_t revision) {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  state.ApplyList(kStart, kStart, revision, {});
  state.RecordUnlistedAgent(kStart, {kMachine, kService});
  return state;
}

bool IsEnded(const fleet_state& state, time_point now) {
  const auto snapshot = state.Snapshot(now);
  const fleet_index index(snapshot);
  const fleet_target* target = index.FindTarget(kMachine);
  return target != nullptr && target->ended;
}

TEST_CASE("an absence report marks the machine's targets as ended once") {
  fleet_state seed = StateAfterTotalLoss(50);
  CHECK_FALSE(IsEnded(seed, kStart));
  const auto record = seed.RecordTargetAbsence(kStart + 1ms, kMachine);
  REQUIRE(record);
  CHECK(record->revision == 50);
  CHECK(IsEnded(seed, kStart + 1ms));
  // The agent repeats its report; other seeds get the record once.
  CHECK_FALSE(seed.RecordTargetAbsence(kStart + 500ms, kMachine));
  fleet_state other = StateAfterTotalLoss(48);
  CHECK(other.RecordEndedTargets(kStart + 3ms, {*record}).size() == 1);
  CHECK(other.RecordEndedTargets(kStart + 4ms, {*record}).empty());
  CHECK(IsEnded(other, kStart + 4ms));
  CHECK(seed.EndedTargets().Digest() == other.EndedTargets().Digest());
}

TEST_CASE("absence has no effect while a target is listed or without a list") {
  fleet_state none(fleet_state_limits(), /*first_start=*/false);
  none.RecordUnlistedAgent(kStart, {kMachine, kService});
  CHECK_FALSE(none.RecordTargetAbsence(kStart, kMachine));
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  state.ApplyList(kStart, kStart, 50, {Row(1, 40)});
  CHECK_FALSE(state.RecordTargetAbsence(kStart, kMachine));
  // The listed target is removed from the list.
  state.ApplyChanges(kStart + 1s, kStart + 1s, 60, {Row(1, 55, true)});
  CHECK(state.RecordTargetAbsence(kStart + 1s, kMachine));
}

std::shared_ptr<const fleet_configuration> ConfigurationOf(service_id service) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = 1;
  configuration->services = {service};
  return configuration;
}

// Guards against a row of another writer that hides the end of the machine's
// target, so that its clients wait for their time limits.
TEST_CASE("a row of an unknown service does not hide an absent target") {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  fleet_target unknown = Row(2, 41);
  unknown.service = kOtherService;
  state.ApplyConfiguration(ConfigurationOf(kService));
  state.ApplyList(kStart, kStart, 50, {Row(1, 40), unknown});
  CHECK_FALSE(state.RecordTargetAbsence(kStart, kMachine));
  state.ApplyChanges(kStart + 1s, kStart + 1s, 60, {Row(1, 55, true)});
  CHECK(state.RecordTargetAbsence(kStart + 1s, kMachine));
}

// Guards against a row of another writer that makes the reader stop telling the
// agent of a draining target to refuse new flows.
TEST_CASE("a row of an unknown service does not replace a draining target") {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  fleet_target draining = Row(1, 40);
  draining.state = target_state::draining;
  fleet_target other = Row(2, 41);
  other.service = kOtherService;
  state.ApplyConfiguration(ConfigurationOf(kService));
  state.ApplyList(kStart, kStart, 50, {draining, other});
  CHECK_FALSE(state.HasListedTarget(kMachine, draining.id));
  CHECK(state.HasListedTarget(kMachine));
  // Once a version names the service, the row is a target.
  auto extended =
      std::make_shared<fleet_configuration>(*ConfigurationOf(kService));
  extended->version = 2;
  extended->services.push_back(kOtherService);
  state.ApplyConfiguration(extended);
  CHECK(state.HasListedTarget(kMachine, draining.id));
}

TEST_CASE("an absence reported before the first list is applied to the list") {
  for (const auto delay : {400ms, 1600ms}) {
    fleet_state seed(fleet_state_limits(), /*first_start=*/false);
    seed.RecordUnlistedAgent(kStart, {kMachine, kService});
    seed.RecordUnlistedAgent(kStart, {kMachine + 1, kService});
    CHECK_FALSE(seed.RecordTargetAbsence(kStart, kMachine));
    CHECK_FALSE(seed.RecordTargetAbsence(kStart, kMachine + 1));
    // A target is listed on the other machine.
    fleet_target listed = Row(9, 40);
    listed.address.address = kMachine + 1;
    seed.ApplyList(kStart + delay, kStart + delay, 50, {listed});
    const auto records = seed.ApplyEarlyAbsences(kStart + delay);
    CHECK(records.size() == (delay < 1s ? 1 : 0));
    CHECK(IsEnded(seed, kStart + delay) == (delay < 1s));
    CHECK(seed.ApplyEarlyAbsences(kStart + delay).empty());
  }
}

TEST_CASE("a target that starts right after an absence may hold flows") {
  for (const bool same_id : {true, false}) {
    fleet_state state(fleet_state_limits(), /*first_start=*/false);
    state.ApplyList(kStart, kStart, 50, {Row(1, 40)});
    state.ApplyChanges(kStart, kStart, 55, {Row(1, 52, true)});
    const auto record = state.RecordTargetAbsence(kStart + 10ms, kMachine);
    REQUIRE(record);
    fleet_target later_target = Row(same_id ? 1 : 2, 56);
    later_target.target_start_ms = 1;
    state.ApplyChanges(kStart + 700ms, kStart + 700ms, 57, {later_target});
    CHECK_FALSE(IsEnded(state, kStart + 700ms));
    // The earlier record arrives again from another sender.
    state.RecordEndedTargets(kStart + 800ms, {*record});
    CHECK_FALSE(IsEnded(state, kStart + 800ms));
    // It is removed from the list and may still hold flows.
    later_target.removed = true;
    later_target.revision = 60;
    state.ApplyChanges(kStart + 5s, kStart + 5s, 61, {later_target});
    CHECK_FALSE(IsEnded(state, kStart + 5s));
  }
}

TEST_CASE(
    "a seed that missed the report gets the record from a peer's update") {
  fleet_state seed = StateAfterTotalLoss(50);
  REQUIRE(seed.RecordTargetAbsence(kStart, kMachine));
  fleet_state new_seed(fleet_state_limits(), /*first_start=*/false);
  new_seed.ApplyUpdate(kStart + 1s, seed.UpdateSince(kStart + 1s, 0));
  new_seed.RecordUnlistedAgent(kStart + 1s, {kMachine, kService});
  CHECK(IsEnded(new_seed, kStart + 1s));
}

TEST_CASE("a restarted agent does not change the record") {
  fleet_state seed = StateAfterTotalLoss(50);
  REQUIRE(seed.RecordTargetAbsence(kStart, kMachine));
  seed.RecordUnlistedAgent(kStart + 2s, {kMachine, kService});
  CHECK(IsEnded(seed, kStart + 2s));
  CHECK_FALSE(seed.RecordTargetAbsence(kStart + 2s, kMachine));
}

TEST_CASE("records expire with the lifetime of the flows concerned") {
  ended_targets ended(60s);
  CHECK(ended.Record(kStart, {kMachine, 5}));
  CHECK_FALSE(ended.Record(kStart, {kMachine, 4}));
  CHECK(ended.HasTargetEnded(kMachine, 5));
  CHECK_FALSE(ended.HasTargetEnded(kMachine, 6));
  ended.Expire(kStart + 61s);
  CHECK_FALSE(ended.HasTargetEnded(kMachine, 5));
}

/// 44 of 136 machines have lost their targets before a total loss and no longer
/// run an agent, so queries to them stay unanswered.
TEST_CASE(
    "after a total loss lost flows are reset without the removed agents") {
  constexpr std::uint32_t kTargets = 136;
  constexpr std::uint32_t kRemovedAgents = 44;
  entry_fixture test(kTargets);
  for (std::uint32_t index = 0; index < kRemovedAgents; ++index) {
    test.snapshot.targets[index].removed = true;
    test.snapshot.targets[index].ended = true;
  }
  test.Confirm(kStart);
  test.SendData(kStart);
  for (time_point now = kStart; now < kStart + 1s; now += 15ms) {
    // Denials widen the search, so the list grows during the loop.
    for (std::size_t next = 0; next < test.effects.deliveries.size(); ++next) {
      const machine_address machine = test.effects.deliveries[next].machine;
      if (machine > kRemovedAgents) {
        test.SendAgentMessage(now, machine, mesh_kind::denied);
      }
    }
    test.Confirm(now);
    test.entry.Tick(now);
  }
  CHECK(test.effects.resets.size() == 1);
}

TEST_CASE("an agent's answer for an ended target takes precedence") {
  entry_fixture test(3);
  test.snapshot.targets[2].removed = true;
  test.snapshot.targets[2].ended = true;
  test.Confirm(kStart);
  test.SendData(kStart + 70ms);
  test.SendQueryResult(kStart + 71ms, 3, flow_query_result::unknown);
  // The same snapshot arrives again.
  test.Confirm(kStart + 72ms);
  test.SendAgentMessage(kStart + 73ms, 1, mesh_kind::denied);
  test.SendAgentMessage(kStart + 73ms, 2, mesh_kind::denied);
  test.Confirm(kStart + 74ms);
  test.entry.Tick(kStart + 130ms);
  CHECK(test.effects.resets.empty());
}

}  // namespace
}  // namespace corianderplank
