#include "packet/packet_entry_daemon.h"

#include <atomic>
#include <thread>

#include "core/lifecycle.h"
#include "core/packet_entry.h"
#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "net/udp_socket.h"
#include "packet/fleet_synchronizer.h"
#include "packet/decision_log.h"
#include "packet/metrics_server.h"
#include "packet/settings_watcher.h"
#include "product/admin_pages.h"
#include "product/log.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Also bounds how late a sleep of the process is noticed.
constexpr milliseconds kIdleTick = 200ms;
/// Counters outlive the process in its log.
constexpr milliseconds kTallyPeriod = 5000ms;
/// How often left-out lines are told.
constexpr milliseconds kOmittedPeriod = 1000ms;
/// Routers probe twice a second and drop an entry after two misses.
constexpr milliseconds kRoutersLeave = 1500ms;
/// Without a client's packet for this long the entry may end.
constexpr milliseconds kQuietBeforeEnd = 700ms;
/// Left of the limit for the end itself.
constexpr milliseconds kEndReserve = 1000ms;
constexpr milliseconds kStopPoll = 100ms;

/// Share of the link for asking who holds a flow: the rest is for the flows.
constexpr std::uint64_t kSearchDivisor = 4;

packet_entry_limits LimitsOf(const packet_settings& settings) {
  packet_entry_limits limits;
  limits.search_bytes_per_second =
      settings.link_bytes_per_second / kSearchDivisor;
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
        clients(traffic,
                {settings.address, settings.packet_port},
                counted,
                nullptr),
        agents(traffic,
               {settings.address, settings.delivery_port},
               counted,
               nullptr),
        entry(HashName(settings.failure_domain),
              format,
              *this,
              counted,
              LimitsOf(settings)),
        keeper(control,
               settings,
               source,
               counted,
               [this](std::shared_ptr<const fleet_view> view) {
                 OnView(std::move(view));
               }),
        readiness(control,
                  settings.readiness,
                  [this](const http_request& /*request*/, auto responder) {
                    http_response response;
                    response.status = phase.IsServing() ? 200 : 503;
                    responder->Respond(std::move(response));
                  }),
        metrics(control,
                {settings.address, settings.metrics_port},
                "entry",
                settings.name,
                counted,
                [] { return std::string(); }),
        watcher(control,
                options.path,
                options.settings,
                /*is_agent=*/false,
                [this](const packet_settings& changed) {
                  settings.stop_limit = changed.stop_limit;
                  settings.seeds = changed.seeds;
                  keeper.SetSeeds(changed.seeds);
                }) {}

  // Traffic thread.

  void SendToAgent(machine_address machine,
                   const mesh_message& message) override {
    agents.Send({machine, settings.delivery_port}, encoder.Encode(message));
  }

  void SendToClient(const endpoint& client, std::string_view packet) override {
    clients.Send({client.address, settings.packet_port}, packet);
  }

  void WantConfirmation() override {
    control.Post([this] { keeper.WantConfirmation(); });
  }

  void OnDecision(const flow_decision& decision) override {
    decisions.Write(ClockWithSleep(), decision);
  }

  void Flush() {
    entry.Flush();
    agents.Flush();
    clients.Flush();
    ArmTimer();
  }

  void ArmTimer() {
    const auto next = entry.NextTick();
    if (!next || (armed_for && *armed_for <= *next)) {
      return;
    }
    armed_for = next;
    const auto delay = std::chrono::ceil<milliseconds>(
        std::max(*next - ClockWithSleep(), time_point::duration(0)));
    traffic.After(delay, [this] {
      armed_for.reset();
      entry.Tick(ClockWithSleep());
      Flush();
    });
  }

  void RunTraffic() {
    clients.Receive(
        [this](const received_datagram& item) {
          const time_point now = ClockWithSleep();
          last_packet = now;
          entry.OnClientDatagram(now, item.bytes);
        },
        [this] { Flush(); });
    agents.Receive(
        [this](const received_datagram& item) {
          const auto message = DecodeMesh(item.bytes);
          if (!message || item.from.port != settings.delivery_port) {
            counted.Add(result_code::malformed);
            return;
          }
          entry.OnAgentMessage(ClockWithSleep(), item.from.address, *message);
        },
        [this] { Flush(); });
    traffic.Every(kIdleTick, [this] {
      entry.Tick(ClockWithSleep());
      Flush();
    });
    traffic.Every(kOmittedPeriod, [this] { decisions.WriteOmitted(); });
    traffic.Every(kTallyPeriod, [this] {
      LogEvent(log_level::info, "tally",
               {{"counters", CountersJson(counted)},
                {"flows", std::to_string(entry.FlowCount())}});
    });
    traffic.Run();
  }

  // Control thread.

  void OnView(std::shared_ptr<const fleet_view> view) {
    if (phase.State() == lifecycle_state::starting) {
      phase.OnReady();
      LogEvent(log_level::info, "ready",
               {{"targets", std::to_string(view->targets.size())}});
    }
    traffic.Post([this, view = std::move(view)] {
      entry.OnView(ClockWithSleep(), view);
    });
  }

  void OnStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    phase.OnDrain();
    LogEvent(log_level::info, "stop_requested");
    stop_at = ClockWithSleep();
    PollStop();
  }

  // Serves on until the routers have left it, or the limit nears.
  void PollStop() {
    const auto passed = ClockWithSleep() - stop_at;
    const auto quiet = ClockWithSleep() - last_packet.load();
    if ((passed > kRoutersLeave && quiet > kQuietBeforeEnd) ||
        passed + kEndReserve > settings.stop_limit) {
      control.Stop();
      return;
    }
    control.After(kStopPoll, [this] { PollStop(); });
  }

  event_loop& control;
  packet_settings settings;
  counters counted;
  event_loop traffic;
  udp_socket clients;
  udp_socket agents;
  mesh_encoder encoder;
  decision_log decisions;
  packet_entry entry;
  fleet_synchronizer keeper;
  lifecycle phase;
  http_server readiness;
  metrics_server metrics;
  settings_watcher watcher;
  std::optional<time_point> armed_for;
  std::atomic<time_point> last_packet{time_point{}};
  time_point stop_at{};
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
  state_->keeper.Start();
  state_->control.Run();
  state_->traffic.Stop();
  traffic.join();
  LogEvent(log_level::info, "stopped");
}

}  // namespace corianderplank
