/// @file
/// The modules of core, one decision at a time.

#include <doctest/doctest.h>

#include "core/admission_queue.h"
#include "core/backend_monitor.h"
#include "core/document_store.h"
#include "core/flow_locator.h"
#include "core/lifecycle.h"
#include "core/load_reporter.h"
#include "core/retry_budget.h"
#include "core/slot_ramp.h"
#include "core/token_authority.h"
#include "core/two_choice_picker.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;

environment_document MakeDocument(const std::string& environment,
                                  std::uint64_t revision,
                                  std::uint64_t checksum) {
  environment_document document;
  document.environment = environment;
  document.revision = {revision};
  document.checksum = checksum;
  return document;
}

service MakeService(const std::string& name, std::size_t targets) {
  service of;
  of.name = name;
  of.id = ServiceIdOf(name);
  for (std::size_t index = 0; index < targets; ++index) {
    target item;
    item.name = name + std::to_string(index);
    item.id = TargetIdOf(item.name);
    item.agent = {static_cast<std::uint32_t>(0x0a000001 + index), 6000};
    item.slots = 4;
    of.targets.push_back(item);
  }
  return of;
}

TEST_CASE("the document's revision never goes down") {
  counters counted;
  document_store store("steppe", counted);
  CHECK(store.Offer(MakeDocument("steppe", 5, 1)) == result_code::answered);
  CHECK(store.Offer(MakeDocument("steppe", 4, 2)) ==
        result_code::lower_revision);
  CHECK(store.Offer(MakeDocument("steppe", 5, 1)) == result_code::answered);
  CHECK(store.Offer(MakeDocument("steppe", 5, 9)) ==
        result_code::same_revision_differs);
  CHECK(store.Offer(MakeDocument("steppe-trial", 8, 1)) ==
        result_code::other_environment);
  CHECK(store.Revision().value == 5);
  CHECK(store.InForce()->checksum == 1);
  CHECK(store.Offer(MakeDocument("steppe", 9, 3)) == result_code::answered);
  CHECK(store.Revision().value == 9);
  CHECK(counted.Get(result_code::lower_revision) == 1);
  CHECK(counted.Get(result_code::same_revision_differs) == 1);
  CHECK(counted.Get(result_code::other_environment) == 1);
}

TEST_CASE("a token is good for one reservation of one flow only") {
  const token_authority issuer({1}, {2}, {3}, {7});
  const flow_token token = issuer.Issue({10}, 20);
  CHECK(issuer.Check({10}, token) == result_code::answered);
  CHECK(issuer.Check({11}, token) == result_code::bad_token);
  flow_token changed = token;
  changed.serial = 21;
  CHECK(issuer.Check({10}, changed) == result_code::bad_token);
  changed = token;
  changed.service = {9};
  CHECK(issuer.Check({10}, changed) == result_code::wrong_service);
  changed = token;
  changed.incarnation = {4};
  CHECK(issuer.Check({10}, changed) == result_code::stale_incarnation);
  const token_authority other_secret({1}, {2}, {3}, {8});
  CHECK(other_secret.Check({10}, token) == result_code::bad_token);
}

TEST_CASE("a token of another service locates nothing") {
  environment_document document = MakeDocument("steppe", 1, 1);
  document.services.push_back(MakeService("a", 3));
  document.services.push_back(MakeService("b", 3));
  const routing_table table(document, {}, nullptr);
  const token_locator locator;
  packet value;
  value.token = flow_token{TargetIdOf("b0"), ServiceIdOf("b"), {}, 0, 0};
  const service_routes& routes = *table.Find(ServiceIdOf("a"));
  CHECK(locator.Locate(routes, value).code == result_code::wrong_service);
  // A forged service does not help: the target is not one of the service's.
  value.token->service = ServiceIdOf("a");
  CHECK(locator.Locate(routes, value).code == result_code::unknown_target);
  value.token->target = TargetIdOf("a1");
  CHECK(locator.Locate(routes, value).target->id == TargetIdOf("a1"));
}

TEST_CASE("a target that the document dropped stays reachable for its flows") {
  environment_document document = MakeDocument("steppe", 1, 1);
  document.services.push_back(MakeService("a", 3));
  const routing_table before(document, {}, nullptr);
  document.services[0].targets.erase(document.services[0].targets.begin());
  const routing_table after(document, {}, &before);
  const service_routes& routes = *after.Find(ServiceIdOf("a"));
  REQUIRE(routes.Find(TargetIdOf("a0")) != nullptr);
  CHECK_FALSE(routes.Find(TargetIdOf("a0"))->takes_opens);
  CHECK(routes.OpenCount() == 2);
  for (std::uint64_t hash = 0; hash < 100; ++hash) {
    CHECK(routes.Draw(hash)->id != TargetIdOf("a0"));
  }
}

TEST_CASE("silent targets are ejected, but never more than half") {
  environment_document document = MakeDocument("steppe", 1, 1);
  document.services.push_back(MakeService("a", 4));
  const routing_table table(document, {}, nullptr);
  const service_routes& routes = table.Services().front();
  counters counted;
  two_choice_picker picker(counted);
  time_point now = kStart;
  for (std::uint64_t flow = 0; flow < 4000; ++flow) {
    now += 1ms;
    REQUIRE(picker.Pick(now, routes, MixHash(flow, 1), {}) != nullptr);
  }
  std::size_t ejected = 0;
  for (const route_target& item : routes.Targets()) {
    ejected += picker.IsEjected(now, item.id) ? 1 : 0;
  }
  CHECK(ejected == 2);
  const std::uint64_t before = counted.Get(result_code::target_readmitted);
  // A target that speaks again is readmitted after its time.
  now += 60s;
  for (const route_target& item : routes.Targets()) {
    picker.OnLoad(now, item.id, 0, true);
  }
  for (std::uint64_t flow = 0; flow < 50; ++flow) {
    picker.Pick(now, routes, MixHash(flow, 2), {});
  }
  CHECK(counted.Get(result_code::target_readmitted) - before == 2);
}

TEST_CASE("a target that passed an open on is not silent") {
  environment_document document = MakeDocument("steppe", 1, 1);
  document.services.push_back(MakeService("a", 4));
  const routing_table table(document, {}, nullptr);
  const service_routes& routes = table.Services().front();
  counters counted;
  two_choice_picker picker(counted);
  time_point now = kStart;
  for (std::uint64_t flow = 0; flow < 4000; ++flow) {
    now += 1ms;
    picker.OnPassedOn(picker.Pick(now, routes, MixHash(flow, 1), {})->id);
  }
  CHECK(counted.Get(result_code::target_ejected) == 0);
}

TEST_CASE("classes share the slots by weight and the lightest gives way") {
  std::vector<traffic_class> classes(2);
  classes[0].weight = 3;
  classes[1].weight = 1;
  admission_queue queue;
  queue.Configure(classes, 8, 4);
  for (std::uint32_t index = 0; index < 4; ++index) {
    CHECK(queue.Push(0, {{index, 1}, kStart}).accepted);
    CHECK(queue.Push(1, {{10 + index, 1}, kStart}).accepted);
  }
  CHECK_FALSE(queue.Push(1, {{50, 1}, kStart}).accepted);
  const admission_result heavy = queue.Push(0, {{51, 1}, kStart});
  CHECK(heavy.accepted);
  REQUIRE(heavy.displaced);
  CHECK(heavy.displaced->index == 13);
  int heavy_started = 0;
  for (int start = 0; start < 4; ++start) {
    heavy_started += queue.Pop(1)->index < 10 ? 1 : 0;
  }
  CHECK(heavy_started == 3);
}

TEST_CASE("a class keeps to its highest share") {
  std::vector<traffic_class> classes(1);
  classes[0].max_share_permille = 500;
  admission_queue queue;
  queue.Configure(classes, 8, 4);
  for (std::uint32_t index = 0; index < 4; ++index) {
    queue.Push(0, {{index, 1}, kStart});
  }
  CHECK(queue.Pop(4));
  CHECK(queue.Pop(3));
  CHECK_FALSE(queue.Pop(2));
  queue.OnFinished(0);
  CHECK(queue.Pop(3));
}

TEST_CASE("a cold target's slots open up one after the other") {
  slot_ramp ramp;
  CHECK(ramp.SlotLimit(kStart, 4) == 4);
  ramp.Configure(kStart, 10s);
  CHECK(ramp.SlotLimit(kStart, 4) == 1);
  CHECK(ramp.SlotLimit(kStart + 5s, 4) == 2);
  CHECK(ramp.SlotLimit(kStart + 10s, 4) == 4);
  // A new document does not begin the ramp anew.
  ramp.Configure(kStart + 9s, 10s);
  CHECK(ramp.SlotLimit(kStart + 11s, 4) == 4);
}

TEST_CASE("a backend server is judged by its results") {
  backend_monitor monitor;
  monitor.OnResult(kStart, execution_status::unreachable);
  monitor.OnResult(kStart, execution_status::unreachable);
  CHECK_FALSE(monitor.IsSuspended(kStart));
  monitor.OnResult(kStart, execution_status::lost);
  CHECK(monitor.IsSuspended(kStart + 900ms));
  CHECK_FALSE(monitor.IsSuspended(kStart + 1100ms));
  monitor.OnResult(kStart + 2s, execution_status::unreachable);
  CHECK(monitor.IsSuspended(kStart + 3900ms));
  monitor.OnResult(kStart + 5s, execution_status::completed);
  CHECK_FALSE(monitor.IsSuspended(kStart + 5s));
  monitor.OnResult(kStart + 6s, execution_status::shed);
  CHECK(monitor.LoadPenaltyPermille(kStart + 6s) == 1000);
  CHECK(monitor.LoadPenaltyPermille(kStart + 7s) == 0);
  for (int refusal = 0; refusal < 3; ++refusal) {
    monitor.OnResult(kStart + 8s, execution_status::shed);
  }
  CHECK_FALSE(monitor.IsSuspended(kStart + 8s));
  monitor.OnResult(kStart + 8s, execution_status::shed);
  CHECK(monitor.IsSuspended(kStart + 8s));
}

TEST_CASE("retries stay within a share of the first tries") {
  retry_budget budget(0.2, 5);
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnFirstTry();
    retries += budget.TryConsumeRetry() ? 1 : 0;
  }
  CHECK(retries <= 205);
  CHECK(retries >= 195);
}

TEST_CASE("load reports keep to their budget and tell a drain at once") {
  load_reporter reporter;
  reporter.SetBudget(5);
  int reports = 0;
  for (int step = 0; step < 10000; ++step) {
    const std::uint32_t load = step % 2 == 0 ? 0 : 2000;
    reports += reporter.ShouldReport(kStart + step * 1ms, load, 400, true);
  }
  CHECK(reports <= 50 + 8);
  CHECK(reporter.ShouldReport(kStart + 10s, 0, 400, false));
}

TEST_CASE("a daemon drains before it stops") {
  lifecycle life;
  CHECK(life.State() == lifecycle_state::starting);
  life.OnEmpty();
  CHECK(life.State() == lifecycle_state::starting);
  life.OnReady();
  CHECK(life.IsServing());
  life.OnDrain();
  CHECK(life.State() == lifecycle_state::draining);
  life.OnUndrain();
  CHECK(life.IsServing());
  life.OnDrain();
  life.OnReady();
  CHECK(life.State() == lifecycle_state::draining);
  life.OnEmpty();
  CHECK(life.State() == lifecycle_state::stopped);
  life.OnUndrain();
  CHECK(life.State() == lifecycle_state::stopped);
}

TEST_CASE("result codes are in order and each is found by its number") {
  result_code last = result_code::answered;
  for (const result_code_entry& entry : ResultCodeTable()) {
    CHECK(entry.code >= last);
    CHECK(FindResultCode(entry.code) == &entry);
    last = entry.code;
  }
  CHECK(FindResultCode(static_cast<result_code>(999)) == nullptr);
  CHECK(OutcomeOf(static_cast<result_code>(999)) ==
        outcome_kind::outcome_unknown);
}

}  // namespace
}  // namespace corianderplank
