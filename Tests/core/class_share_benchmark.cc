/// @file
/// Reservations beside dossiers at twice the slots, in virtual time.
/// Exits with 1 when reservations lose more than the users allow.

#include <algorithm>
#include <cstdio>
#include <random>

#include "virtual_world.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::size_t kTargets = 7;
constexpr std::uint32_t kSlots = 5;
constexpr microseconds kService = 200ms;
constexpr auto kDuration = 120s;
constexpr double kReservationLoad = 0.3;
constexpr double kDossierLoad = 2.0;
constexpr double kLatencyBound = 1.2;
constexpr double kRateBound = 1 / 1.2;
constexpr std::uint8_t kReservation = 0;
constexpr std::uint8_t kDossier = 1;

/// Arrivals of one class at a share of all slots.
class class_load {
 public:
  class_load(virtual_world& world,
             std::uint64_t seed,
             std::uint8_t traffic_class,
             double load)
      : world_(world),
        random_(seed),
        traffic_class_(traffic_class),
        rate_(load * kTargets * kSlots * 1e6 / double(kService.count())) {}

  void Run() {
    end_ = world_.Now() + kDuration;
    Schedule();
  }

 private:
  void Schedule() {
    std::exponential_distribution<double> gap(rate_);
    std::exponential_distribution<double> service(1.0 /
                                                  double(kService.count()));
    const microseconds wait(static_cast<std::int64_t>(gap(random_) * 1e6));
    const microseconds work(static_cast<std::int64_t>(service(random_)));
    world_.At(wait, [this, work] {
      if (world_.Now() >= end_) {
        return;
      }
      request_spec spec;
      spec.traffic_class = traffic_class_;
      spec.work =
          traffic_class_ == kDossier ? work_kind::upload : work_kind::request;
      spec.timeout = 10s;
      world_.Submit(world_.OpenFlow(), spec, work);
      Schedule();
    });
  }

  virtual_world& world_;
  std::mt19937_64 random_;
  std::uint8_t traffic_class_;
  double rate_;
  time_point end_;
};

struct reservations {
  double latency_p99_ms = 0;
  double answered_per_second = 0;
};

reservations Measure(bool with_dossiers, std::uint32_t dossier_permille) {
  world_options options;
  options.agents = kTargets;
  options.slots = kSlots;
  options.hop = 1ms;
  options.caller_hop = 3ms;
  options.classes.resize(2);
  options.classes[kReservation].weight = 8;
  options.classes[kDossier].weight = 1;
  options.classes[kDossier].work = work_kind::upload;
  options.classes[kDossier].max_share_permille = dossier_permille;
  virtual_world world(options);
  world.CloseWhenDone();
  class_load wanted(world, 1, kReservation, kReservationLoad);
  class_load pressure(world, 2, kDossier, kDossierLoad);
  wanted.Run();
  if (with_dossiers) {
    pressure.Run();
  }
  world.RunFor(kDuration + 15s);
  std::vector<double> latencies;
  for (const auto& [id, record] : world.Work()) {
    const bool answered = !record.outcomes.empty() &&
                          record.outcomes[0].outcome == outcome_kind::answered;
    if (answered && record.spec.traffic_class == kReservation) {
      latencies.push_back(double(record.outcomes[0].latency.count()) / 1000);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return {latencies[latencies.size() * 99 / 100],
          double(latencies.size()) / double(kDuration / 1s)};
}

}  // namespace
}  // namespace corianderplank

int main() {
  using namespace corianderplank;
  const reservations alone = Measure(false, 1000);
  std::printf("reservations alone: p99 %.1f ms, %.2f a second\n",
              alone.latency_p99_ms, alone.answered_per_second);
  int failed = 0;
  constexpr std::uint32_t kDocumentShare = 400;
  for (const std::uint32_t share : {1000U, 800U, 600U, kDocumentShare}) {
    const reservations beside = Measure(true, share);
    const double latency = beside.latency_p99_ms / alone.latency_p99_ms;
    const double rate = beside.answered_per_second / alone.answered_per_second;
    const bool good = latency <= kLatencyBound && rate >= kRateBound;
    const bool bound = share == kDocumentShare;
    std::printf(
        "dossiers at twice the slots, max_share %.1f: p99 %.1f ms (%.2f "
        "times), %.2f a second (%.2f times)%s\n",
        share / 1000.0, beside.latency_p99_ms, latency,
        beside.answered_per_second, rate,
        !bound ? "" : (good ? ", bounds kept" : ", FAILED"));
    failed += bound && !good ? 1 : 0;
  }
  return failed;
}
