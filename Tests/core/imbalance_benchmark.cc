/// @file
/// Imbalance of the load policy against baselines, on the same arrivals.
/// Exits with 1 when a bound of the users' is not kept.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>

#include "baseline_pickers.h"
#include "virtual_world.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::size_t kTargets = 7;
constexpr std::uint32_t kSlots = 5;
constexpr double kLoad = 0.7;
constexpr auto kWindow = 1s;
constexpr double kMeanBound = 1.10;
constexpr double kHighBound = 1.25;
constexpr double kOmniscientBound = 1.05;

enum class policy {
  random,
  round_robin,
  consistent_hash,
  two_choices,
  product,
  omniscient
};

constexpr policy kPolicies[] = {policy::random,          policy::round_robin,
                                policy::consistent_hash, policy::two_choices,
                                policy::product,         policy::omniscient};

const char* PolicyName(policy which) {
  static constexpr const char* kNames[] = {"random",          "round robin",
                                           "consistent hash", "two choices",
                                           "product",         "omniscient"};
  return kNames[static_cast<int>(which)];
}

struct measurement {
  double mean = 0;
  double high = 0;
  double report_bytes_per_second = 0;
  double redirects_per_flow = 0;
  double wait_p99_ms = 0;
  std::size_t flows = 0;
};

/// Opens a flow for one request at exponential gaps.
class arrivals {
 public:
  arrivals(virtual_world& world, std::uint64_t seed, microseconds service)
      : world_(world), random_(seed), service_(service) {}

  void Run(microseconds duration) {
    end_ = world_.Now() + duration;
    Schedule();
  }

 private:
  void Schedule() {
    const double rate =
        kLoad * kTargets * kSlots * 1e6 / static_cast<double>(service_.count());
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> service(1.0 /
                                                  double(service_.count()));
    const microseconds wait(static_cast<std::int64_t>(gap(random_) * 1e6));
    const microseconds work(static_cast<std::int64_t>(service(random_)));
    world_.At(wait, [this, work] {
      if (world_.Now() >= end_) {
        return;
      }
      request_spec spec;
      spec.timeout = 60s;
      world_.Submit(world_.OpenFlow(), spec, work);
      Schedule();
    });
  }

  virtual_world& world_;
  std::mt19937_64 random_;
  microseconds service_;
  time_point end_;
};

std::vector<double> WindowRatios(const virtual_world& world,
                                 time_point first,
                                 std::size_t windows) {
  std::vector<std::vector<double>> busy(kTargets,
                                        std::vector<double>(windows, 0));
  for (const backend_record& record : world.Records()) {
    for (std::size_t window = 0; window < windows; ++window) {
      const time_point low = first + window * kWindow;
      const time_point high = low + kWindow;
      if (record.finished <= low || record.started >= high) {
        continue;
      }
      const auto overlap =
          std::min(record.finished, high) - std::max(record.started, low);
      busy[record.agent][window] +=
          std::chrono::duration<double>(overlap).count();
    }
  }
  std::vector<double> ratios;
  for (std::size_t window = 0; window < windows; ++window) {
    double sum = 0;
    double highest = 0;
    for (const auto& of : busy) {
      sum += of[window];
      highest = std::max(highest, of[window]);
    }
    if (sum > 0) {
      ratios.push_back(highest * kTargets / sum);
    }
  }
  return ratios;
}

picker_factory FactoryFor(policy which, virtual_world** world) {
  switch (which) {
    case policy::random:
      return [](counters&) { return std::make_unique<random_picker>(); };
    case policy::round_robin:
      return [](counters&) { return std::make_unique<round_robin_picker>(); };
    case policy::consistent_hash:
      return
          [](counters&) { return std::make_unique<consistent_hash_picker>(); };
    case policy::omniscient:
      return [world](counters&) {
        return std::make_unique<omniscient_picker>(
            [world](const endpoint& agent) {
              const std::size_t index = (agent.address & 0xff) - 1;
              return (*world)->Agent(index).Summary().load_permille;
            });
      };
    default:
      return nullptr;
  }
}

measurement Measure(policy which,
                    microseconds service,
                    std::uint64_t seed,
                    std::chrono::seconds duration,
                    std::optional<report_policy> reports) {
  world_options options;
  options.seed = seed;
  options.agents = kTargets;
  options.slots = kSlots;
  options.queue_per_slot = 1000;
  options.hop = 1ms;
  options.caller_hop = 3ms;
  options.reports = which == policy::product ? reports : report_policy{};
  virtual_world* pointer = nullptr;
  virtual_world world(options, FactoryFor(which, &pointer));
  pointer = &world;
  world.CloseWhenDone();
  arrivals load(world, seed, service);
  const microseconds warm_up = std::max<microseconds>(5 * service, 2s);
  load.Run(warm_up + duration);
  world.RunFor(warm_up);
  const time_point first = world.Now();
  const std::uint64_t bytes_before = world.ReportBytes();
  world.RunFor(duration);
  const std::uint64_t bytes = world.ReportBytes() - bytes_before;
  const auto ratios =
      WindowRatios(world, first, static_cast<std::size_t>(duration / kWindow));
  measurement result;
  std::vector<double> sorted = ratios;
  std::sort(sorted.begin(), sorted.end());
  for (const double ratio : sorted) {
    result.mean += ratio / static_cast<double>(sorted.size());
  }
  result.high = sorted[static_cast<std::size_t>(
      std::min<double>(double(sorted.size()) - 1, 0.99 * sorted.size()))];
  result.report_bytes_per_second =
      double(bytes) / double(duration.count()) / kTargets;
  result.flows = world.Work().size();
  result.redirects_per_flow =
      double(world.Counters().Get(result_code::redirected_for_load)) /
      double(result.flows);
  std::vector<double> latencies;
  for (const auto& [id, record] : world.Work()) {
    for (const request_outcome& outcome : record.outcomes) {
      latencies.push_back(double(outcome.latency.count()) / 1000);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  result.wait_p99_ms = latencies[latencies.size() * 99 / 100];
  return result;
}

void Print(const char* name, const measurement& seen) {
  std::printf(
      "  %-18s mean %.3f  p99 %.3f  latency p99 %8.1f ms  redirects/flow %.2f"
      "  reports %7.0f B/s a node  flows %zu\n",
      name, seen.mean, seen.high, seen.wait_p99_ms, seen.redirects_per_flow,
      seen.report_bytes_per_second, seen.flows);
}

int CheckBounds(const std::map<policy, measurement>& seen) {
  const measurement& ours = seen.at(policy::product);
  const measurement& best = seen.at(policy::omniscient);
  int failed = 0;
  const auto check = [&](const char* what, double value, double bound) {
    const bool good = value <= bound;
    std::printf("  %s %s: %.3f, accepted up to %.3f\n", good ? "ok" : "FAILED",
                what, value, bound);
    failed += good ? 0 : 1;
  };
  check("mean", ours.mean, kMeanBound);
  check("99th percentile", ours.high, kHighBound);
  check("mean to omniscient", ours.mean / best.mean, kOmniscientBound);
  check("99th percentile to omniscient", ours.high / best.high,
        kOmniscientBound);
  for (const policy which : kPolicies) {
    if (which != policy::product && which != policy::omniscient) {
      check(PolicyName(which), ours.mean / seen.at(which).mean, 1.0);
    }
  }
  return failed;
}

int RunAll(std::uint64_t seed) {
  int failed = 0;
  for (const microseconds service :
       {microseconds(200ms), microseconds(20ms), microseconds(2s)}) {
    const auto duration = service < 100ms ? 60s : 240s;
    std::printf("mean service time %ld ms, load %.0f%%, %zu targets of %u\n",
                long(service / 1ms), kLoad * 100, kTargets, kSlots);
    std::map<policy, measurement> seen;
    for (const policy which : kPolicies) {
      seen[which] = Measure(which, service, seed, duration, {});
      Print(PolicyName(which), seen[which]);
    }
    if (service == 200ms) {
      failed += CheckBounds(seen);
    }
  }
  return failed;
}

/// Reports on a change against reports on a period, at equal budgets.
void RunReportSweep(std::uint64_t seed) {
  for (const microseconds service :
       {microseconds(20ms), microseconds(200ms), microseconds(2s)}) {
    std::printf("reports, mean service time %ld ms\n", long(service / 1ms));
    for (const std::uint32_t threshold : {0U, 200U, 400U, 600U}) {
      for (const double budget : {1.0, 4.0, 8.0, 16.0}) {
        const measurement seen = Measure(policy::product, service, seed, 60s,
                                         report_policy{threshold, budget});
        const std::string name =
            (threshold == 0 ? "period" : std::to_string(threshold)) + " " +
            std::to_string(static_cast<int>(budget)) + "/s";
        Print(name.c_str(), seen);
      }
    }
  }
}

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  if (argc > 2) {
    RunReportSweep(seed);
    return 0;
  }
  const int failed = RunAll(seed);
  std::printf("%s\n", failed == 0 ? "all bounds kept" : "a bound is not kept");
  return failed == 0 ? 0 : 1;
}
