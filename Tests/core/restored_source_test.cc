/// @file
/// Tests of fleet_state with a source that was restored from an older copy and
/// assigns its revisions again: no older configuration or target replaces a
/// newer one, by whichever way it arrives, and no later change is missed.

#include <doctest/doctest.h>

#include "core/fleet_state.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const time_point kRestored = kStart + 10s;
constexpr std::uint32_t kMachine = 1;
const service_id kService = ServiceIdOf("service");
const endpoint kRoute{10, 80};

/// A row of the target "a" as it reported itself for the given time.
fleet_target Report(std::uint64_t report_number,
                    target_state reported,
                    const source_revision& revision) {
  fleet_target row;
  row.id = TargetIdOf("a");
  row.address = {kMachine, 8080};
  row.service = kService;
  row.state = reported;
  row.target_start_ms = 1000;
  row.report_number = report_number;
  row.revision = revision;
  return row;
}

std::shared_ptr<const fleet_configuration> Configuration(
    std::uint64_t version) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = version;
  configuration->routes[kRoute].shares = {{kService, 1}};
  return configuration;
}

/// The copy: version 5, target "a" ready at report 3, revision 12.
const source_revision kCopy{12, 2};

/// An entry at revision 20 of epoch 1: version 7, target "a" is draining since
/// its report 6.
fleet_state EntryBeforeRestoration() {
  fleet_state state(fleet_state_limits(), /*first_start=*/true);
  state.ApplyConfiguration(Configuration(7));
  state.ApplyList(kStart, kStart, {20, 1},
                  {Report(6, target_state::draining, {18, 1})});
  return state;
}

/// An entry that starts after the restoration and reads the copy.
fleet_state EntryStartedOnCopy() {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  state.ApplyConfiguration(Configuration(5));
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  return state;
}

const fleet_target& TargetOf(const fleet_state& state) {
  return state.Targets().at(TargetIdOf("a"));
}

bool AcceptsNewFlows(const fleet_state& state, time_point now) {
  return TargetOf(state).AcceptsNewFlows(now);
}

// Guards against changes that are skipped since the restored source assigned
// them revisions that the reader had already passed.
TEST_CASE("changes since a revision of a lost history are not used") {
  const fleet_state state = EntryBeforeRestoration();
  CHECK(state.Relate({20, 1}, {23, 2}) == read_relation::other_history);
  CHECK(state.Relate({20, 1}, {20, 2}) == read_relation::other_history);
  CHECK(state.Relate({20, 1}, {23, 1}) == read_relation::current);
  CHECK(state.Relate({}, kCopy) == read_relation::current);
}

// Guards against a full read that is discarded since its revision has a lower
// number than the lost one.
TEST_CASE("a list of a restored source moves the state to its epoch") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  CHECK(state.Revision() == kCopy);
  CHECK(state.ConfirmedAt() == kRestored);
}

// Guards against new flows for a draining target, which the copy lists as
// ready.
TEST_CASE("a list of a restored source does not undo a later report") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  CHECK_FALSE(AcceptsNewFlows(state, kRestored));
  // The same for a target that has left since.
  fleet_state later = EntryBeforeRestoration();
  fleet_target left = Report(0, target_state::draining, {21, 1});
  left.removed = true;
  later.ApplyChanges(kStart + 1s, kStart + 1s, {21, 1}, {left});
  later.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  CHECK(TargetOf(later).removed);
}

// Guards against new flows for a target that had ended: the copy was made after
// its last report and before its removal.
TEST_CASE("a list of a restored source does not return a removed target") {
  fleet_state state(fleet_state_limits(), /*first_start=*/true);
  state.ApplyList(kStart, kStart, {20, 1},
                  {Report(6, target_state::ready, {18, 1})});
  state.ApplyList(kStart + 700ms, kStart + 700ms, {21, 1}, {});
  REQUIRE_FALSE(AcceptsNewFlows(state, kRestored));
  const fleet_target last_report = Report(6, target_state::ready, {18, 2});
  state.ApplyList(kRestored, kRestored, {20, 2}, {last_report});
  CHECK_FALSE(AcceptsNewFlows(state, kRestored));
  SUBCASE("it was silent and writes again") {
    state.ApplyChanges(kRestored + 1s, kRestored + 1s, {21, 2},
                       {Report(7, target_state::ready, {21, 2})});
    CHECK(AcceptsNewFlows(state, kRestored + 1s));
  }
  SUBCASE("it is still listed when all targets had time to write again") {
    const time_point settled_at = kRestored + 5s;
    REQUIRE(state.NeedsList(settled_at));
    state.ApplyList(settled_at, settled_at, {21, 2}, {last_report});
    CHECK(AcceptsNewFlows(state, settled_at));
  }
}

// Guards against new flows for an ended target through an entry that was not
// the reader when the target ended, and so has not seen its last report.
TEST_CASE(
    "the entry that reads the copy knows a removed target's last report") {
  fleet_state reader(fleet_state_limits(), /*first_start=*/true);
  fleet_state successor(fleet_state_limits(), /*first_start=*/true);
  reader.ApplyList(kStart, kStart, {20, 1},
                   {Report(6, target_state::ready, {18, 1})});
  successor.ApplyUpdate(kStart, reader.UpdateSince(kStart, {}));
  const auto pass_on_changes = [&](std::uint64_t number,
                                   const fleet_target& row) {
    const source_revision base = reader.Revision();
    const time_point now = kStart + std::chrono::milliseconds(number);
    reader.ApplyChanges(now, now, {number, 1}, {row});
    REQUIRE(successor.ApplyUpdate(now, reader.UpdateSince(now, base)) ==
            update_result::applied);
  };
  pass_on_changes(21, Report(9, target_state::ready, {21, 1}));
  fleet_target ended = Report(0, target_state::ready, {22, 1});
  ended.removed = true;
  pass_on_changes(22, ended);
  successor.ApplyList(kRestored, kRestored, {21, 2},
                      {Report(9, target_state::ready, {21, 2})});
  CHECK_FALSE(AcceptsNewFlows(successor, kRestored));
}

// Guards against an older version that replaces a newer one until the operator
// has written again.
TEST_CASE("a configuration of the copy does not replace a later version") {
  fleet_state state = EntryBeforeRestoration();
  CHECK_FALSE(state.ApplyConfiguration(Configuration(5)));
  CHECK(state.ConfigurationVersion() == 7);
}

TEST_CASE("a report written after the restoration counts") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  // The target was restarted under its name; its clock was set back.
  fleet_target restarted = Report(1, target_state::ready, {13, 2});
  restarted.target_start_ms = 900;
  state.ApplyChanges(kRestored + 700ms, kRestored + 700ms, {13, 2},
                     {restarted});
  CHECK(AcceptsNewFlows(state, kRestored + 700ms));
}

// Guards against a target that is ignored for good, since its clock was set
// back before it was restarted.
TEST_CASE("rows that were ignored are decided by a list after the grace") {
  fleet_state state = EntryBeforeRestoration();
  fleet_target restarted = Report(1, target_state::ready, {9, 2});
  restarted.target_start_ms = 900;
  state.ApplyList(kRestored, kRestored, kCopy, {restarted});
  CHECK_FALSE(AcceptsNewFlows(state, kRestored));
  CHECK_FALSE(state.NeedsList(kRestored + 4900ms));
  const time_point settled_at = kRestored + 5s;
  REQUIRE(state.NeedsList(settled_at));
  state.ApplyList(settled_at, settled_at, {14, 2}, {restarted});
  CHECK(AcceptsNewFlows(state, settled_at));
  CHECK_FALSE(state.NeedsList(settled_at));
}

// Guards against entries that keep a row for good that their reader has ignored
// for a while.
TEST_CASE("entries without a list take the decision on ignored rows over") {
  fleet_state reader = EntryBeforeRestoration();
  fleet_state state = EntryBeforeRestoration();
  fleet_target restarted = Report(1, target_state::ready, {9, 2});
  restarted.target_start_ms = 900;
  reader.ApplyList(kRestored, kRestored, kCopy, {restarted});
  REQUIRE(state.ApplyUpdate(kRestored, reader.UpdateSince(kRestored, {})) ==
          update_result::applied);
  const time_point settled_at = kRestored + 5s;
  reader.ApplyList(settled_at, settled_at, kCopy, {restarted});
  // A full state that does not fit a datagram is announced without rows.
  CHECK(state.ApplyUpdate(settled_at, reader.UpdateSince(settled_at, kCopy)) ==
        update_result::gap);
  CHECK(state.ApplyUpdate(settled_at, reader.UpdateSince(settled_at, {})) ==
        update_result::applied);
  CHECK(AcceptsNewFlows(state, settled_at));
  CHECK(state.ApplyUpdate(settled_at + 1s,
                          reader.UpdateSince(settled_at, kCopy)) ==
        update_result::applied);
}

// Guards against new flows for a draining target that cannot write again; the
// source removes it after three heartbeats.
TEST_CASE("an ignored row does not count before its target would be removed") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(3, target_state::ready, {9, 2})});
  const time_point later = kRestored + 3s;
  CHECK_FALSE(state.NeedsList(later));
  state.ApplyList(later, later, {14, 2},
                  {Report(3, target_state::ready, {9, 2})});
  CHECK_FALSE(AcceptsNewFlows(state, later));
}

TEST_CASE("a state without ignored rows needs no further list") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(6, target_state::draining, {11, 2})});
  CHECK_FALSE(state.NeedsList(kRestored + 1min));
}

TEST_CASE("targets that the copy lacks get new flows until they write again") {
  fleet_state state(fleet_state_limits(), /*first_start=*/true);
  state.ApplyList(kRestored - 700ms, kRestored - 700ms, {20, 1},
                  {Report(6, target_state::ready, {18, 1})});
  // The source was away for less than an outage.
  state.ApplyList(kRestored, kRestored, kCopy, {});
  CHECK(AcceptsNewFlows(state, kRestored + 1900ms));
  CHECK_FALSE(AcceptsNewFlows(state, kRestored + 2001ms));
  state.ApplyChanges(kRestored + 1s, kRestored + 1s, {13, 2},
                     {Report(7, target_state::ready, {13, 2})});
  CHECK(AcceptsNewFlows(state, kRestored + 1min));
}

// Guards against a late reply of the lost history that sets back the state or
// confirms it.
TEST_CASE("a late reply from before the restoration is dropped") {
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(6, target_state::draining, {11, 2})});
  CHECK(state.Relate({20, 1}, {22, 1}) == read_relation::outdated);
  CHECK(state.Relate({}, {22, 1}) == read_relation::outdated);
  // A read that began before a peer reported the restoration: its changes have
  // no base in the new epoch.
  CHECK(state.Relate({20, 1}, {22, 2}) == read_relation::outdated);
  state.ApplyList(kRestored + 1s, kRestored + 1s, {22, 1},
                  {Report(3, target_state::ready, {9, 1})});
  CHECK_FALSE(AcceptsNewFlows(state, kRestored + 1s));
  CHECK(state.ConfirmedAt() == kRestored);
}

// Guards against a read from a lagging replica that confirms the state.
TEST_CASE("a stale read of the same epoch is dropped") {
  const fleet_state state = EntryBeforeRestoration();
  CHECK(state.Relate({}, {19, 1}) == read_relation::outdated);
  CHECK(state.Relate({20, 1}, {19, 1}) == read_relation::outdated);
  CHECK(state.Relate({20, 1}, {20, 1}) == read_relation::current);
}

// Guards against a restarted peer that knows only the copy.
TEST_CASE("the complete state of a peer started on the copy undoes nothing") {
  fleet_state state = EntryBeforeRestoration();
  const fleet_state started = EntryStartedOnCopy();
  const fleet_update update = started.UpdateSince(kRestored + 10ms, {});
  CHECK_FALSE(update.settled);
  state.ApplyUpdate(kRestored + 10ms, update);
  CHECK_FALSE(AcceptsNewFlows(state, kRestored + 10ms));
  CHECK(state.ConfigurationVersion() == 7);
  CHECK(state.Revision() == kCopy);
}

// Guards against a peer that was cut off from the source and still has the lost
// history.
TEST_CASE("an update of a lost history is not applied") {
  fleet_state cut_off = EntryBeforeRestoration();
  fleet_target ready = Report(8, target_state::ready, {30, 1});
  cut_off.ApplyChanges(kStart + 1s, kStart + 1s, {30, 1}, {ready});
  fleet_state state = EntryBeforeRestoration();
  state.ApplyList(kRestored, kRestored, kCopy,
                  {Report(6, target_state::draining, {11, 2})});
  for (const source_revision& base : {source_revision(), {20, 1}}) {
    CHECK(state.ApplyUpdate(kRestored + 1s,
                            cut_off.UpdateSince(kRestored + 1s, base)) ==
          update_result::outdated);
  }
  CHECK_FALSE(AcceptsNewFlows(state, kRestored + 1s));
  CHECK(state.Revision() == kCopy);
  CHECK(state.ConfirmedAt() == kRestored);
  CHECK(state.ConfigurationVersion() == 7);
}

// Guards against changes of the new epoch that are applied to the old state.
TEST_CASE("changes of a later epoch require the complete state") {
  fleet_state reader = EntryStartedOnCopy();
  reader.ApplyChanges(kRestored + 3s, kRestored + 3s, {15, 2},
                      {Report(9, target_state::ready, {15, 2})});
  fleet_state state = EntryBeforeRestoration();
  CHECK(state.ApplyUpdate(kRestored + 3s,
                          reader.UpdateSince(kRestored + 3s, kCopy)) ==
        update_result::gap);
  CHECK(state.Revision() == source_revision(20, 1));
  state.ApplyConfiguration(Configuration(8));
  CHECK(state.ApplyUpdate(kRestored + 3s,
                          reader.UpdateSince(kRestored + 3s, {})) ==
        update_result::applied);
  CHECK(state.Revision() == source_revision(15, 2));
  CHECK(AcceptsNewFlows(state, kRestored + 3s));
}

// Guards against a new reader that goes on from the lost history.
TEST_CASE("after a handover the new reader continues in the new epoch") {
  fleet_state reader = EntryBeforeRestoration();
  fleet_state successor = EntryBeforeRestoration();
  reader.ApplyList(kRestored, kRestored, kCopy,
                   {Report(3, target_state::ready, {9, 2})});
  REQUIRE(successor.ApplyUpdate(kRestored, reader.UpdateSince(kRestored, {})) ==
          update_result::applied);
  CHECK(successor.Revision() == kCopy);
  CHECK(successor.Relate(successor.Revision(), {21, 2}) ==
        read_relation::current);
  // Version 8 and a report of "a", at revisions that the lost history had too.
  successor.ApplyChanges(kRestored + 1s, kRestored + 1s, {20, 2},
                         {Report(7, target_state::ready, {19, 2})});
  CHECK(AcceptsNewFlows(successor, kRestored + 1s));
}

// Guards against a reader of an older build, which does not report epochs and
// goes on from the lost history.
TEST_CASE("an update without an epoch is not applied after a restoration") {
  fleet_state older_build(fleet_state_limits(), /*first_start=*/true);
  older_build.ApplyConfiguration(Configuration(5));
  older_build.ApplyList(kRestored, kRestored, 40,
                        {Report(0, target_state::ready, 39)});
  fleet_state state = EntryBeforeRestoration();
  for (const source_revision& base : {source_revision(), source_revision(20)}) {
    CHECK(state.ApplyUpdate(kRestored,
                            older_build.UpdateSince(kRestored, base)) ==
          update_result::outdated);
  }
  CHECK_FALSE(AcceptsNewFlows(state, kRestored));
  CHECK(state.ConfigurationVersion() == 7);
}

// Guards against entries that lose what an older build gave them when they
// first read the epoch themselves.
TEST_CASE("a first read with an epoch follows the state of an older build") {
  fleet_state state(fleet_state_limits(), /*first_start=*/false);
  state.ApplyConfiguration(Configuration(7));
  fleet_state older_build(fleet_state_limits(), /*first_start=*/true);
  older_build.ApplyList(kStart, kStart, 20,
                        {Report(0, target_state::draining, 18)});
  REQUIRE(state.ApplyUpdate(kStart, older_build.UpdateSince(kStart, {})) ==
          update_result::applied);
  CHECK(state.Relate(20, {21, 1}) == read_relation::other_history);
  state.ApplyList(kStart + 1s, kStart + 1s, {21, 1},
                  {Report(6, target_state::draining, {18, 1})});
  CHECK(state.Revision() == source_revision(21, 1));
  CHECK_FALSE(AcceptsNewFlows(state, kStart + 1s));
}

// Guards against a target of the new epoch that counts as ended, since a
// revision with a higher number had ended in the lost history.
TEST_CASE("an ended target of a lost history does not end a later one") {
  fleet_state state = EntryBeforeRestoration();
  fleet_target left = Report(0, target_state::draining, {21, 1});
  left.removed = true;
  state.ApplyChanges(kStart + 1s, kStart + 1s, {21, 1}, {left});
  REQUIRE(state.RecordTargetAbsence(kStart + 2s, kMachine));
  fleet_target later = Report(1, target_state::ready, {14, 2});
  later.id = TargetIdOf("b");
  state.ApplyList(kRestored, kRestored, {14, 2}, {later});
  const auto snapshot = state.Snapshot(kRestored);
  REQUIRE(snapshot->targets.size() == 2);
  for (const fleet_target& item : snapshot->targets) {
    CHECK(item.ended == (item.id == TargetIdOf("a")));
  }
}

}  // namespace
}  // namespace corianderplank
