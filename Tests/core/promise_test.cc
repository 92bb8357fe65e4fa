/// @file
/// What must always hold, under one fault at a time and under many at once.

#include <sstream>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "virtual_world.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

std::string Joined(const std::vector<std::string>& lines) {
  std::ostringstream out;
  for (const std::string& line : lines) {
    out << line << "; ";
  }
  return out.str();
}

world_options OptionsWithSeed(std::uint64_t seed) {
  world_options options;
  options.seed = seed;
  return options;
}

/// Submits a seeded mix of work at a steady rate.
class mixed_load {
 public:
  mixed_load(virtual_world& world, std::uint64_t seed, milliseconds gap)
      : world_(world), seed_(seed), gap_(gap) {}

  void Run(milliseconds duration) {
    left_ = duration;
    Arrive();
  }

 private:
  /// Mean time between two long flows of requests.
  static constexpr milliseconds kConverseGap{200};

  void Arrive() {
    if (left_.count() <= 0) {
      return;
    }
    left_ -= gap_;
    const std::uint64_t draw = MixHash(seed_, ++draws_);
    world_.At(gap_, [this] { Arrive(); });
    const flow_id flow = world_.OpenFlow();
    const auto share = static_cast<std::uint64_t>(kConverseGap / gap_);
    if (draw % share == 0) {
      Converse(flow, draw);
      return;
    }
    request_spec spec;
    spec.timeout = 5s;
    const std::uint64_t kind = draw % 10;
    if (kind == 0) {
      spec.work = work_kind::feed;
      spec.timeout = 3600s;
      spec.count = 40;
    } else if (kind == 1) {
      spec.work = work_kind::upload;
      spec.timeout = 60s;
    } else {
      spec.idempotent = kind < 4;
    }
    const int pieces = spec.work == work_kind::upload ? 4 : 1;
    for (int piece = 0; piece < pieces; ++piece) {
      spec.position = spec.work == work_kind::upload ? piece : 0;
      world_.Submit(flow, spec, milliseconds(5 + draw / 16 % 60),
                    draw % 7 == 0 ? 5000 : 50);
    }
  }

  // Requests that must not run twice, one after the other on a long flow.
  void Converse(flow_id flow, std::uint64_t draw) {
    constexpr int kPieces = 8;
    world_.Expect(flow, kPieces);
    for (int piece = 0; piece < kPieces; ++piece) {
      const milliseconds at(piece * (200 + draw / 32 % 500));
      const milliseconds service(20 + draw / 64 % 400);
      world_.At(at, [this, flow, service] {
        request_spec spec;
        spec.timeout = 5s;
        world_.Submit(flow, spec, service);
      });
    }
  }

  virtual_world& world_;
  std::uint64_t seed_;
  milliseconds gap_;
  milliseconds left_{0};
  std::uint64_t draws_ = 0;
};

std::map<outcome_kind, int> CountOutcomes(const virtual_world& world) {
  std::map<outcome_kind, int> counts;
  for (const auto& [id, record] : world.Work()) {
    for (const request_outcome& outcome : record.outcomes) {
      ++counts[outcome.outcome];
    }
  }
  return counts;
}

void CheckAllAnswered(virtual_world& world) {
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  auto counts = CountOutcomes(world);
  CHECK(counts[outcome_kind::not_run] == 0);
  CHECK(counts[outcome_kind::outcome_unknown] == 0);
  CHECK(world.BrokenFlows() == 0);
  // The agents' count, from which the analyst's report is made.
  CHECK(world.Counters().Get(result_code::answered) ==
        static_cast<std::uint64_t>(counts[outcome_kind::answered]));
}

TEST_CASE("loss, doubling and reordering on every hop lose nothing") {
  world_options options;
  options.loss_permille = 10;
  options.duplicate_permille = 10;
  options.reorder_permille = 20;
  options.agents = 7;
  virtual_world world(options);
  world.CloseWhenDone();
  mixed_load load(world, 3, 10ms);
  load.Run(20s);
  world.RunFor(40s);
  CHECK(world.Work().size() >= 2000);
  CheckAllAnswered(world);
}

TEST_CASE("a drain cuts nothing and the target starts nothing more") {
  for (const drain_reason reason :
       {drain_reason::signal, drain_reason::backend, drain_reason::document,
        drain_reason::instance_list}) {
    virtual_world world(OptionsWithSeed(5));
    world.CloseWhenDone();
    mixed_load load(world, 5, 10ms);
    load.Run(10s);
    world.RunFor(4s);
    world.DrainAgent(1, reason, true);
    const time_point drained_at = world.Now();
    world.RunFor(20s);
    CheckAllAnswered(world);
    for (const backend_record& record : world.Records()) {
      if (record.agent == 1) {
        CHECK(record.started <= drained_at + 3s);
      }
    }
    const lifecycle_state wanted = reason == drain_reason::signal
                                       ? lifecycle_state::stopped
                                       : lifecycle_state::draining;
    CHECK(world.Agent(1).Summary().state == wanted);
    CHECK(world.Agent(1).Summary().flows == 0);
  }
}

TEST_CASE("agents restarted in turn under load cut nothing") {
  virtual_world world(OptionsWithSeed(6));
  world.CloseWhenDone();
  mixed_load load(world, 6, 10ms);
  load.Run(16s);
  for (std::size_t index = 0; index < 4; ++index) {
    world.RunFor(1s);
    world.DrainAgent(index, drain_reason::signal, true);
    while (world.Agent(index).Summary().state != lifecycle_state::stopped) {
      world.RunFor(10ms);
    }
    world.KillAgent(index);
    world.RunFor(200ms);
    world.StartAgent(index);
  }
  world.RunFor(30s);
  CheckAllAnswered(world);
}

TEST_CASE("a killed entry breaks nothing") {
  virtual_world world(OptionsWithSeed(7));
  world.CloseWhenDone();
  mixed_load load(world, 7, 10ms);
  load.Run(10s);
  world.RunFor(3s);
  world.KillEntry(1);
  world.RunFor(40s);
  CheckAllAnswered(world);
}

TEST_CASE("an entry that sleeps for 20 s does no harm when it wakes") {
  virtual_world world(OptionsWithSeed(13));
  world.CloseWhenDone();
  mixed_load load(world, 13, 10ms);
  load.Run(30s);
  world.RunFor(2s);
  world.FreezeEntry(0);
  world.RunFor(20s);
  world.ThawEntry(0);
  world.RunFor(40s);
  CHECK(world.Counters().Get(result_code::stale_datagram) > 0);
  CheckAllAnswered(world);
}

TEST_CASE("a killed agent leaves only its own work in doubt") {
  virtual_world world(OptionsWithSeed(8));
  world.CloseWhenDone();
  mixed_load load(world, 8, 10ms);
  load.Run(10s);
  world.RunFor(3s);
  const std::uint32_t busy = world.BusySlots(0);
  world.KillAgent(0);
  world.RunFor(3s);
  world.StartAgent(0);
  world.RunFor(40s);
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  auto counts = CountOutcomes(world);
  CHECK(counts[outcome_kind::outcome_unknown] <= static_cast<int>(busy) + 8);
  CHECK(counts[outcome_kind::not_run] == 0);
  CHECK(world.BrokenFlows() == 0);
}

TEST_CASE("an agent that sleeps a minute runs nothing late or twice") {
  virtual_world world(OptionsWithSeed(9));
  world.CloseWhenDone();
  mixed_load load(world, 9, 10ms);
  load.Run(10s);
  world.RunFor(3s);
  world.FreezeAgent(2);
  const time_point frozen_at = world.Now();
  world.RunFor(60s);
  const time_point thawed_at = world.Now();
  world.ThawAgent(2);
  world.RunFor(30s);
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  int late = 0;
  for (const backend_record& record : world.Records()) {
    const auto& work = world.Work().at(record.request_id);
    const bool expired = work.spec.timeout < 60s;
    late += record.agent == 2 && record.started >= thawed_at && expired &&
            frozen_at < thawed_at;
  }
  CHECK(late == 0);
}

TEST_CASE("a refused non-idempotent request never runs afterwards") {
  world_options options;
  options.agents = 1;
  options.slots = 1;
  options.queue_per_slot = 1;
  options.duplicate_permille = 300;
  options.reorder_permille = 300;
  virtual_world world(options);
  for (int count = 0; count < 40; ++count) {
    request_spec spec;
    spec.timeout = 400ms;
    world.Submit(world.OpenFlow(), spec, 100ms);
  }
  world.RunFor(20s);
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  CHECK(CountOutcomes(world)[outcome_kind::not_run] > 0);
  // Every end that is no answer was told to an entry.
  for (const auto& [id, record] : world.Work()) {
    const bool answered =
        record.outcomes.front().outcome == outcome_kind::answered;
    CHECK(world.Verdicts().contains(id) != answered);
  }
}

TEST_CASE("both sides of a partition go on with what they reach") {
  virtual_world world(OptionsWithSeed(11));
  world.CloseWhenDone();
  mixed_load load(world, 11, 10ms);
  load.Run(12s);
  world.RunFor(2s);
  for (std::size_t agent = 0; agent < 2; ++agent) {
    world.BlockEntry(0, agent, true);
    world.Block(agent, 2, true);
    world.Block(agent, 3, true);
  }
  world.RunFor(8s);
  for (std::size_t agent = 0; agent < 2; ++agent) {
    world.BlockEntry(0, agent, false);
    world.Block(agent, 2, false);
    world.Block(agent, 3, false);
  }
  world.RunFor(40s);
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  CHECK(world.BrokenFlows() == 0);
  // The agents live and a third of the packets is lost: hardly any doubt.
  const int unknown = CountOutcomes(world)[outcome_kind::outcome_unknown];
  CHECK(unknown * 1000 <= static_cast<int>(world.Work().size()));
}

TEST_CASE("refusals by half of the targets make no storm of retries") {
  world_options options;
  options.agents = 6;
  options.seed = 12;
  virtual_world world(options);
  world.CloseWhenDone();
  for (std::size_t index = 0; index < 3; ++index) {
    world.SetBackend(index, backend_mode::sheds);
  }
  mixed_load load(world, 12, 10ms);
  load.Run(20s);
  world.RunFor(100s);
  CHECK_MESSAGE(world.Violations().empty(), Joined(world.Violations()));
  const auto retries = world.Counters().Get(result_code::retried_after_refusal);
  // The budget: a fifth of the first tries, and the reserve.
  CHECK(retries <= world.Work().size() / 5 + 20);
}

/// Faults of the random storms.
enum class fault {
  kill_agent,
  start_agent,
  freeze_agent,
  thaw_agent,
  drain_agent,
  undrain_agent,
  kill_entry,
  start_entry,
  cut_agents,
  heal_agents,
  cut_entry,
  heal_entry,
  backend_sheds,
  backend_loses,
  backend_dies,
  backend_works,
};
constexpr int kFaults = 16;

void Inject(virtual_world& world, fault what, std::size_t which) {
  const std::size_t agent = which % 4;
  const std::size_t other = (agent + 1 + which / 4 % 3) % 4;
  switch (what) {
    case fault::kill_agent:
      world.KillAgent(agent);
      return;
    case fault::start_agent:
      if (!world.IsUp(agent)) {
        world.StartAgent(agent);
      }
      return;
    case fault::freeze_agent:
      world.FreezeAgent(agent);
      return;
    case fault::thaw_agent:
      world.ThawAgent(agent);
      return;
    case fault::drain_agent:
      world.DrainAgent(agent, drain_reason::backend, true);
      return;
    case fault::undrain_agent:
      world.DrainAgent(agent, drain_reason::backend, false);
      return;
    case fault::kill_entry:
      world.KillEntry(which % 3);
      return;
    case fault::start_entry:
      world.StartEntry(which % 3);
      return;
    case fault::cut_agents:
      world.Block(agent, other, true);
      return;
    case fault::heal_agents:
      world.Block(agent, other, false);
      return;
    case fault::cut_entry:
      world.BlockEntry(which % 3, agent, true);
      return;
    case fault::heal_entry:
      world.BlockEntry(which % 3, agent, false);
      return;
    case fault::backend_sheds:
      world.SetBackend(agent, backend_mode::sheds);
      return;
    case fault::backend_loses:
      world.SetBackend(agent, backend_mode::loses);
      return;
    case fault::backend_dies:
      world.SetBackend(agent, backend_mode::unreachable);
      return;
    case fault::backend_works:
      world.SetBackend(agent, backend_mode::works);
      return;
  }
}

TEST_CASE("no storm of faults breaks what must always hold") {
  const bool held =
      rc::check("every seeded order of faults", [](std::uint64_t seed) {
        const auto faults =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                12, rc::gen::pair(rc::gen::inRange(0, kFaults),
                                  rc::gen::inRange(0, 48)));
        world_options options;
        options.seed = seed;
        options.loss_permille = 10;
        options.duplicate_permille = 20;
        options.reorder_permille = 50;
        virtual_world world(options);
        world.CloseWhenDone();
        mixed_load load(world, seed, 40ms);
        load.Run(9s);
        for (const auto& [what, which] : faults) {
          world.RunFor(700ms);
          Inject(world, static_cast<fault>(what),
                 static_cast<std::size_t>(which));
        }
        world.RunFor(150s);
        RC_ASSERT(Joined(world.Violations()) == std::string());
      });
  CHECK(held);
}

}  // namespace
}  // namespace corianderplank
