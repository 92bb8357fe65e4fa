#include "packet/packet_agent_daemon.h"

#include "core/packet_agent.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/listen_probe.h"
#include "net/sleep_clock.h"
#include "net/udp_socket.h"
#include "packet/metrics_server.h"
#include "packet/settings_watcher.h"
#include "product/admin_pages.h"
#include "product/daemon_host.h"
#include "product/log.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Period of forgetting flows that have ended.
constexpr milliseconds kTick = 1000ms;
/// Counters outlive the process in its log.
constexpr milliseconds kTallyPeriod = 5000ms;
/// How often the agent tells the seeds that it runs: often after its start,
/// since entries that started with it wait for that; until a seed knows it.
constexpr milliseconds kFirstPresent = 50ms;
constexpr milliseconds kPresent = 1000ms;
constexpr milliseconds kOftenAfterStart = 2000ms;
/// A seed's word that the target is listed holds this long.
constexpr milliseconds kListedLifetime = 20000ms;
/// Left of the limit for the end itself.
constexpr milliseconds kEndReserve = 1000ms;
constexpr milliseconds kStopPoll = 100ms;
/// How often it looks for a target that was absent, or may end while the agent
/// stops.
constexpr milliseconds kTargetLook = 500ms;
/// After the agent's start: when it looks first whether there is a target; the
/// pause doubles, since each look is a connection to the target.
constexpr milliseconds kFirstTargetLook = 100ms;
/// The first look on the agent's own machine is over by then, and the first
/// greeting tells what it has found.
constexpr milliseconds kFirstLookTakes = 5ms;
/// An older look tells nothing about now: far below the time in which a target
/// starts, is listed and leaves.
constexpr milliseconds kAbsenceLifetime = 500ms;
/// An agent whose target has ended goes on this long to tell so: some looks,
/// since a datagram may be lost.
constexpr milliseconds kTellEnded = 2000ms;

}  // namespace

struct packet_agent_daemon::state : packet_agent_effects {
  state(const packet_options& options, const packet_format& format)
      : settings(options.settings),
        target_side(loop, settings.outbound, counted, nullptr),
        entries(loop,
                {settings.address, settings.delivery_port},
                counted,
                nullptr),
        agent(ClockWithSleep(),
              {ServiceIdOf(settings.service), settings.first_start,
               WallTimeMs(), settings.longest_flow},
              format,
              *this,
              counted),
        readiness(loop,
                  settings.readiness,
                  [this](const http_request& /*request*/, auto responder) {
                    http_response response;
                    response.status = stopping ? 503 : 200;
                    responder->Respond(std::move(response));
                  }),
        metrics(
            loop,
            {settings.address, settings.metrics_port},
            "agent",
            settings.name,
            counted,
            [this] {
              return SummaryText(
                  "corianderplank_answer_seconds",
                  "Time from handing a request to the target to its answer.",
                  answers);
            }),
        watcher(loop,
                options.path,
                options.settings,
                /*is_agent=*/true,
                [this](const packet_settings& changed) {
                  settings.stop_limit = changed.stop_limit;
                  settings.seeds = changed.seeds;
                }) {}

  void SendToTarget(std::string_view packet) override {
    target_side.Send(settings.target, packet);
  }

  void SendToClient(const endpoint& client, std::string_view packet) override {
    target_side.Send({client.address, settings.packet_port}, packet);
  }

  void SendToEntry(const endpoint& entry,
                   const mesh_message& message) override {
    entries.Send(entry, encoder.Encode(message));
  }

  void OnAnswered(milliseconds took) override { answers.Add(took); }

  void Flush() {
    target_side.Flush();
    entries.Flush();
  }

  void Start() {
    target_side.Receive(
        [this](const received_datagram& item) {
          agent.OnTargetDatagram(ClockWithSleep(), item.bytes);
        },
        [this] { Flush(); });
    entries.Receive(
        [this](const received_datagram& item) {
          const auto message = DecodeMesh(item.bytes);
          const bool known_port = item.from.port == settings.delivery_port ||
                                  item.from.port == settings.peer_port;
          if (!message || !known_port) {
            counted.Add(result_code::malformed);
            return;
          }
          if (message->kind == mesh_kind::listed) {
            listed_at = ClockWithSleep();
            return;
          }
          agent.OnEntryMessage(ClockWithSleep(), item.from, *message);
          LookForSilentTarget();
        },
        [this] { Flush(); });
    loop.Every(kTick, [this] { agent.Tick(ClockWithSleep()); });
    loop.Every(kTallyPeriod, [this] {
      LogEvent(log_level::info, "tally",
               {{"counters", CountersJson(counted)},
                {"flows", std::to_string(agent.OpenFlows())}});
    });
    started_at = ClockWithSleep();
    if (!settings.first_start) {
      LookForTargetAfterStart(kFirstTargetLook);
    }
    loop.After(kFirstLookTakes, [this] { TellPresence(); });
    loop.OnStopSignal([this] { OnStop(); });
    watcher.Start();
  }

  // Tells the seeds that it runs, while no list may show its target.
  void TellPresence() {
    const time_point now = ClockWithSleep();
    const bool listed = listed_at != time_point{} &&
                        now - listed_at < kListedLifetime &&
                        !agent.IsTargetDraining(now);
    if (!listed) {
      TellSeeds(now - absent_at < kAbsenceLifetime);
    }
    loop.After(now - started_at < kOftenAfterStart && !listed ? kFirstPresent
                                                              : kPresent,
               [this] { TellPresence(); });
  }

  // Absence is told only soon after the look that has found it: a target may
  // start at any time.
  void TellSeeds(bool absent) {
    mesh_message message;
    message.kind = mesh_kind::present;
    message.service = ServiceIdOf(settings.service);
    message.absent = absent;
    const std::string_view datagram = encoder.Encode(message);
    for (const endpoint& seed : settings.seeds) {
      entries.Send({seed.address, settings.peer_port}, datagram);
    }
    entries.Flush();
  }

  void OnStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    LogEvent(log_level::info, "stop_requested",
             {{"flows", std::to_string(agent.OpenFlows())}});
    stop_at = ClockWithSleep();
    agent.OnStop(stop_at);
    Flush();
    LookForTargetWhileStopping();
    // A target that has ended is known by then.
    loop.After(kStopPoll, [this] { PollStop(); });
  }

  // A target that starts later starts empty, and all that it gets passes here.
  void LookForTargetAfterStart(milliseconds pause) {
    if (stopping || target_came || pause > settings.longest_flow) {
      return;
    }
    LookForTarget();
    const milliseconds next = target_absent ? kTargetLook : pause;
    loop.After(next, [this, pause] { LookForTargetAfterStart(2 * pause); });
  }

  // A machine is taken away with its target; its flows must not wait for it.
  void LookForTargetWhileStopping() {
    LookForTarget();
    loop.After(kTargetLook, [this] { LookForTargetWhileStopping(); });
  }

  // A target that has crashed says nothing; its clients repeat their packets.
  void LookForSilentTarget() {
    const time_point now = ClockWithSleep();
    if (agent.IsTargetUnresponsive(now) && now - looked_at > kTargetLook) {
      counted.Add(result_code::target_silent);
      LookForTarget();
    }
  }

  void LookForTarget() {
    const time_point asked_at = ClockWithSleep();
    looked_at = asked_at;
    ProbeListener(loop, settings.target,
                  [this, asked_at](listener_state state) {
                    if (state == listener_state::present) {
                      target_came = true;
                      absent_at = time_point{};
                    }
                    if (state == listener_state::absent) {
                      OnTargetAbsent(asked_at);
                    }
                  });
  }

  void OnTargetAbsent(time_point asked_at) {
    if (ClockWithSleep() - asked_at < kAbsenceLifetime) {
      absent_at = asked_at;
      TellSeeds(/*absent=*/true);
    }
    const bool has_ended = stopping && asked_at >= stop_at;
    const bool is_news =
        !target_absent || target_came || has_ended || agent.OpenFlows() > 0;
    if (target_ended || !is_news) {
      return;
    }
    target_came = false;
    ended_at = ClockWithSleep();
    target_absent = true;
    target_ended = has_ended;
    LogEvent(log_level::info, has_ended ? "target_ended" : "target_absent",
             {{"target", FormatEndpoint(settings.target)},
              {"flows", std::to_string(agent.OpenFlows())}});
    agent.OnTargetAbsent(ClockWithSleep(), asked_at);
    Flush();
  }

  // Serves its flows until they have ended, or the limit nears.
  void PollStop() {
    const auto passed = ClockWithSleep() - stop_at;
    const auto told_for = ClockWithSleep() - ended_at;
    const bool idle =
        target_ended ? told_for > kTellEnded : agent.OpenFlows() == 0;
    if (idle || passed + kEndReserve > settings.stop_limit) {
      loop.Stop();
      return;
    }
    loop.After(kStopPoll, [this] { PollStop(); });
  }

  packet_settings settings;
  counters counted;
  event_loop loop;
  udp_socket target_side;
  udp_socket entries;
  mesh_encoder encoder;
  packet_agent agent;
  http_server readiness;
  latency_histogram answers;
  metrics_server metrics;
  settings_watcher watcher;
  time_point started_at{};
  time_point listed_at{};
  time_point stop_at{};
  bool stopping = false;
  /// Nothing listened at the target's address at some time since the start.
  bool target_absent = false;
  /// Something listened there at a look.
  bool target_came = false;
  /// Begin of the last look, and of the last one that found nothing.
  time_point looked_at{};
  time_point absent_at{};
  /// Nothing listened there after the stop was requested.
  bool target_ended = false;
  /// When that was found.
  time_point ended_at{};
};

packet_agent_daemon::packet_agent_daemon(const packet_options& options,
                                         const packet_format& format)
    : state_(std::make_unique<state>(options, format)) {}

packet_agent_daemon::~packet_agent_daemon() = default;

void packet_agent_daemon::Run() {
  LogEvent(log_level::info, "started",
           {{"role", "agent"}, {"service", state_->settings.service}});
  state_->Start();
  state_->loop.Run();
  LogEvent(log_level::info, "stopped");
}

}  // namespace corianderplank
