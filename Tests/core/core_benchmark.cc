/// @file
/// Cost of the entry's decision and of an open flow, with regression bounds.
/// Exits with 1 when a bound is not kept.

#include <benchmark/benchmark.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <new>

#include "core/request_agent.h"
#include "core/request_entry.h"
#include "core/two_choice_picker.h"
#include "wire/control_codec.h"
#include "wire/datagram_codec.h"

namespace {

std::size_t g_allocations = 0;
std::size_t g_allocated_bytes = 0;

constexpr std::size_t kHeader = 16;

}  // namespace

// Counts what is allocated; the size is kept in front of the block.
void* operator new(std::size_t size) {
  auto* block = static_cast<std::size_t*>(std::malloc(size + kHeader));
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  *block = size;
  ++g_allocations;
  g_allocated_bytes += size;
  return reinterpret_cast<char*>(block) + kHeader;
}

void operator delete(void* pointer) noexcept {
  if (pointer == nullptr) {
    return;
  }
  auto* block =
      reinterpret_cast<std::size_t*>(static_cast<char*>(pointer) - kHeader);
  g_allocated_bytes -= *block;
  std::free(block);
}

void operator delete(void* pointer, std::size_t) noexcept {
  operator delete(pointer);
}

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const service_id kService = ServiceIdOf("service");
constexpr std::int64_t kFew = 10;
constexpr std::int64_t kMany = 5000;

environment_document MakeDocument(std::int64_t targets) {
  environment_document document;
  document.revision = {1};
  service of;
  of.name = "service";
  of.id = kService;
  of.classes.emplace_back();
  for (std::int64_t index = 0; index < targets; ++index) {
    target item;
    item.name = "target-" + std::to_string(index);
    item.id = TargetIdOf(item.name);
    item.agent = {static_cast<std::uint32_t>(0x0a000000 + index), 6000};
    item.slots = 4;
    item.connections = 1000000;
    of.targets.push_back(item);
  }
  document.services.push_back(of);
  return document;
}

/// Encodes as the daemon does and sends nothing.
class null_entry_effects : public request_entry_effects {
 public:
  void SendToAgent(const endpoint&, const envelope& value) override {
    benchmark::DoNotOptimize(encoder_.Encode(value));
  }
  void SendToCaller(service_id, const endpoint&, std::string_view) override {}
  void ReplyToCaller(service_id,
                     const endpoint&,
                     const packet&,
                     std::size_t) override {}
  void RecordVerdict(service_id, const flow_event&) override {}
  void FetchDocumentFrom(const endpoint&) override {}

 private:
  datagram_encoder encoder_;
};

class null_agent_effects : public request_agent_effects {
 public:
  void SendToCaller(const endpoint&,
                    const envelope&,
                    const packet& value) override {
    if (value.kind == packet_kind::opened) {
      token = value.token;
    }
  }
  void SendEnvelope(const endpoint&, const envelope&) override {}
  void StartExecution(const execution& call) override { started = call.id; }
  void CancelExecution(std::uint64_t) override {}
  void RequestFence(std::uint64_t,
                    const endpoint&,
                    const fence_request&) override {}
  void FetchDocumentFrom(const endpoint&) override {}
  void RecordEvent(const flow_event&) override {}

  std::optional<flow_token> token;
  std::uint64_t started = 0;
};

/// An entry with its surroundings.
struct entry_bench {
  explicit entry_bench(std::int64_t targets)
      : picker(counted),
        core({0x7f000001, 6000}, 6001, effects, locator, picker, counted) {
    core.UseTable(std::make_shared<const routing_table>(
        MakeDocument(targets), instance_list{}, nullptr));
  }
  counters counted;
  null_entry_effects effects;
  token_locator locator;
  two_choice_picker picker;
  request_entry core;
};

packet RequestFor(std::int64_t target) {
  packet value;
  value.kind = packet_kind::request;
  value.service = kService;
  value.flow = {7};
  value.token = flow_token{
      TargetIdOf("target-" + std::to_string(target)), kService, {1}, 2, 3};
  return value;
}

/// Decoding one packet and encoding one envelope: what any entry must do.
void CodecOnly(benchmark::State& state) {
  datagram_encoder packets;
  datagram_encoder envelopes;
  const std::string payload(1000, 'p');
  packet value = RequestFor(0);
  value.payload = payload;
  const std::string bytes(packets.Encode(value));
  for (auto _ : state) {
    packet decoded;
    DecodePacket(bytes, decoded);
    envelope wrapped;
    wrapped.inner = bytes;
    benchmark::DoNotOptimize(envelopes.Encode(wrapped));
  }
}

void EntryForwardsRequest(benchmark::State& state) {
  entry_bench bench(state.range(0));
  datagram_encoder encoder;
  const std::string payload(1000, 'p');
  std::vector<std::string> datagrams;
  for (std::int64_t index = 0; index < 64; ++index) {
    packet value = RequestFor(index * 7919 % state.range(0));
    value.payload = payload;
    datagrams.emplace_back(encoder.Encode(value));
  }
  std::size_t next = 0;
  const std::size_t before = g_allocations;
  for (auto _ : state) {
    const std::string& bytes = datagrams[next++ % datagrams.size()];
    packet decoded;
    DecodePacket(bytes, decoded);
    bench.core.OnCallerPacket(kStart, kStart, kService, {1, 1}, decoded, bytes);
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(g_allocations - before) /
                         static_cast<double>(state.iterations()));
}

void EntryPlacesOpen(benchmark::State& state) {
  entry_bench bench(state.range(0));
  datagram_encoder encoder;
  packet open;
  open.kind = packet_kind::open;
  open.service = kService;
  const std::string bytes(encoder.Encode(open));
  time_point now = kStart;
  // Agents answer, so that the picker knows their load and ejects nobody.
  const auto place = [&](std::uint64_t flow) {
    packet decoded;
    DecodePacket(bytes, decoded);
    decoded.flow = {flow};
    bench.core.OnCallerPacket(now, now, kService, {1, 1}, decoded, bytes);
  };
  for (std::int64_t index = 0; index < state.range(0); ++index) {
    const target_id id = TargetIdOf("target-" + std::to_string(index));
    bench.picker.OnLoad(now, id, 500, true);
  }
  std::uint64_t flow = 1;
  const std::size_t before = g_allocations;
  for (auto _ : state) {
    place(++flow);
  }
  state.counters["allocations"] =
      benchmark::Counter(static_cast<double>(g_allocations - before) /
                         static_cast<double>(state.iterations()));
}

/// Opens while no target answers: the worst case of ejection.
void EntryPlacesOpenInOutage(benchmark::State& state) {
  entry_bench bench(state.range(0));
  datagram_encoder encoder;
  packet open;
  open.kind = packet_kind::open;
  open.service = kService;
  const std::string bytes(encoder.Encode(open));
  time_point now = kStart;
  std::uint64_t flow = 1;
  for (auto _ : state) {
    packet decoded;
    DecodePacket(bytes, decoded);
    decoded.flow = {++flow};
    now += 100us;
    bench.core.OnCallerPacket(now, now, kService, {1, 1}, decoded, bytes);
  }
}

/// Bytes of a flow that was opened, used once and is idle.
double BytesPerOpenFlow() {
  counters counted;
  null_agent_effects effects;
  request_agent_identity identity;
  identity.target = TargetIdOf("target-0");
  identity.service = kService;
  request_agent core(identity, effects, counted);
  core.Configure(kStart, MakeDocument(1), {});
  constexpr std::uint64_t kFlows = 20000;
  const std::size_t before = g_allocated_bytes;
  for (std::uint64_t flow = 1; flow <= kFlows; ++flow) {
    envelope header;
    header.service = kService;
    packet value;
    value.kind = packet_kind::open;
    value.service = kService;
    value.flow = {flow};
    value.sequence = 1;
    core.OnPacket(kStart, kStart, header, value);
    value.kind = packet_kind::request;
    value.token = effects.token;
    value.oldest_sequence = 1;
    value.time = 1000ms;
    core.OnPacket(kStart, kStart, header, value);
    core.OnExecutionResult(kStart, effects.started,
                           {execution_status::completed, "answer", {}, {}});
    value.kind = packet_kind::acknowledge;
    value.fragment = 1;
    value.oldest_sequence = 2;
    core.OnPacket(kStart, kStart, header, value);
  }
  if (core.Summary().flows != kFlows || core.Summary().requests != 0) {
    std::printf("FAILED: flows were not opened and used as planned\n");
    std::exit(1);
  }
  return static_cast<double>(g_allocated_bytes - before) / kFlows;
}

/// Prints the sizes of what control sends, for the page on capacity.
void PrintMessageSizes() {
  datagram_encoder encoder;
  envelope report;
  report.kind = envelope_kind::load_report;
  report.service = kService;
  report.revision = {1};
  report.control_port = 6001;
  report.target = {~0ULL};
  report.load_permille = 500;
  control_message fetch;
  fetch.environment = "environment";
  fetch.revision = {1};
  control_message fence;
  fence.kind = control_kind::fence;
  std::printf(
      "bytes of a load report: %zu, of a request for a document: %zu, of a "
      "fence: %zu (without headers)\n",
      encoder.Encode(report).size(), EncodeControl(fetch).size(),
      EncodeControl(fence).size());
}

/// Bytes that the routing table and the picker take for each target.
double BytesPerTarget() {
  const environment_document document = MakeDocument(kMany);
  const std::size_t before = g_allocated_bytes;
  const routing_table table(document, {}, nullptr);
  counters counted;
  two_choice_picker picker(counted);
  for (const route_target& item : table.Services().front().Targets()) {
    picker.OnLoad(kStart, item.id, 1, true);
  }
  return static_cast<double>(g_allocated_bytes - before) / kMany;
}

void BuildTable(benchmark::State& state) {
  const environment_document document = MakeDocument(state.range(0));
  for (auto _ : state) {
    const routing_table table(document, {}, nullptr);
    benchmark::DoNotOptimize(&table);
  }
}

/// One tick of an agent that holds idle flows; sweeps come every 100 ms.
void AgentTick(benchmark::State& state) {
  counters counted;
  null_agent_effects effects;
  request_agent_identity identity;
  identity.target = TargetIdOf("target-0");
  identity.service = kService;
  request_agent core(identity, effects, counted);
  core.Configure(kStart, MakeDocument(1), {});
  std::vector<packet> pings;
  time_point now = kStart;
  const auto deliver = [&](const packet& value) {
    envelope header;
    header.service = kService;
    core.OnPacket(now, now, header, value);
  };
  for (std::int64_t flow = 1; flow <= state.range(0); ++flow) {
    packet value;
    value.kind = packet_kind::open;
    value.service = kService;
    value.flow = {static_cast<std::uint64_t>(flow)};
    deliver(value);
    value.kind = packet_kind::ping;
    value.token = effects.token;
    pings.push_back(value);
  }
  constexpr int kTicksOfLease = 900;
  int tick = 0;
  for (auto _ : state) {
    now += 5ms;
    core.Tick(now);
    if (++tick % kTicksOfLease == 0) {
      state.PauseTiming();
      for (const packet& ping : pings) {
        deliver(ping);
      }
      state.ResumeTiming();
    }
  }
  if (core.Summary().flows != pings.size()) {
    state.SkipWithError("flows were lost");
  }
}

BENCHMARK(AgentTick)->Arg(0)->Arg(4000);
BENCHMARK(CodecOnly);
BENCHMARK(EntryForwardsRequest)->Arg(kFew)->Arg(kMany);
BENCHMARK(EntryPlacesOpen)->Arg(kFew)->Arg(kMany);
BENCHMARK(EntryPlacesOpenInOutage)->Arg(kFew)->Arg(kMany);
BENCHMARK(BuildTable)->Arg(kFew)->Arg(kMany);

/// Prints as usual and keeps the lowest time and the allocations by name.
class keeping_reporter : public benchmark::ConsoleReporter {
 public:
  keeping_reporter() : ConsoleReporter(OO_None) {}
  void ReportRuns(const std::vector<Run>& runs) override {
    ConsoleReporter::ReportRuns(runs);
    for (const Run& run : runs) {
      const std::string name = run.benchmark_name();
      const double time = run.GetAdjustedCPUTime();
      if (run.run_type == Run::RT_Aggregate) {
        continue;
      }
      if (!times.contains(name) || time < times[name]) {
        times[name] = time;
      }
      const auto counter = run.counters.find("allocations");
      if (counter != run.counters.end()) {
        allocations[name] = counter->second.value;
      }
    }
  }
  std::map<std::string, double> times;
  std::map<std::string, double> allocations;
};

int g_failed = 0;

void Check(const std::string& what, double value, double bound) {
  const bool good = value <= bound;
  std::printf("%s %s: %.3f, accepted up to %.3f\n", good ? "ok" : "FAILED",
              what.c_str(), value, bound);
  g_failed += good ? 0 : 1;
}

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  constexpr double kDecisionNanoseconds = 2000;
  constexpr double kCodecRatio = 4;
  constexpr double kFlatRatio = 2;
  constexpr double kFlowBytes = 1024;
  constexpr double kNoAllocation = 0.001;
  benchmark::Initialize(&argc, argv);
  keeping_reporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  const double codec = reporter.times["CodecOnly"];
  for (const std::string name : {"EntryForwardsRequest", "EntryPlacesOpen"}) {
    const double few = reporter.times[name + "/10"];
    const double many = reporter.times[name + "/5000"];
    Check(name + " ns at 5,000 targets", many, kDecisionNanoseconds);
    Check(name + " to codec alone", few / codec, kCodecRatio);
    Check(name + " 5,000 targets to 10", many / few, kFlatRatio);
    Check(name + " allocations", reporter.allocations[name + "/5000"],
          kNoAllocation);
  }
  Check("EntryPlacesOpenInOutage ns at 5,000 targets",
        reporter.times["EntryPlacesOpenInOutage/5000"], kDecisionNanoseconds);
  Check("bytes of an open flow", BytesPerOpenFlow(), kFlowBytes);
  std::printf("bytes of a target at an entry: %.0f\n", BytesPerTarget());
  PrintMessageSizes();
  std::printf("%s\n",
              g_failed == 0 ? "all bounds kept" : "a bound is not kept");
  return g_failed == 0 ? 0 : 1;
}
