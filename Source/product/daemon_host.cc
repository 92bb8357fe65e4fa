#include "product/daemon_host.h"

#include <algorithm>
#include <chrono>

#include "net/http_server.h"
#include "product/admin_pages.h"
#include "product/log.h"

namespace corianderplank {
namespace {

constexpr std::chrono::milliseconds kTallyPeriod{5000};

}  // namespace

std::int64_t WallTimeMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct daemon_host::state {
  state(std::string role_name, const process_settings& settings)
      : role_name(std::move(role_name)),
        settings(settings),
        impaired(settings.impairment_seed, settings.impairment),
        peers(settings.impairment_enabled ? &impaired : nullptr),
        watcher(loop,
                settings,
                peers,
                counted,
                [this](auto document, auto instances) {
                  role->OnConfig(std::move(document), std::move(instances));
                }) {}

  void OnControlRequest(std::string bytes, control_reply reply) {
    loop.Post([this, bytes = std::move(bytes), reply = std::move(reply)] {
      const auto message = DecodeControl(bytes);
      if (!message) {
        counted.Add(result_code::malformed);
        reply(EncodeControl({}));
        return;
      }
      if (message->kind == control_kind::fetch_document) {
        reply(EncodeControl(watcher.AnswerFetch(*message)));
        return;
      }
      role->OnControl(*message, [reply](const control_message& answer) {
        reply(EncodeControl(answer));
      });
    });
  }

  void OnAdmin(const http_request& request,
               const std::shared_ptr<http_responder>& responder) {
    http_response response;
    response.content_type = "application/json";
    if (request.path == "/metrics") {
      response.content_type = "text/plain; version=0.0.4";
      response.body = MetricsText(role_name, settings.name, counted);
    } else if (request.path == "/metrics.json") {
      response.body = MetricsJson(settings.name, counted);
    } else if (request.path == "/status") {
      response.body = ProcessJson(role_name, settings, watcher.Document().get(),
                                  role->StatusJson());
    } else if (request.path == "/events") {
      const auto after = request.query.find("after");
      const std::uint64_t number =
          after == request.query.end()
              ? 0
              : std::strtoull(after->second.c_str(), nullptr, 10);
      const auto document = watcher.Document();
      response.body = EventsJson({role_name, settings, started_ms, &events,
                                  &counted, &verdicts, document.get()},
                                 number);
    } else if (request.path == "/explain") {
      const auto part = [&](const char* name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
      };
      response.body = role->ExplainJson(part("flow"), part("service"));
    } else if (request.path == "/impairment" && request.method == "POST" &&
               settings.impairment_enabled) {
      impaired.Block(ParseBlockList(request.body));
      response.body = "{}";
    } else {
      response.status = 404;
      response.body = "{}";
    }
    responder->Respond(std::move(response));
  }

  // Logs are all that outlives the process: what was counted goes there, once
  // in a while and only when it has changed.
  void LogTally() {
    const std::string counters_text = CountersJson(counted);
    const std::string verdicts_text = CountersJson(verdicts);
    if (counters_text + verdicts_text == tallied) {
      return;
    }
    tallied = counters_text + verdicts_text;
    LogEvent(log_level::info, "tally",
             {{"counters", counters_text},
              {"verdicts", verdicts_text},
              {"intervals", IntervalsJson(events, tallied_second)}});
    for (const load_interval& item : events.Intervals()) {
      tallied_second = std::max(tallied_second, item.second);
    }
  }

  std::string role_name;
  process_settings settings;
  event_loop loop;
  counters counted;
  counters verdicts;
  std::int64_t started_ms = WallTimeMs();
  std::string tallied;
  std::int64_t tallied_second = 0;
  event_ring events;
  impairment impaired;
  control_client peers;
  config_watcher watcher;
  daemon_role* role = nullptr;
};

daemon_host::daemon_host(std::string role_name,
                         const process_settings& settings)
    : state_(std::make_unique<state>(std::move(role_name), settings)) {}

daemon_host::~daemon_host() = default;

void daemon_host::Run(daemon_role& role) {
  state_->role = &role;
  http_server admin(state_->loop, state_->settings.admin,
                    [this](const http_request& request, auto responder) {
                      state_->OnAdmin(request, responder);
                    });
  control_server server(state_->settings.control, [this](std::string request,
                                                         control_reply reply) {
    state_->OnControlRequest(std::move(request), std::move(reply));
  });
  state_->loop.OnStopSignal([this] {
    LogEvent(log_level::info, "stop_requested");
    state_->role->OnStop();
  });
  LogEvent(log_level::info, "started",
           {{"role", state_->role_name},
            {"service", state_->settings.service},
            {"failure_domain", state_->settings.failure_domain},
            {"started_ms", std::to_string(state_->started_ms)},
            {"data", FormatEndpoint(state_->settings.data)}});
  state_->loop.Every(kTallyPeriod, [this] { state_->LogTally(); });
  state_->watcher.Start();
  state_->loop.Run();
  // The role must receive every reply while it exists.
  state_->peers.Close();
  state_->LogTally();
  LogEvent(log_level::info, "stopped");
}

void daemon_host::Exit() {
  state_->loop.Stop();
}

const process_settings& daemon_host::Settings() const {
  return state_->settings;
}

counters& daemon_host::Counters() {
  return state_->counted;
}

counters& daemon_host::Verdicts() {
  return state_->verdicts;
}

event_ring& daemon_host::Events() {
  return state_->events;
}

event_loop& daemon_host::ControlLoop() {
  return state_->loop;
}

control_client& daemon_host::Peers() {
  return state_->peers;
}

impairment* daemon_host::Impaired() {
  return state_->settings.impairment_enabled ? &state_->impaired : nullptr;
}

void daemon_host::FetchDocumentFrom(const endpoint& peer) {
  state_->loop.Post([this, peer] { state_->watcher.FetchFrom(peer); });
}

}  // namespace corianderplank
