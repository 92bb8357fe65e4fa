#include "packet/packet_agent_daemon.h"

#include <set>

#include "core/flow_handover.h"
#include "core/packet_agent.h"
#include "liveness/target_end.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/listen_probe.h"
#include "net/sleep_clock.h"
#include "net/udp_socket.h"
#include "packet/fleet_state_log.h"
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

/// Period of expiring flows that have ended.
constexpr milliseconds kExpiryPeriod = 1000ms;
/// Period of logging the counters, which keeps their values after the process
/// has exited.
constexpr milliseconds kCounterLogPeriod = 5000ms;
/// Periods of the presence reports to the seeds. Until a seed has confirmed
/// that the target is listed, the agent reports more often for some time after
/// its start, since entries that started at the same time wait for the reports.
constexpr milliseconds kInitialPresencePeriod = 50ms;
constexpr milliseconds kPresencePeriod = 1000ms;
constexpr milliseconds kInitialPresenceDuration = 2000ms;
/// Time for which a seed's confirmation that the target is listed is valid.
constexpr milliseconds kListedTimeout = 20000ms;
/// Part of the stop limit that is reserved for the exit itself.
constexpr milliseconds kExitReserve = 1000ms;
constexpr milliseconds kStopPollPeriod = 100ms;
/// Time in which entries learn that the agent is stopping. Afterwards it ends
/// between two requests: its successor continues the flows.
constexpr milliseconds kMinStopDuration = 500ms;
/// Period of probing a target that was absent or that may end while the agent
/// stops.
constexpr milliseconds kTargetProbePeriod = 500ms;
/// Delay after the first probe for a target at the agent's start. It doubles
/// with each probe, since each probe is a connection to the target.
constexpr milliseconds kInitialProbeDelay = 100ms;
/// Time after which the first probe, which stays on the agent's machine, has
/// completed, so that the first presence report includes its result.
constexpr milliseconds kFirstProbeDuration = 5ms;
/// Age up to which the result of a probe is valid: far below the time in which
/// a target can start, be listed and be removed.
constexpr milliseconds kMaxAbsenceAge = 500ms;
/// Time for which an agent keeps reporting that its target has ended. It spans
/// several probes, since a datagram may be lost.
constexpr milliseconds kEndedReportDuration = 2000ms;

/// Period of asking the seeds for the flows of the agent that ran here before,
/// and the time after which the agent does without them. Searches wait for the
/// reply for a shorter time: several round trips between failure domains.
constexpr milliseconds kHandoverRequestPeriod = 50ms;
constexpr milliseconds kHandoverTimeout = 1000ms;
constexpr milliseconds kMaxSearchDelay = 200ms;
/// Time between the two times that an ending agent sends its flows: a datagram
/// may be lost.
constexpr milliseconds kHandoverRepeatDelay = 100ms;

}  // namespace

struct packet_agent_daemon::state : packet_agent_effects {
  state(const packet_options& options, const packet_format& format)
      : settings(options.settings),
        started_ms(WallTimeMs()),
        target_socket(loop, settings.outbound, result_counters, nullptr),
        entry_socket(loop,
                     {settings.address, settings.delivery_port},
                     result_counters,
                     nullptr),
        agent(ClockWithSleep(),
              {.service = ServiceIdOf(settings.service),
               .first_start = settings.first_start,
               .started_ms = started_ms,
               .longest_flow = settings.longest_flow,
               .learns_pace = settings.learns_pace,
               .failure_domain = HashName(settings.failure_domain),
               .watches_answers = settings.watches_answers},
              format,
              *this,
              result_counters),
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
            result_counters,
            [this] {
              return SummaryText(
                  "corianderplank_answer_seconds",
                  "Time from handing a request to the target to its answer.",
                  answer_latencies);
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
    target_socket.Send(settings.target, packet);
  }

  void SendToClient(const endpoint& client, std::string_view packet) override {
    target_socket.Send({client.address, settings.packet_port}, packet);
  }

  void SendToEntry(const endpoint& entry,
                   const mesh_message& message) override {
    entry_socket.Send(entry, encoder.Encode(message));
  }

  void OnAnswered(milliseconds answer_latency) override {
    answer_latencies.Add(answer_latency);
  }

  void OnSuspicion(const suspicion_change& change) override {
    LogEvent(log_level::info,
             ResultCodeName(change.suspected ? result_code::target_suspected
                                             : result_code::suspect_cleared),
             {{"route", FormatEndpoint(change.route)},
              {"bytes", std::to_string(change.answer.bytes)},
              {"ms", std::to_string(change.answer.service_time.count())},
              {"peers", std::to_string(change.peers.count)},
              {"peers_bytes", std::to_string(change.peers.bytes)},
              {"peers_ms", std::to_string(change.peers.service_time.count())},
              {"peers_age_ms", std::to_string(change.peers_age.count())},
              {"errors", std::to_string(change.suspect_answers)},
              {"others", std::to_string(change.normal_answers)},
              {"pause_ms", std::to_string(change.pause.count())}});
  }

  void OnPaceChanged(const pace_change& change) override {
    LogEvent(log_level::info, "pace_changed",
             {{"from", std::to_string(change.from)},
              {"to", std::to_string(change.to)},
              {"state", NameOf(change.state)},
              {"slowness_permille", std::to_string(change.slowness_permille)},
              {"state_age_ms", std::to_string(change.age.count())}});
  }

  void Flush() {
    target_socket.Flush();
    entry_socket.Flush();
  }

  void Start() {
    target_socket.Receive(
        [this](const received_datagram& datagram) {
          agent.OnTargetDatagram(ClockWithSleep(), datagram.bytes);
        },
        [this] { Flush(); });
    entry_socket.Receive(
        [this](const received_datagram& datagram) {
          const auto message = DecodeMesh(datagram.bytes);
          const bool known_port =
              datagram.from.port == settings.delivery_port ||
              datagram.from.port == settings.peer_port;
          if (!message || !known_port) {
            result_counters.Add(result_code::malformed_message);
            return;
          }
          if (message->kind == mesh_kind::listed) {
            listed_at = ClockWithSleep();
            return;
          }
          if (message->kind == mesh_kind::flow_handover) {
            OnHandoverPart(datagram.from, *message);
            return;
          }
          const bool was_evacuated = agent.Evacuation().Row().evacuated;
          agent.OnEntryMessage(ClockWithSleep(), datagram.from, *message);
          if (agent.Evacuation().Row().evacuated != was_evacuated) {
            LogEvacuation(agent.Evacuation().Row(), settings.failure_domain,
                          FormatEndpoint(datagram.from), std::nullopt);
          }
          ProbeUnresponsiveTarget();
        },
        [this] { Flush(); });
    loop.Every(kExpiryPeriod, [this] { agent.Tick(ClockWithSleep()); });
    loop.Every(kCounterLogPeriod, [this] {
      LogEvent(log_level::info, "tally",
               {{"counters", CountersJson(result_counters)},
                {"flows", std::to_string(agent.OpenFlows())}});
    });
    started_at = ClockWithSleep();
    if (!settings.first_start) {
      agent.AwaitHandover();
      RequestHandover();
      ProbeTargetAfterStart(kInitialProbeDelay);
    }
    loop.After(kFirstProbeDuration, [this] { ReportPresence(); });
    loop.OnStopSignal([this] { OnStop(); });
    watcher.Start();
  }

  // Reports to the seeds that the agent runs, as long as the target may be
  // missing from the target list.
  void ReportPresence() {
    const time_point now = ClockWithSleep();
    const bool listed = listed_at != time_point{} &&
                        now - listed_at < kListedTimeout &&
                        !agent.IsTargetDraining(now);
    if (!listed) {
      ReportToSeeds(now - last_absence_at < kMaxAbsenceAge);
    }
    loop.After(now - started_at < kInitialPresenceDuration && !listed
                   ? kInitialPresencePeriod
                   : kPresencePeriod,
               [this] { ReportPresence(); });
  }

  // Asks until a handover has arrived, every seed has none, or the time is
  // over.
  void RequestHandover() {
    if (handover_settled) {
      return;
    }
    const time_point now = ClockWithSleep();
    if (now - started_at > kHandoverTimeout) {
      OnNoHandover();
      return;
    }
    if (now - started_at > kMaxSearchDelay && agent.IsAwaitingHandover()) {
      agent.OnNoHandover(now);
      Flush();
    }
    mesh_message request;
    request.kind = mesh_kind::handover_request;
    request.service = ServiceIdOf(settings.service);
    request.sender_started_ms = started_ms;
    SendToSeeds({request});
    loop.After(kHandoverRequestPeriod, [this] { RequestHandover(); });
  }

  void OnHandoverPart(const endpoint& seed, const mesh_message& part) {
    if (handover_settled || settings.first_start) {
      return;
    }
    if (part.part_count == 0) {
      seeds_without_handover.insert(seed.address);
      if (seeds_without_handover.size() >= settings.seeds.size()) {
        OnNoHandover();
      }
      return;
    }
    handover.Add(part);
    const auto whole = handover.Whole();
    if (!whole) {
      return;
    }
    handover_settled = true;
    result_counters.Add(result_code::handover_received);
    LogEvent(
        log_level::info, "flows_taken_over",
        {{"flows", std::to_string(whole->flows.size())},
         {"complete", whole->complete ? "1" : "0"},
         {"after_ms", std::to_string((ClockWithSleep() - started_at) / 1ms)}});
    agent.OnHandover(ClockWithSleep(), *whole);
  }

  void OnNoHandover() {
    handover_settled = true;
    result_counters.Add(result_code::handover_missing);
    LogEvent(
        log_level::info, "no_flows_taken_over",
        {{"after_ms", std::to_string((ClockWithSleep() - started_at) / 1ms)}});
    agent.OnNoHandover(ClockWithSleep());
    Flush();
  }

  void SendToSeeds(const std::vector<mesh_message>& messages) {
    for (const mesh_message& message : messages) {
      const std::string_view datagram = encoder.Encode(message);
      for (const endpoint& seed : settings.seeds) {
        entry_socket.Send({seed.address, settings.peer_port}, datagram);
      }
    }
    entry_socket.Flush();
  }

  // Absence is reported only shortly after the probe that detected it, since a
  // target may start at any time.
  void ReportToSeeds(bool absent) {
    mesh_message message;
    message.kind = mesh_kind::present;
    message.service = ServiceIdOf(settings.service);
    message.absent = absent;
    SendToSeeds({message});
  }

  void OnStop() {
    if (stopping) {
      return;
    }
    stopping = true;
    LogEvent(log_level::info, "stop_requested",
             {{"flows", std::to_string(agent.OpenFlows())}});
    stop_requested_at = ClockWithSleep();
    agent.OnStop(stop_requested_at);
    Flush();
    ProbeTargetWhileStopping();
    // The probe above has completed by then, so an ended target is known.
    loop.After(kStopPollPeriod, [this] { PollStop(); });
  }

  // Probes until a target has been seen: a target that starts after an absence
  // holds no flows, and all of its later packets pass this agent.
  void ProbeTargetAfterStart(milliseconds delay) {
    if (stopping || target_seen || delay > settings.longest_flow) {
      return;
    }
    ProbeTarget();
    const milliseconds next_delay = target_absent ? kTargetProbePeriod : delay;
    loop.After(next_delay, [this, delay] { ProbeTargetAfterStart(2 * delay); });
  }

  // The machine may be removed together with its target. The entries must learn
  // that the target has ended, so that its flows do not wait for it.
  void ProbeTargetWhileStopping() {
    ProbeTarget();
    loop.After(kTargetProbePeriod, [this] { ProbeTargetWhileStopping(); });
  }

  // A crashed target sends nothing, but its clients retransmit their packets,
  // and these trigger the probe.
  void ProbeUnresponsiveTarget() {
    const time_point now = ClockWithSleep();
    if (agent.IsTargetUnresponsive(now) &&
        now - last_probe_at > kTargetProbePeriod) {
      result_counters.Add(result_code::target_silent);
      ProbeTarget();
    }
  }

  void ProbeTarget() {
    const time_point probe_started_at = ClockWithSleep();
    last_probe_at = probe_started_at;
    ProbeListener(
        loop, settings.target, [this, probe_started_at](listener_state state) {
          if (state == listener_state::present) {
            target_seen = true;
            last_absence_at = time_point{};
            refusals = {};
          }
          if (state == listener_state::absent) {
            AddRefusal(probe_started_at, refusals);
            if (refusals.first_refused_at == probe_started_at) {
              LogEvent(log_level::info, "target_refuses",
                       {{"flows", std::to_string(agent.OpenFlows())}});
            }
            JudgeTarget();
          }
        });
  }

  // Acts on the refused connections once they and the flows show that the
  // target has ended.
  void JudgeTarget() {
    const time_point now = ClockWithSleep();
    target_evidence evidence = refusals;
    agent.AddEvidence(now, evidence);
    const end_proof proof = ProofOfEnd(now, evidence);
    if (proof != end_proof::none) {
      OnTargetAbsent(evidence, proof);
    }
  }

  void OnTargetAbsent(const target_evidence& evidence, end_proof proof) {
    const time_point now = ClockWithSleep();
    const time_point checked_at = evidence.last_refused_at;
    if (now - checked_at < kMaxAbsenceAge) {
      last_absence_at = checked_at;
      ReportToSeeds(/*absent=*/true);
    }
    const bool has_ended = stopping && checked_at >= stop_requested_at;
    const bool is_new =
        !target_absent || target_seen || has_ended || agent.OpenFlows() > 0;
    if (target_ended || !is_new) {
      return;
    }
    target_seen = false;
    target_ended_at = now;
    target_absent = true;
    target_ended = has_ended;
    LogEvent(log_level::info, has_ended ? "target_ended" : "target_absent",
             {{"target", FormatEndpoint(settings.target)},
              {"flows", std::to_string(agent.OpenFlows())},
              {"proof", NameOf(proof)},
              {"refused_for_ms",
               std::to_string((now - evidence.first_refused_at) / 1ms)},
              {"silent_for_ms",
               evidence.last_packet_at == time_point{}
                   ? "-1"
                   : std::to_string((now - evidence.last_packet_at) / 1ms)}});
    agent.OnTargetAbsent(now, checked_at, proof);
    Flush();
  }

  // Keeps serving until the flows have ended or can be handed over without
  // cutting a request, or until the stop limit has nearly elapsed.
  void PollStop() {
    const auto elapsed = ClockWithSleep() - stop_requested_at;
    const bool is_refusing = refusals.last_refused_at >= stop_requested_at;
    if (!target_ended && is_refusing) {
      JudgeTarget();
    }
    const auto reported_for = ClockWithSleep() - target_ended_at;
    const bool can_hand_over =
        !settings.seeds.empty() && elapsed > kMinStopDuration;
    const bool idle =
        target_ended
            ? reported_for > kEndedReportDuration
            : !is_refusing && (agent.OpenFlows() == 0 ||
                               (can_hand_over && !agent.HasRequests()));
    if (idle || elapsed + kExitReserve > settings.stop_limit) {
      HandOverAndExit();
      return;
    }
    loop.After(kStopPollPeriod, [this] { PollStop(); });
  }

  // The flows of a target that has ended have ended with it.
  void HandOverAndExit() {
    if (target_ended) {
      loop.Stop();
      return;
    }
    // Nobody is told that a target has ended which may still serve: entries
    // would reset its clients.
    if (refusals.last_refused_at >= stop_requested_at) {
      LogEvent(log_level::info, "target_left_serving",
               {{"flows", std::to_string(agent.OpenFlows())}});
    }
    const flow_handover flows = agent.HandOver(ClockWithSleep());
    LogEvent(log_level::info, "flows_handed_over",
             {{"flows", std::to_string(flows.flows.size())},
              {"complete", flows.complete ? "1" : "0"}});
    const std::vector<mesh_message> parts = SplitHandover(flows);
    SendToSeeds(parts);
    loop.After(kHandoverRepeatDelay, [this, parts] {
      SendToSeeds(parts);
      loop.Stop();
    });
  }

  packet_settings settings;
  std::int64_t started_ms;
  counters result_counters;
  event_loop loop;
  udp_socket target_socket;
  udp_socket entry_socket;
  mesh_encoder encoder;
  packet_agent agent;
  http_server readiness;
  latency_histogram answer_latencies;
  metrics_server metrics;
  settings_watcher watcher;
  time_point started_at{};
  time_point listed_at{};
  time_point stop_requested_at{};
  bool stopping = false;
  handover_assembly handover;
  /// The handover has arrived, or is not to be expected any more.
  bool handover_settled = false;
  std::set<std::uint32_t> seeds_without_handover;
  /// A probe since the start found that nothing listened at the target's
  /// address.
  bool target_absent = false;
  /// A probe found a listener since the last recorded absence.
  bool target_seen = false;
  /// Refused connections that no accepted one has followed.
  target_evidence refusals;
  /// Start times of the last probe and of the last one that found no listener.
  time_point last_probe_at{};
  time_point last_absence_at{};
  /// A probe that began after the stop request found no listener.
  bool target_ended = false;
  /// When the last absence was recorded.
  time_point target_ended_at{};
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
