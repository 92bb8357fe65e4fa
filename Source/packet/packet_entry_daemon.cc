#include "packet/packet_entry_daemon.h"

#include <atomic>
#include <thread>

#include "core/lifecycle.h"
#include "core/packet_entry.h"
#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "net/udp_socket.h"
#include "packet/decision_log.h"
#include "packet/fleet_synchronizer.h"
#include "packet/link_sender.h"
#include "packet/metrics_server.h"
#include "packet/settings_watcher.h"
#include "product/admin_pages.h"
#include "product/log.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Maximum time between two ticks of an idle entry. Also bounds the delay until
/// a suspension of the process is detected.
constexpr milliseconds kMaxTickPeriod = 200ms;
/// Period of logging the counters, which keeps their values after the process
/// has exited.
constexpr milliseconds kCounterLogPeriod = 5000ms;
/// Period of logging how many log lines were omitted.
constexpr milliseconds kOmittedLogPeriod = 1000ms;
/// Time until the routers no longer send packets to a stopping entry: they
/// probe twice a second and remove an entry after two failed probes.
constexpr milliseconds kRouterRemovalTime = 1500ms;
/// A stopping entry may exit when no client packet has arrived for this long.
constexpr milliseconds kMinIdleBeforeExit = 700ms;
/// Part of the stop limit that is reserved for the exit itself.
constexpr milliseconds kExitReserve = 1000ms;
constexpr milliseconds kStopPollPeriod = 100ms;

/// Divisor of the link's capacity that searches for flow holders may use; the
/// rest is left to the flows' packets.
constexpr std::uint64_t kSearchLinkDivisor = 4;

packet_entry_limits LimitsOf(const packet_settings& settings) {
  packet_entry_limits limits;
  limits.search_bytes_per_second =
      settings.link_bytes_per_second / kSearchLinkDivisor;
  limits.link_bytes_per_second = settings.link_bytes_per_second;
  return limits;
}

}  // namespace

struct packet_entry_daemon::state : packet_entry_effects {
  state(event_loop& control,
        const packet_options& options,
        const packet_format& format,
        fleet_source& source)
      : control(control),
        settings(options.settings),
        client_socket(traffic,
                      {settings.address, settings.packet_port},
                      result_counters,
                      nullptr),
        agent_socket(traffic,
                     {settings.address, settings.delivery_port},
                     result_counters,
                     nullptr),
        entry(HashName(settings.failure_domain),
              format,
              *this,
              result_counters,
              LimitsOf(settings)),
        link(agent_socket,
             result_counters,
             entry.Link().IsNarrow() ? settings.link_bytes_per_second : 0),
        synchronizer(control,
                     settings,
                     source,
                     result_counters,
                     [this](std::shared_ptr<const fleet_snapshot> snapshot) {
                       OnSnapshot(std::move(snapshot));
                     }),
        readiness(control,
                  settings.readiness,
                  [this](const http_request& /*request*/, auto responder) {
                    http_response response;
                    response.status = lifecycle_phase.IsServing() ? 200 : 503;
                    responder->Respond(std::move(response));
                  }),
        metrics(control,
                {settings.address, settings.metrics_port},
                "entry",
                settings.name,
                result_counters,
                [this] { return link.Metrics(); }),
        watcher(control,
                options.path,
                options.settings,
                /*is_agent=*/false,
                [this](const packet_settings& changed) {
                  settings.stop_limit = changed.stop_limit;
                  settings.seeds = changed.seeds;
                  synchronizer.SetSeeds(changed.seeds);
                }) {}

  // The following functions run on the traffic thread.

  void SendToAgent(machine_address machine,
                   const mesh_message& message) override {
    const bool is_packet =
        message.kind == mesh_kind::deliver && entry.Link().IsNarrow();
    link.Send(traffic_now, {machine, settings.delivery_port}, message,
              encoder.Encode(message),
              is_packet ? entry.Link().RankOf(message.flow) : packet_rank());
  }

  void SendToClient(const endpoint& client, std::string_view packet) override {
    client_socket.Send({client.address, settings.packet_port}, packet);
  }

  // Reads the clock, once for each event if possible.
  time_point Now() {
    traffic_now = ClockWithSleep();
    return traffic_now;
  }

  void RequestConfirmation() override {
    control.Post([this] { synchronizer.RequestConfirmation(); });
  }

  void OnDecision(const flow_decision& decision) override {
    if (decision.code == result_code::reset_link_full) {
      link.OnRefused(decision.flow.service);
    }
    decisions.Write(traffic_now, decision);
  }

  void Flush() {
    entry.Flush();
    SendPaced();
    client_socket.Flush();
    ArmTimer();
  }

  // Sends the paced packets whose turn has come, and does not read or tick: it
  // runs for nearly every packet of a full link.
  void SendPaced() {
    if (link.NextAt()) {
      link.SendDue(Now());
    }
    agent_socket.Flush();
    const auto next = link.NextAt();
    if (!next || pacing_timer_is_set) {
      return;
    }
    pacing_timer_is_set = true;
    traffic.After(DelayUntil(*next), [this] {
      pacing_timer_is_set = false;
      SendPaced();
    });
  }

  static milliseconds DelayUntil(time_point at) {
    return std::chrono::ceil<milliseconds>(
        std::max(at - ClockWithSleep(), time_point::duration(0)));
  }

  void ArmTimer() {
    const auto next = entry.NextTick();
    if (!next || (timer_due_at && *timer_due_at <= *next)) {
      return;
    }
    timer_due_at = next;
    traffic.After(DelayUntil(*next), [this] {
      timer_due_at.reset();
      Tick();
    });
  }

  // Reads the agents' responses first: on a slow machine they may have arrived
  // before the timeout, and repeated queries would make it slower still.
  void Tick() {
    agent_socket.ReadPending();
    entry.Tick(Now());
    Flush();
  }

  void RunTraffic() {
    client_socket.Receive(
        [this](const received_datagram& datagram) {
          const time_point now = Now();
          last_packet_at = now;
          entry.OnClientDatagram(now, datagram.bytes);
        },
        [this] { Flush(); });
    agent_socket.Receive(
        [this](const received_datagram& datagram) {
          const auto message = DecodeMesh(datagram.bytes);
          if (!message || datagram.from.port != settings.delivery_port) {
            result_counters.Add(result_code::malformed_message);
            return;
          }
          entry.OnAgentMessage(Now(), datagram.from.address, *message);
        },
        [this] { Flush(); });
    traffic.Every(kMaxTickPeriod, [this] { Tick(); });
    traffic.Every(kOmittedLogPeriod, [this] { decisions.WriteOmitted(); });
    traffic.Every(kCounterLogPeriod, [this] {
      LogEvent(log_level::info, "tally",
               {{"counters", CountersJson(result_counters)},
                {"flows", std::to_string(entry.FlowCount())},
                {"link", link.Publish()}});
    });
    traffic.Run();
  }

  // The following functions run on the control thread.

  void OnSnapshot(std::shared_ptr<const fleet_snapshot> snapshot) {
    if (lifecycle_phase.State() == lifecycle_state::starting) {
      lifecycle_phase.OnReady();
      LogEvent(log_level::info, "ready",
               {{"targets", std::to_string(snapshot->targets.size())}});
    }
    traffic.Post([this, snapshot = std::move(snapshot)] {
      entry.OnSnapshot(Now(), snapshot);
    });
  }

  void OnStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    lifecycle_phase.OnDrain();
    LogEvent(log_level::info, "stop_requested");
    stop_requested_at = ClockWithSleep();
    PollStop();
  }

  // Keeps serving until the routers have removed this entry and no client
  // packet arrives any more, or until the stop limit has nearly elapsed.
  void PollStop() {
    const auto elapsed = ClockWithSleep() - stop_requested_at;
    const auto idle = ClockWithSleep() - last_packet_at.load();
    if ((elapsed > kRouterRemovalTime && idle > kMinIdleBeforeExit) ||
        elapsed + kExitReserve > settings.stop_limit) {
      synchronizer.PassOn();
      control.Stop();
      return;
    }
    control.After(kStopPollPeriod, [this] { PollStop(); });
  }

  event_loop& control;
  packet_settings settings;
  counters result_counters;
  event_loop traffic;
  udp_socket client_socket;
  udp_socket agent_socket;
  mesh_encoder encoder;
  decision_log decisions;
  packet_entry entry;
  link_sender link;
  fleet_synchronizer synchronizer;
  lifecycle lifecycle_phase;
  http_server readiness;
  metrics_server metrics;
  settings_watcher watcher;
  std::optional<time_point> timer_due_at;
  bool pacing_timer_is_set = false;
  /// When the event that is handled was read; traffic thread only.
  time_point traffic_now{};
  std::atomic<time_point> last_packet_at{time_point{}};
  time_point stop_requested_at{};
  bool stopping = false;
};

packet_entry_daemon::packet_entry_daemon(event_loop& control,
                                         const packet_options& options,
                                         const packet_format& format,
                                         fleet_source& source)
    : state_(std::make_unique<state>(control, options, format, source)) {}

packet_entry_daemon::~packet_entry_daemon() = default;

void packet_entry_daemon::Run() {
  state_->control.OnStopSignal([this] { state_->OnStop(); });
  LogEvent(
      log_level::info, "started",
      {{"role", "entry"}, {"failure_domain", state_->settings.failure_domain}});
  std::thread traffic([this] { state_->RunTraffic(); });
  state_->watcher.Start();
  state_->synchronizer.Start();
  state_->control.Run();
  state_->traffic.Stop();
  traffic.join();
  LogEvent(log_level::info, "stopped");
}

}  // namespace corianderplank
