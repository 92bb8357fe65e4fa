#include "product/config_watcher.h"

#include <algorithm>

#include "net/http_client.h"
#include "product/document_parser.h"
#include "product/log.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How long a starting process waits for every source.
constexpr milliseconds kStartLimit = 2000ms;
constexpr milliseconds kPeerTimeout = 1000ms;
/// Period of asking one peer for a newer document.
constexpr milliseconds kGossipPeriod = 1000ms;
constexpr milliseconds kFirstBackoff = 250ms;
constexpr milliseconds kLongestBackoff = 5000ms;
/// Wait that spreads the next watch of the fleet after a change.
constexpr milliseconds kChangeSpread = 500ms;
/// Share of it for each instance: half of the platform's calls for the fleet.
constexpr milliseconds kSpreadPerInstance = 1ms;
constexpr milliseconds kWatchGrace = 2000ms;

/// One long poll that is renewed for ever.
struct watch {
  std::string path;
  std::uint64_t known = 0;
  int failures = 0;
  bool answered = false;
};

}  // namespace

struct config_watcher::state : std::enable_shared_from_this<state> {
  state(event_loop& loop,
        const process_settings& settings,
        control_client& client,
        counters& counted,
        config_callback on_config)
      : loop(loop),
        settings(settings),
        client(client),
        counted(counted),
        on_config(std::move(on_config)),
        platform(loop, settings.platform),
        store(settings.environment, counted),
        instances(std::make_shared<instance_list>()) {
    documents.path = "/v1/environments/" + settings.environment + "/document";
    lists.path = "/v1/environments/" + settings.environment + "/instances";
  }

  /// @return a time over which the whole fleet may call the platform once.
  milliseconds FleetSpread() const {
    return kSpreadPerInstance * static_cast<int>(instances->instances.size());
  }

  milliseconds Jitter(milliseconds base) {
    const std::uint64_t draw = MixHash(HashName(settings.name), ++draws) % 1000;
    return base / 2 + base * static_cast<int>(draw) / 1000;
  }

  void Start() {
    awaited = 2 + settings.peers.size();
    Poll(documents, 0ms);
    Poll(lists, 0ms);
    for (const endpoint& peer : settings.peers) {
      AskPeer(peer, [this] { OnSource(); });
    }
    loop.After(kStartLimit, [self = shared_from_this()] { self->BeReady(); });
    loop.Every(kGossipPeriod, [self = shared_from_this()] { self->Gossip(); });
  }

  /// One of the sources of the start has answered or failed.
  void OnSource() {
    if (awaited > 0 && --awaited == 0) {
      BeReady();
    }
  }

  void BeReady() {
    if (ready) {
      return;
    }
    if (store.InForce() == nullptr) {
      // The first document that arrives makes the process ready.
      awaited = 0;
      start_over = true;
      return;
    }
    ready = true;
    if (sources < 2) {
      counted.Add(result_code::single_source);
      LogEvent(log_level::warning, "single_source",
               {{"revision", std::to_string(store.Revision().value)}});
    }
    Publish();
  }

  void Publish() {
    if (start_over) {
      start_over = false;
      BeReady();
      return;
    }
    if (ready) {
      on_config(store.InForce(), instances);
    }
  }

  void Poll(watch& which, milliseconds wait) {
    client_request request;
    request.target = which.path + "?after=" + std::to_string(which.known) +
                     "&wait_ms=" + std::to_string(wait.count());
    request.timeout = wait + kWatchGrace;
    platform.Send(request,
                  [self = shared_from_this(), &which](client_result result) {
                    self->OnPoll(which, result);
                  });
  }

  void OnPoll(watch& which, const client_result& result) {
    const bool first = !which.answered;
    which.answered = true;
    milliseconds pause = 0ms;
    if (result.status != client_status::completed) {
      counted.Add(result_code::platform_unreachable);
      pause = Backoff(which);
    } else if (result.code == 200) {
      which.failures = 0;
      pause = Jitter(std::max(kChangeSpread, FleetSpread()));
      TakeAnswer(which, result);
    } else if (result.code == 304) {
      which.failures = 0;
    } else {
      counted.Add(result_code::platform_refused);
      pause = Backoff(which);
    }
    if (first) {
      OnSource();
    }
    const milliseconds wait = Jitter(settings.watch_wait);
    loop.After(pause, [self = shared_from_this(), &which, wait] {
      self->Poll(which, wait);
    });
  }

  milliseconds Backoff(watch& which) {
    const int doublings = std::min(which.failures++, 5);
    const milliseconds longest = std::max(kLongestBackoff, 2 * FleetSpread());
    return Jitter(std::min(kFirstBackoff * (1 << doublings), longest));
  }

  void TakeAnswer(watch& which, const client_result& result) {
    if (&which == &lists) {
      TakeInstances(result);
      return;
    }
    const auto header = result.headers.find("x-revision");
    const std::uint64_t revision =
        header == result.headers.end()
            ? 0
            : std::strtoull(header->second.c_str(), nullptr, 10);
    which.known = std::max<std::uint64_t>(revision, 1);
    ++sources;
    Offer(result.body, {revision}, "platform");
  }

  void TakeInstances(const client_result& result) {
    const auto parsed = ParseInstances(result.body);
    if (!parsed) {
      counted.Add(result_code::invalid_document);
      return;
    }
    lists.known = parsed->version;
    instances = std::make_shared<instance_list>(*parsed);
    Publish();
  }

  void Offer(const std::string& text,
             revision_number revision,
             const std::string& source) {
    const revision_number before = store.Revision();
    if (revision < before) {
      counted.Add(result_code::lower_revision);
      return;
    }
    parsed_document parsed = ParseDocument(source, text, revision);
    if (!parsed.errors.empty()) {
      counted.Add(result_code::invalid_document);
      LogEvent(log_level::error, "invalid_document",
               {{"revision", std::to_string(revision.value)},
                {"error", FormatConfigError(parsed.errors.front())}});
      return;
    }
    const result_code code = store.Offer(std::move(parsed.document));
    if (code != result_code::answered) {
      LogEvent(log_level::error, "document_refused",
               {{"revision", std::to_string(revision.value)},
                {"code", std::string(ResultCodeName(code))}});
      return;
    }
    if (store.Revision() == before) {
      return;
    }
    LogEvent(
        log_level::info, "document_in_force",
        {{"revision", std::to_string(revision.value)}, {"source", source}});
    Publish();
  }

  void AskPeer(const endpoint& peer, std::function<void()> done) {
    control_message message;
    message.kind = control_kind::fetch_document;
    message.environment = settings.environment;
    message.revision = store.Revision();
    client.Request(
        peer, EncodeControl(message), kPeerTimeout,
        [self = shared_from_this(), peer, done = std::move(done)](auto reply) {
          self->loop.Post([self, peer, done, reply] {
            self->OnPeer(peer, reply);
            done();
          });
        });
  }

  void OnPeer(const endpoint& peer, const std::optional<std::string>& reply) {
    if (!reply) {
      return;
    }
    const auto message = DecodeControl(*reply);
    if (!message || message->kind != control_kind::document) {
      return;
    }
    ++sources;
    if (message->environment != settings.environment) {
      counted.Add(result_code::other_environment);
      return;
    }
    if (!message->document.empty()) {
      Offer(message->document, message->revision,
            "peer " + FormatEndpoint(peer));
    }
  }

  bool IsKnown(const endpoint& peer) const {
    const auto& listed = instances->instances;
    if (std::find(settings.peers.begin(), settings.peers.end(), peer) !=
            settings.peers.end() ||
        std::any_of(listed.begin(), listed.end(), [&](const instance& item) {
          return item.control == peer;
        })) {
      return true;
    }
    if (store.InForce() == nullptr) {
      return false;
    }
    const auto& services = store.InForce()->services;
    return std::any_of(
        services.begin(), services.end(), [&](const service& of) {
          return std::any_of(
              of.targets.begin(), of.targets.end(),
              [&](const target& item) { return item.control == peer; });
        });
  }

  void FetchFrom(const endpoint& peer) {
    if (fetching) {
      return;
    }
    if (!IsKnown(peer)) {
      counted.Add(result_code::unknown_peer);
      return;
    }
    fetching = true;
    AskPeer(peer, [self = shared_from_this()] { self->fetching = false; });
  }

  void Gossip() {
    std::vector<endpoint> peers = settings.peers;
    for (const instance& item : instances->instances) {
      if (item.control != settings.control) {
        peers.push_back(item.control);
      }
    }
    if (!peers.empty()) {
      const std::uint64_t draw = MixHash(HashName(settings.name), ++draws);
      FetchFrom(peers[draw % peers.size()]);
    }
  }

  event_loop& loop;
  process_settings settings;
  control_client& client;
  counters& counted;
  config_callback on_config;
  http_client platform;
  document_store store;
  std::shared_ptr<const instance_list> instances;
  watch documents;
  watch lists;
  std::size_t awaited = 0;
  std::size_t sources = 0;
  std::uint64_t draws = 0;
  bool ready = false;
  bool start_over = false;
  bool fetching = false;
};

config_watcher::config_watcher(event_loop& loop,
                               const process_settings& settings,
                               control_client& client,
                               counters& counters,
                               config_callback on_config)
    : state_(std::make_shared<state>(loop,
                                     settings,
                                     client,
                                     counters,
                                     std::move(on_config))) {}

config_watcher::~config_watcher() = default;

void config_watcher::Start() {
  state_->Start();
}

void config_watcher::FetchFrom(const endpoint& peer) {
  state_->FetchFrom(peer);
}

control_message config_watcher::AnswerFetch(
    const control_message& request) const {
  control_message reply;
  reply.kind = control_kind::document;
  reply.environment = state_->settings.environment;
  reply.revision = state_->store.Revision();
  const auto document = state_->store.InForce();
  const bool wanted = request.environment == reply.environment &&
                      request.revision < reply.revision;
  if (wanted && document != nullptr) {
    reply.document = document->source;
  }
  return reply;
}

std::shared_ptr<const environment_document> config_watcher::Document() const {
  return state_->store.InForce();
}

std::shared_ptr<const instance_list> config_watcher::Instances() const {
  return state_->instances;
}

}  // namespace corianderplank
