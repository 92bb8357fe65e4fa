/// @file
/// Tests of fleet_state: older data never replaces newer data, removed targets
/// are not evicted too early, and gaps in peers' updates are detected.

#include <doctest/doctest.h>

#include "core/fleet_index.h"
#include "core/fleet_state.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");

fleet_target MakeTarget(const std::string& name,
                        std::uint32_t machine,
                        std::uint64_t revision) {
  fleet_target item;
  item.id = TargetIdOf(name);
  item.address = {machine, 8080};
  item.service = kService;
  item.revision = revision;
  return item;
}

fleet_target Left(fleet_target item, std::uint64_t revision) {
  item.removed = true;
  item.revision = revision;
  return item;
}

std::shared_ptr<const fleet_configuration> MakeConfiguration(
    std::uint64_t version,
    std::initializer_list<endpoint> routes) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = version;
  for (const endpoint& address : routes) {
    configuration->routes[address].shares = {{kService, 1}};
  }
  return configuration;
}

bool AcceptsNewFlows(const fleet_state& state,
                     const std::string& name,
                     time_point now) {
  const auto found = state.Targets().find(TargetIdOf(name));
  return found != state.Targets().end() && found->second.AcceptsNewFlows(now);
}

fleet_state MakeState() {
  return fleet_state(fleet_state_limits(), /*first_start=*/true);
}

TEST_CASE("a split update confirms the state only with its last part") {
  fleet_state reader = MakeState();
  reader.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  std::vector<fleet_target> rows;
  for (std::uint32_t machine = 2; machine <= 31; ++machine) {
    rows.push_back(MakeTarget(std::to_string(machine), machine, 50 - machine));
  }
  reader.ApplyChanges(kStart + 1s, kStart + 1s, 60, rows);
  const std::vector<fleet_update> parts =
      SplitUpdate(reader.UpdateSince(kStart + 1s, 10), 12);
  REQUIRE(parts.size() == 3);
  fleet_state complete = MakeState();
  fleet_state partial = MakeState();
  for (fleet_state* state : {&complete, &partial}) {
    state->ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
    CHECK(state->ApplyUpdate(kStart + 1s, parts[0]) == update_result::applied);
    CHECK(state->ConfirmedAt() == kStart);
  }
  CHECK(complete.ApplyUpdate(kStart + 1s, parts[1]) == update_result::applied);
  CHECK(complete.ApplyUpdate(kStart + 1s, parts[2]) == update_result::applied);
  CHECK(complete.Targets().size() == 31);
  CHECK(complete.ConfirmedAt() == kStart + 1s);
  // The second part is lost.
  CHECK(partial.ApplyUpdate(kStart + 1s, parts[2]) == update_result::gap);
  CHECK(partial.ConfirmedAt() == kStart);
}

TEST_CASE("a target's first-seen time does not depend on the wall clock") {
  fleet_state state = MakeState();
  fleet_target row = MakeTarget("a", 1, 3);
  row.target_start_ms = 100;
  const auto first_seen_at = [&] {
    return state.Targets().at(TargetIdOf("a")).first_seen_at;
  };
  state.ApplyList(kStart, kStart, 10, {row});
  row.state = target_state::draining;
  row.revision = 12;
  state.ApplyChanges(kStart + 1s, kStart + 1s, 12, {row});
  CHECK(first_seen_at() == kStart);
  // The target restarts under its name after its clock was set back.
  row.target_start_ms = 90;
  row.revision = 13;
  state.ApplyChanges(kStart + 2s, kStart + 2s, 13, {row});
  CHECK(first_seen_at() == kStart + 2s);
}

TEST_CASE("a list with an older revision is ignored") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  state.ApplyChanges(kStart, kStart, 12, {Left(MakeTarget("a", 1, 3), 12)});
  state.ApplyList(kStart, kStart, 11, {MakeTarget("a", 1, 3)});
  CHECK_FALSE(AcceptsNewFlows(state, "a", kStart));
  CHECK(state.Revision() == 12);
}

TEST_CASE("a new process's complete list removes targets that it never had") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 13,
                  {MakeTarget("old", 1, 7), MakeTarget("other", 2, 8)});
  // "old" is removed at revision 14; a process that starts afterwards lists
  // only the remaining target.
  fleet_state newcomer(fleet_state_limits(), /*first_start=*/false);
  newcomer.ApplyList(kStart + 1s, kStart + 1s, 14, {MakeTarget("other", 2, 8)});
  REQUIRE(
      state.ApplyUpdate(kStart + 1s, newcomer.UpdateSince(kStart + 1s, 0)) ==
      update_result::applied);
  CHECK(state.Revision() == 14);
  CHECK_FALSE(AcceptsNewFlows(state, "old", kStart + 1s));
  CHECK(AcceptsNewFlows(state, "other", kStart + 1s));
}

TEST_CASE("a peer's update that skips a revision is reported as a gap") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  fleet_update update;
  update.base_revision = 12;
  update.revision = 13;
  CHECK(state.ApplyUpdate(kStart + 1s, update) == update_result::gap);
  CHECK(state.Revision() == 10);
  CHECK(state.ConfirmedAt() == kStart);
}

// Guards against a configuration that is never read: an entry took over the
// reader's position without having the configuration, and read on from there.
TEST_CASE("the position does not pass a configuration that is missing") {
  fleet_state reader = MakeState();
  fleet_state state = MakeState();
  const endpoint address{10, 80};
  for (fleet_state* item : {&reader, &state}) {
    item->ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
    item->ApplyConfiguration(MakeConfiguration(3, {address}));
  }
  // Version 7 is written at revision 11, and target "b" at 12.
  reader.ApplyChanges(kStart + 1s, kStart + 1s, 12, {MakeTarget("b", 2, 12)});
  reader.ApplyConfiguration(MakeConfiguration(7, {address}));
  const fleet_update update = reader.UpdateSince(kStart + 1s, 10);
  state.ApplyUpdate(kStart + 1s, update);
  CHECK(state.Revision() == 10);
  CHECK(state.ConfirmedAt() == kStart);
  CHECK(AcceptsNewFlows(state, "b", kStart + 1s));
  state.ApplyConfiguration(MakeConfiguration(7, {address}));
  CHECK(state.ApplyUpdate(kStart + 1s, update) == update_result::applied);
  CHECK(state.Revision() == 12);
}

// Guards against a position past a missing configuration that comes from a
// reader of an older build, which takes such positions over.
TEST_CASE("a reader without an announced configuration confirms nothing") {
  fleet_state state = MakeState();
  const endpoint address{10, 80};
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  state.ApplyConfiguration(MakeConfiguration(3, {address}));
  fleet_update update;
  update.base_revision = 10;
  update.revision = 12;
  update.configuration_version = 7;
  CHECK(state.ApplyUpdate(kStart + 1s, update) ==
        update_result::lacks_configuration);
  update.configuration_version = 3;
  CHECK(state.ApplyUpdate(kStart + 2s, update) ==
        update_result::sender_lacks_configuration);
  CHECK(state.Revision() == 10);
  CHECK(state.ConfirmedAt() == kStart);
}

TEST_CASE("heartbeats are not reported as changes") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  CHECK(state.CollectChanges().size() == 1);
  state.ApplyChanges(kStart, kStart, 11, {MakeTarget("a", 1, 11)});
  CHECK(state.CollectChanges().empty());
  CHECK(state.UpdateSince(kStart, 10).targets.empty());
}

TEST_CASE("targets missing after a source outage get new flows for 2 s") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  const time_point back = kStart + 6s;
  state.ApplyList(back, back, 20, {});
  CHECK(AcceptsNewFlows(state, "a", back + 1900ms));
  CHECK_FALSE(AcceptsNewFlows(state, "a", back + 2001ms));
}

TEST_CASE("a peer's update carries the recovery grace of missing targets") {
  fleet_state reader = MakeState();
  fleet_state state = MakeState();
  reader.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  state.ApplyUpdate(kStart, reader.UpdateSince(kStart, 0));
  const time_point back = kStart + 3s;
  reader.ApplyChanges(back, back, 20, {Left(MakeTarget("a", 1, 3), 20)});
  CHECK(state.ApplyUpdate(back, reader.UpdateSince(back, 10)) ==
        update_result::applied);
  CHECK(AcceptsNewFlows(reader, "a", back + 1s));
  CHECK(AcceptsNewFlows(state, "a", back + 1s));
  CHECK_FALSE(AcceptsNewFlows(state, "a", back + 2100ms));
}

TEST_CASE("targets missing from a working source get no more flows") {
  fleet_state state = MakeState();
  state.ApplyList(kStart, kStart, 10, {MakeTarget("a", 1, 3)});
  state.ApplyList(kStart + 700ms, kStart + 700ms, 11, {});
  CHECK_FALSE(AcceptsNewFlows(state, "a", kStart + 700ms));
  // It may still hold flows.
  CHECK(state.Targets().size() == 1);
  state.Expire(kStart + 60s);
  CHECK(state.Targets().size() == 1);
  state.Expire(kStart + 62s);
  CHECK(state.Targets().empty());
}

TEST_CASE("a row without an address adds no target") {
  fleet_state state = MakeState();
  fleet_target unreadable;
  unreadable.id = TargetIdOf("x");
  unreadable.removed = true;
  unreadable.revision = 5;
  state.ApplyList(kStart, kStart, 10, {unreadable});
  CHECK(state.Targets().empty());
}

TEST_CASE("the highest configuration version wins; dropped routes are kept") {
  fleet_state state = MakeState();
  const endpoint first{10, 80};
  const endpoint second{11, 80};
  CHECK(state.ApplyConfiguration(MakeConfiguration(3, {first, second})));
  CHECK_FALSE(state.ApplyConfiguration(MakeConfiguration(2, {first})));
  CHECK_FALSE(state.ApplyConfiguration(nullptr));
  CHECK(state.ApplyConfiguration(MakeConfiguration(7, {first})));
  const fleet_index index(state.Snapshot(kStart));
  CHECK(index.IsDropped(second));
  CHECK_FALSE(index.IsDropped(first));
  CHECK(state.ApplyConfiguration(MakeConfiguration(8, {first, second})));
  CHECK_FALSE(fleet_index(state.Snapshot(kStart)).IsDropped(second));
}

TEST_CASE("flow holders are known after a first start or the longest flow") {
  fleet_state first(fleet_state_limits(), /*first_start=*/true);
  first.ApplyList(kStart, kStart, 10, {});
  CHECK(first.Snapshot(kStart)->knows_all_holders);

  fleet_state later(fleet_state_limits(), /*first_start=*/false);
  later.ApplyList(kStart, kStart, 10, {});
  CHECK_FALSE(later.Snapshot(kStart + 59s)->knows_all_holders);
  CHECK(later.Snapshot(kStart + 60s)->knows_all_holders);

  fleet_state informed(fleet_state_limits(), /*first_start=*/false);
  informed.ApplyList(kStart, kStart, 10, {});
  informed.ApplyUpdate(kStart, first.UpdateSince(kStart, 0));
  CHECK(informed.Snapshot(kStart)->knows_all_holders);
}

TEST_CASE(
    "of two rows with one address the one with the higher revision counts") {
  fleet_state state = MakeState();
  fleet_target restarted = MakeTarget("new", 1, 15);
  restarted.state = target_state::draining;
  state.ApplyList(kStart, kStart, 16, {MakeTarget("old", 1, 7), restarted});
  const fleet_index index(state.Snapshot(kStart));
  REQUIRE(index.TargetsOf(kService).size() == 1);
  CHECK_FALSE(index.TargetsOf(kService).front()->AcceptsNewFlows(kStart));
}

}  // namespace
}  // namespace corianderplank
