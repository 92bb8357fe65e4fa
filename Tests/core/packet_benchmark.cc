/// @file
/// Measures the cost of decisions on the packet path with 10 to 5,000 targets.

#include <benchmark/benchmark.h>

#include <cstdio>
#include <map>
#include <string>

#include "packet_recorder.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
const std::uint64_t kOwnFailureDomain = HashName("zone");
const endpoint kAddress{200, 443};

/// Counts the messages of an entry and discards them.
class counting_effects : public packet_entry_effects {
 public:
  void SendToAgent(machine_address /*machine*/,
                   const mesh_message& message) override {
    ++messages;
    query_count += message.queries.size();
  }
  void SendToClient(const endpoint& /*client*/,
                    std::string_view /*packet*/) override {}
  void RequestConfirmation() override {}
  void OnDecision(const flow_decision& /*decision*/) override {}

  std::uint64_t messages = 0;
  std::uint64_t query_count = 0;
};

std::shared_ptr<const fleet_snapshot> MakeSnapshot(std::int64_t targets) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = 1;
  configuration->routes[kAddress].shares = {{kService, 1}};
  configuration->services = {kService};
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->configuration = configuration;
  snapshot->confirmed_at = kStart;
  for (std::int64_t index = 1; index <= targets; ++index) {
    fleet_target item;
    item.id = {static_cast<std::uint64_t>(index) * 7919};
    item.address = {static_cast<std::uint32_t>(index), 8080};
    item.service = kService;
    item.failure_domain = index % 8 == 0 ? kOwnFailureDomain : 1;
    snapshot->targets.push_back(item);
  }
  return snapshot;
}

flow_packet MakePacket(std::uint32_t client) {
  flow_packet packet;
  packet.source = {1000 + client / 50000,
                   static_cast<std::uint16_t>(1 + client % 50000)};
  packet.destination = kAddress;
  packet.acknowledge = true;
  packet.acknowledgement = 501;
  return packet;
}

/// An entry with open flows.
struct entry_benchmark {
  explicit entry_benchmark(std::int64_t targets)
      : entry(kOwnFailureDomain, format, effects, counted, {}) {
    entry.OnSnapshot(kStart, MakeSnapshot(targets));
  }

  void Open(std::uint32_t client) {
    flow_packet opening = MakePacket(client);
    opening.synchronize = true;
    opening.acknowledge = false;
    entry.OnClientDatagram(kStart, plain_format::Encode(opening));
    mesh_message opened;
    opened.kind = mesh_kind::opened;
    opened.flow = opening.FromClient();
    opened.sequence = 500;
    entry.OnAgentMessage(kStart, 1, opened);
  }

  plain_format format;
  counting_effects effects;
  counters counted;
  packet_entry entry;
};

constexpr std::uint32_t kFlowCount = 10000;

void EntryForwards(benchmark::State& state) {
  entry_benchmark bench(state.range(0));
  std::vector<std::string> packets;
  for (std::uint32_t client = 0; client < kFlowCount; ++client) {
    bench.Open(client);
    packets.push_back(plain_format::Encode(MakePacket(client)));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    bench.entry.OnClientDatagram(kStart, packets[next]);
    next = (next + 1) % packets.size();
  }
}

void EntryPlaces(benchmark::State& state) {
  entry_benchmark bench(state.range(0));
  std::uint32_t client = 0;
  for (auto _ : state) {
    bench.Open(client++);
  }
}

void EntrySearches(benchmark::State& state) {
  entry_benchmark bench(state.range(0));
  std::uint32_t client = 0;
  for (auto _ : state) {
    bench.entry.OnClientDatagram(kStart,
                                 plain_format::Encode(MakePacket(client++)));
    bench.entry.Flush();
  }
}

/// Discards the messages of an agent.
class discarding_effects : public packet_agent_effects {
 public:
  void SendToTarget(std::string_view /*packet*/) override {}
  void SendToClient(const endpoint& /*client*/,
                    std::string_view /*packet*/) override {}
  void SendToEntry(const endpoint& /*entry*/,
                   const mesh_message& /*message*/) override {}
  void OnAnswered(std::chrono::milliseconds /*took*/) override {}
};

void AgentDelivers(benchmark::State& state) {
  const plain_format format;
  discarding_effects effects;
  counters counted;
  packet_agent_settings settings;
  settings.service = kService;
  packet_agent agent(kStart, settings, format, effects, counted);
  std::vector<std::string> packets;
  mesh_message message;
  message.kind = mesh_kind::deliver;
  message.service = kService;
  for (std::uint32_t client = 0; client < kFlowCount; ++client) {
    packets.push_back(plain_format::Encode(MakePacket(client)));
    flow_packet answer = MakePacket(client);
    std::swap(answer.source, answer.destination);
    agent.OnTargetDatagram(kStart, plain_format::Encode(answer));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    message.payload = packets[next];
    agent.OnEntryMessage(kStart, {1, 7720}, message);
    next = (next + 1) % packets.size();
  }
}

BENCHMARK(EntryForwards)->Arg(10)->Arg(45)->Arg(300)->Arg(5000);
BENCHMARK(EntryPlaces)->Arg(10)->Arg(45)->Arg(300)->Arg(5000);
BENCHMARK(EntrySearches)->Arg(10)->Arg(45)->Arg(300)->Arg(5000);
BENCHMARK(AgentDelivers);

/// Records the minimum time of each benchmark over its repetitions.
class minimum_time_reporter : public benchmark::ConsoleReporter {
 public:
  void ReportRuns(const std::vector<Run>& runs) override {
    ConsoleReporter::ReportRuns(runs);
    for (const Run& run : runs) {
      if (run.run_type != Run::RT_Iteration) {
        continue;
      }
      const double time = run.GetAdjustedCPUTime();
      const auto [found, added] = times.emplace(
          run.run_name.function_name + "/" + run.run_name.args, time);
      found->second = std::min(found->second, time);
    }
  }
  std::map<std::string, double> times;
};

int g_failed = 0;

void Check(const std::string& name, double value, double bound) {
  const bool passed = value <= bound;
  std::printf("%s %s: %.3f, accepted up to %.3f\n", passed ? "ok" : "FAILED",
              name.c_str(), value, bound);
  g_failed += passed ? 0 : 1;
}

/// Prints the number of queries in the first wave of a search, and how long it
/// takes to query all agents if none responds. Checks that no agent is queried
/// twice.
void PrintSearchCost() {
  for (const std::int64_t targets : {10, 45, 300, 5000}) {
    entry_benchmark bench(targets);
    bench.entry.OnClientDatagram(kStart, plain_format::Encode(MakePacket(1)));
    bench.entry.Flush();
    const std::uint64_t first = bench.effects.query_count;
    time_point now = kStart;
    while (bench.effects.query_count < static_cast<std::uint64_t>(targets) &&
           now < kStart + 5s) {
      now += 1ms;
      bench.entry.Tick(now);
    }
    std::printf(
        "search at %lld targets: first wave %llu queries; all %llu sent "
        "after %lld ms without a response\n",
        static_cast<long long>(targets), static_cast<unsigned long long>(first),
        static_cast<unsigned long long>(bench.effects.query_count),
        static_cast<long long>((now - kStart) / 1ms));
    Check("queries of a search per target",
          static_cast<double>(bench.effects.query_count) /
              static_cast<double>(targets),
          1.0);
  }
}

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  // Limits for a packet of an open flow: its cost, and the ratio of the costs
  // with 5,000 and with 10 targets.
  constexpr double kMaxPacketNanoseconds = 1000;
  constexpr double kMaxCostRatio = 2;
  benchmark::Initialize(&argc, argv);
  minimum_time_reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  Check("EntryForwards ns at 5,000 targets",
        reporter.times["EntryForwards/5000"], kMaxPacketNanoseconds);
  Check(
      "EntryForwards 5,000 targets to 10",
      reporter.times["EntryForwards/5000"] / reporter.times["EntryForwards/10"],
      kMaxCostRatio);
  Check("AgentDelivers ns", reporter.times["AgentDelivers/"],
        kMaxPacketNanoseconds);
  PrintSearchCost();
  std::printf("%s\n",
              g_failed == 0 ? "all bounds kept" : "a bound is not kept");
  return g_failed == 0 ? 0 : 1;
}
