/// @file
/// Tests of fleet_synchronizer: what the store has acknowledged reaches every
/// entry within the limit, whichever entries stop, and is never undone.

#include <doctest/doctest.h>

#include <algorithm>

#include "core/flow_handover.h"
#include "net/http_client.h"
#include "synchronizer_fixture.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Time within which a change must be in force everywhere.
constexpr std::chrono::milliseconds kPropagationLimit = 3s;
/// Time for the entries to find each other and to settle on one reader.
constexpr std::chrono::milliseconds kSettlingTime = 1500ms;

// Guards against a configuration that no entry reads any more because its
// reader froze after announcing it.
TEST_CASE("a configuration announced by a reader that freezes is read again") {
  test_store store;
  store.PutConfiguration(3);
  test_entry reader(store, 1);
  test_entry second(store, 2);
  test_entry third(store, 3);
  REQUIRE(WaitUntil(
      [&] {
        return reader.Version() == 3 && second.Version() == 3 &&
               third.Version() == 3 && reader.Snapshot()->entries == 3;
      },
      3s));
  std::this_thread::sleep_for(kSettlingTime);
  reader.FreezeAfterBroadcast(7);
  store.PutConfiguration(7);
  CHECK(WaitUntil([&] { return second.Version() == 7 && third.Version() == 7; },
                  kPropagationLimit));
}

// Guards against new flows in an evacuated domain through entries that did not
// read the request, since the reader stops, or cannot read, since they start
// without the store; and against agents that nobody tells of it.
TEST_CASE("an evacuation reaches all entries and agents, and ends everywhere") {
  test_store store;
  store.PutConfiguration(3);
  store.PutTarget("target", 1, target_state::ready);
  test_agent agent(99);
  test_entry reader(store, 1);
  test_entry second(store, 2);
  test_entry third(store, 3);
  REQUIRE(WaitUntil(
      [&] {
        return reader.GivesNewFlowsTo("target") &&
               second.GivesNewFlowsTo("target") &&
               third.GivesNewFlowsTo("target") &&
               reader.Snapshot()->entries == 3;
      },
      3s));
  std::this_thread::sleep_for(kSettlingTime);
  store.SetEvacuated(kTargetDomain, true);
  reader.Freeze();
  CHECK(WaitUntil(
      [&] {
        return !second.GivesNewFlowsTo("target") &&
               !third.GivesNewFlowsTo("target");
      },
      kPropagationLimit));
  const auto agent_hears = [&](bool evacuated) {
    const std::vector<mesh_message> received = agent.TakeReceived();
    return std::any_of(received.begin(), received.end(),
                       [&](const mesh_message& message) {
                         return message.kind == mesh_kind::evacuation &&
                                message.evacuation.evacuated == evacuated;
                       });
  };
  CHECK(WaitUntil([&] { return agent_hears(true); }, kPropagationLimit));
  test_entry late(store, 4);
  late.Client().SetReachable(false);
  CHECK(WaitUntil([&] { return late.Version() == 3; }, kPropagationLimit));
  CHECK_FALSE(late.GivesNewFlowsTo("target"));
  // An agent that is started again reports itself to the seeds.
  agent.TakeReceived();
  mesh_message present;
  present.kind = mesh_kind::present;
  agent.SendTo(2, present);
  CHECK(WaitUntil([&] { return agent_hears(true); }, 500ms));
  store.SetEvacuated(kTargetDomain, false);
  CHECK(WaitUntil(
      [&] {
        return second.GivesNewFlowsTo("target") &&
               third.GivesNewFlowsTo("target") &&
               late.GivesNewFlowsTo("target");
      },
      kPropagationLimit));
  CHECK(WaitUntil([&] { return agent_hears(false); }, kPropagationLimit));
}

// Guards against an entry that defers its own reads for good while its reader
// announces a configuration that it cannot fetch, as on a link that loses one
// direction.
TEST_CASE("a configuration that cannot be fetched is read from the store") {
  test_store store;
  store.PutConfiguration(3);
  test_entry reader(store, 1);
  test_entry second(store, 2, test_entry::peer_fetches::unanswered);
  REQUIRE(WaitUntil(
      [&] {
        return reader.Version() == 3 && second.Version() == 3 &&
               second.Snapshot()->entries == 2;
      },
      3s));
  std::this_thread::sleep_for(kSettlingTime);
  store.PutConfiguration(7);
  CHECK(WaitUntil([&] { return second.Version() == 7; }, kPropagationLimit));
}

/// @return body of an entry's answer; empty if there is none.
std::string Get(const endpoint& server, const std::string& target) {
  event_loop loop;
  http_client client(loop, server);
  client_request request;
  request.target = target;
  std::string body;
  client.Send(request, [&](const client_result& result) {
    body = result.body;
    loop.Stop();
  });
  loop.Run();
  return body;
}

// Guards against a configuration that is late on slow links, since its reader
// sends the complete text to each of many peers.
TEST_CASE("a large configuration is compressed for peers that can read it") {
  constexpr std::size_t kTextBytes = 1000000;
  test_store store;
  store.PutConfiguration(3, kTextBytes);
  const test_entry reader(store, 1);
  const test_entry second(store, 2);
  REQUIRE(WaitUntil(
      [&] { return reader.Version() == 3 && second.Version() == 3; }, 3s));
  CHECK(second.Snapshot()->configuration->source ==
        reader.Snapshot()->configuration->source);
  for (const test_entry* entry : {&reader, &second}) {
    const endpoint server = entry->FleetStateEndpoint();
    CHECK(Get(server, "/belief?compressed=1").size() < kTextBytes / 10);
    // Older builds ask without the parameter.
    CHECK(Get(server, "/belief").size() > kTextBytes);
  }
}

// Guards against entries that see no change until the store drops its history,
// since each read of the changes is larger than the one that failed before.
TEST_CASE("changes that are too large are replaced by the list") {
  test_store store;
  store.PutConfiguration(3);
  test_entry reader(store, 1);
  test_entry second(store, 2);
  REQUIRE(WaitUntil(
      [&] { return reader.Version() == 3 && second.Version() == 3; }, 3s));
  reader.Client().SetChangesTooLarge(true);
  second.Client().SetChangesTooLarge(true);
  store.PutConfiguration(7);
  store.PutTarget("a", 1, target_state::ready);
  CHECK(WaitUntil(
      [&] {
        return reader.Version() == 7 && second.Version() == 7 &&
               reader.GivesNewFlowsTo("a") && second.GivesNewFlowsTo("a");
      },
      kPropagationLimit));
}

// Guards against a configuration that is never read: a store restored from an
// older copy gave it a revision that the reader had already passed.
TEST_CASE("a configuration of a restored store is read at a reused revision") {
  test_store store;
  store.PutConfiguration(3);
  test_entry first(store, 1);
  test_entry second(store, 2);
  REQUIRE(WaitUntil([&] { return second.Version() == 3; }, 3s));
  const test_store::content copy = store.Copy();
  store.PutConfiguration(5);
  store.PutConfiguration(7);
  REQUIRE(WaitUntil(
      [&] { return first.Version() == 7 && second.Version() == 7; }, 3s));
  store.Restore(copy);
  store.PutConfiguration(7);
  store.PutConfiguration(8);
  CHECK(WaitUntil([&] { return first.Version() == 8 && second.Version() == 8; },
                  kPropagationLimit));
}

// Guards against a configuration or a target that is set back by a read from a
// replica that lags behind.
TEST_CASE("a stale read sets back neither configuration nor targets") {
  test_store store;
  store.PutConfiguration(5);
  store.PutTarget("a", 3, target_state::ready);
  const test_store::content stale = store.Copy();
  store.PutConfiguration(7);
  store.PutTarget("a", 4, target_state::draining);
  test_entry entry(store, 1);
  REQUIRE(WaitUntil([&] { return entry.Version() == 7; }, 3s));
  entry.Client().LagBehind(stale);
  CHECK_FALSE(WaitUntil([&] { return entry.GivesNewFlowsTo("a"); }, 1500ms));
  CHECK(entry.OutdatedReads() > 0);
  entry.Client().CatchUp();
  store.PutConfiguration(8);
  CHECK(WaitUntil([&] { return entry.Version() == 8; }, kPropagationLimit));
  CHECK_FALSE(entry.HasGoneBack());
  CHECK_FALSE(entry.GivesNewFlowsTo("a"));
}

// Guards against a reply of the lost history that arrives after a peer has
// reported the restoration, and confirms the state or sets it back.
TEST_CASE("a late reply of a lost history is dropped") {
  test_store store;
  store.PutConfiguration(5);
  store.PutTarget("a", 3, target_state::ready);
  test_entry first(store, 1);
  test_entry second(store, 2);
  REQUIRE(WaitUntil(
      [&] {
        return first.GivesNewFlowsTo("a") && second.Version() == 5 &&
               second.Snapshot()->entries == 2;
      },
      3s));
  std::this_thread::sleep_for(kSettlingTime);
  const test_store::content copy = store.Copy();
  first.Client().SetReplyDelay(600ms);
  REQUIRE(WaitUntil([&] { return !first.Client().HasPendingReply(); }, 3s));
  REQUIRE(WaitUntil([&] { return first.Client().HasPendingReply(); }, 3s));
  store.Restore(copy);
  store.PutConfiguration(7);
  store.PutTarget("a", 4, target_state::draining);
  second.RequestConfirmation();
  CHECK(WaitUntil([&] { return first.OutdatedReads() > 0; }, 1500ms));
  first.Client().SetReplyDelay(0ms);
  CHECK(WaitUntil(
      [&] { return first.Version() == 7 && !first.GivesNewFlowsTo("a"); },
      kPropagationLimit));
  CHECK_FALSE(first.HasGoneBack());
}

// Guards against a configuration or a target that is set back to the content of
// the copy, or later changes that are missed, whatever happens to the entries
// while the store is restored.
TEST_CASE("a restored store sets back nothing and hides no later change") {
  test_store store;
  store.PutConfiguration(5);
  store.PutTarget("a", 3, target_state::ready);
  test_entry first(store, 1);
  test_entry second(store, 2);
  REQUIRE(WaitUntil(
      [&] {
        return second.Version() == 5 && first.GivesNewFlowsTo("a") &&
               second.Snapshot()->entries == 2;
      },
      3s));
  const test_store::content copy = store.Copy();
  store.PutConfiguration(7);
  store.PutTarget("a", 4, target_state::draining);
  REQUIRE(WaitUntil(
      [&] {
        return first.Version() == 7 && second.Version() == 7 &&
               !first.GivesNewFlowsTo("a") && !second.GivesNewFlowsTo("a");
      },
      3s));
  const test_store::content lost = store.Copy();
  std::unique_ptr<test_entry> started;
  bool first_runs = true;
  store.Restore(copy);
  SUBCASE("all entries go on") {}
  SUBCASE("the settings are reloaded") {
    first.ReloadSettings();
    second.ReloadSettings();
  }
  SUBCASE("an entry starts and knows only the copy") {
    started = std::make_unique<test_entry>(store, 3);
  }
  SUBCASE("an entry is cut off from the store") {
    first.Client().SetReachable(false);
  }
  SUBCASE("an entry's reads are stale") {
    first.Client().LagBehind(lost);
  }
  SUBCASE("the reader stops") {
    first.Freeze();
    first_runs = false;
  }
  CHECK_FALSE(WaitUntil(
      [&] {
        return (first_runs && first.GivesNewFlowsTo("a")) ||
               second.GivesNewFlowsTo("a");
      },
      1500ms));
  first.Client().SetReachable(true);
  first.Client().CatchUp();
  store.PutTarget("a", 4, target_state::draining);
  store.PutConfiguration(7);
  store.PutConfiguration(8);
  store.PutTarget("b", 1, target_state::ready);
  CHECK(WaitUntil(
      [&] {
        return (!first_runs ||
                (first.Version() == 8 && first.GivesNewFlowsTo("b"))) &&
               second.Version() == 8 && second.GivesNewFlowsTo("b");
      },
      kPropagationLimit));
  CHECK_FALSE(first.HasGoneBack());
  CHECK_FALSE(second.HasGoneBack());
  CHECK_FALSE(second.GivesNewFlowsTo("a"));
}

// Guards against resets of live flows by an entry that starts while the entries
// of their targets are missing from the store.
TEST_CASE("an entry that starts learns of the targets removed before") {
  test_store store;
  store.PutConfiguration(3);
  store.PutTarget("a", 1, target_state::ready);
  test_entry seed(store, 1);
  test_entry second(store, 2);
  REQUIRE(WaitUntil(
      [&] { return seed.GivesNewFlowsTo("a") && second.GivesNewFlowsTo("a"); },
      3s));
  store.RemoveTarget("a");
  REQUIRE(WaitUntil([&] { return !seed.GivesNewFlowsTo("a"); }, 3s));
  std::uint8_t number = 4;
  SUBCASE("an entry") {}
  SUBCASE("a seed") {
    number = 3;
  }
  const test_entry started(store, number, test_entry::peer_fetches::served,
                           /*first_start=*/false);
  REQUIRE(WaitUntil(
      [&] {
        const auto snapshot = started.Snapshot();
        return snapshot != nullptr && snapshot->knows_all_holders;
      },
      5s));
  const auto snapshot = started.Snapshot();
  REQUIRE(snapshot->targets.size() == 1);
  CHECK(snapshot->targets[0].id == TargetIdOf("a"));
  CHECK_FALSE(started.GivesNewFlowsTo("a"));
}

// Guards against an entry that is restarted while the store is silent and
// serves nobody until its own read has failed.
TEST_CASE("an entry that starts gets its state from a peer without the store") {
  test_store store;
  store.PutConfiguration(3);
  store.PutTarget("a", 1, target_state::ready);
  test_entry seed(store, 1);
  REQUIRE(WaitUntil([&] { return seed.GivesNewFlowsTo("a"); }, 3s));
  store.SetSilent(true);
  const test_entry started(store, 4, test_entry::peer_fetches::served,
                           /*first_start=*/false);
  CHECK(WaitUntil([&] { return started.Version() == 3; }, 3s));
  CHECK(started.GivesNewFlowsTo("a"));
}

/// @return the parts of the handover for an agent that started at 2000 ms,
/// which it requests from an entry until they arrive; empty if none do.
std::vector<mesh_message> RequestHandover(test_agent& agent,
                                          std::uint8_t entry) {
  mesh_message request;
  request.kind = mesh_kind::handover_request;
  request.sender_started_ms = 2000;
  std::vector<mesh_message> parts;
  WaitUntil(
      [&] {
        agent.SendTo(entry, request);
        std::this_thread::sleep_for(50ms);
        for (const mesh_message& message : agent.TakeReceived()) {
          if (message.kind == mesh_kind::flow_handover &&
              message.part_count > 0) {
            parts.push_back(message);
          }
        }
        return !parts.empty();
      },
      1s);
  return parts;
}

/// @return a handover with one flow, of an agent that started at 1000 ms.
mesh_message OneFlow() {
  flow_handover handover;
  handover.started_ms = 1000;
  handover.complete = true;
  handover.flows = {{{{1, 2}, {3, 4}}, 5, flow_query_result::holds}};
  return SplitHandover(handover).front();
}

TEST_CASE("a seed gives an agent's flows to its successor") {
  test_store store;
  test_entry seed(store, 1);
  test_agent agent(50);
  test_agent other(51);
  agent.SendTo(1, OneFlow());
  const std::vector<mesh_message> parts = RequestHandover(agent, 1);
  REQUIRE_FALSE(parts.empty());
  REQUIRE(parts[0].queries.size() == 1);
  CHECK(parts[0].queries[0].flow == flow_address{{1, 2}, {3, 4}});
  CHECK(RequestHandover(other, 1).empty());
}

// Guards against flows that nobody knows since agent and seed are restarted one
// right after the other.
TEST_CASE("a seed that ends as planned passes on the flows that it keeps") {
  test_store store;
  test_entry first(store, 1);
  test_entry second(store, 2);
  test_agent agent(50);
  agent.SendTo(1, OneFlow());
  std::this_thread::sleep_for(200ms);
  first.Stop();
  std::this_thread::sleep_for(200ms);
  CHECK_FALSE(RequestHandover(agent, 2).empty());
}

}  // namespace
}  // namespace corianderplank
