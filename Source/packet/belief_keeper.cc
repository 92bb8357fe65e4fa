#include "packet/belief_keeper.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/agent_roster.h"
#include "core/fleet_belief.h"
#include "core/fleet_members.h"
#include "core/reader_schedule.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "net/udp_socket.h"
#include "product/log.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How often the schedule is looked at: a tenth of the reader's period.
constexpr milliseconds kTick = 50ms;
/// Entries tell the seeds that they run: twice within the life of a member.
constexpr milliseconds kHelloPeriod = 2000ms;
constexpr milliseconds kFirstHelloPeriod = 50ms;
/// Addresses that fit a datagram of an ordinary network.
constexpr std::size_t kMaxToldMembers = 200;
/// Facts of 16 bytes that fit beside these; others are told by a whole belief.
constexpr std::size_t kMaxToldEnded = 32;
/// Time in which facts are gathered for one message: a round trip.
constexpr milliseconds kGatherEnded = 5ms;
/// Rows that fit a datagram of an ordinary network.
constexpr std::size_t kMaxRows = 12;
/// Datagrams of one read at the most; who needs more fetches the whole.
constexpr std::size_t kMaxParts = 16;
/// Age that is added to an update at a relay, for its time on the way there:
/// some ways between failure domains.
constexpr milliseconds kRelayMargin = 10ms;
/// Targets whose changes are told in lines of their own; a whole list is one
/// line, since the first flows wait for it.
constexpr std::size_t kMaxLoggedChanges = 48;
/// Before a member fetches from its relay what that is fetching itself.
constexpr milliseconds kRelayFetchDelay = 300ms;
constexpr milliseconds kFetchTimeout = 800ms;
/// A tick that is later than this means that the process was asleep.
constexpr milliseconds kAsleepAfter = 1000ms;
/// After a sleep, datagrams that waited in the socket are not believed.
constexpr milliseconds kStaleAfterWake = 200ms;

}  // namespace

struct belief_keeper::state {
  state(event_loop& loop,
        const packet_settings& settings,
        fleet_source& source,
        counters& counted,
        view_callback on_view)
      : loop(loop),
        settings(settings),
        source(source),
        counted(counted),
        on_view(std::move(on_view)),
        belief({settings.longest_flow, belief_limits().return_grace},
               settings.first_start),
        schedule(settings.address, reader_periods()),
        socket(loop, {settings.address, settings.peer_port}, counted, nullptr),
        server(loop,
               settings.belief,
               [this](const http_request& request, auto responder) {
                 OnHttp(request, *responder);
               }) {}

  void Start() {
    ticked_at = ClockWithSleep();
    roster.Start(ticked_at);
    socket.Receive([this](const received_datagram& item) { OnDatagram(item); },
                   [this] { socket.Flush(); });
    Tick();
    SayHello();
  }

  void Tick() {
    const time_point now = ClockWithSleep();
    if (now - ticked_at > kAsleepAfter) {
      LogEvent(log_level::warning, "slept",
               {{"ms", std::to_string((now - ticked_at) / 1ms)}});
      woke_at = now;
      roster.OnWake(now);
      schedule.OnConfirmationWanted(now);
    }
    ticked_at = now;
    ReadIfDue();
    if (now - expired_at > 1s) {
      expired_at = now;
      belief.Expire(now);
      members.Expire(now);
      roster.Expire(now);
      TellLeaving(now);
      if (HasSettled(now)) {
        belief.OnAgentsKnown(now);
      }
    }
    loop.After(kTick, [this] { Tick(); });
  }

  void ReadIfDue() {
    const time_point now = ClockWithSleep();
    if (schedule.IsDue(now)) {
      Read(now);
    }
  }

  void Read(time_point began) {
    schedule.OnReadBegin(began);
    const auto done = [this, began](const source_read& read) {
      OnRead(began, read);
    };
    const bool whole = belief.Revision() == 0 || list_needed;
    reading_all = whole;
    if (whole) {
      source.ReadAll(done);
    } else {
      source.ReadChanges(belief.Revision(), done);
    }
  }

  void OnRead(time_point began, const source_read& read) {
    const time_point now = ClockWithSleep();
    if (read.status == read_status::history_lost) {
      counted.Add(result_code::history_lost);
      LogEvent(log_level::warning, "history_lost",
               {{"revision", std::to_string(belief.Revision())}});
      list_needed = true;
      Read(now);
      return;
    }
    if (read.status != read_status::complete) {
      OnReadFailed(now, read.status);
      return;
    }
    if (source_failing) {
      source_failing = false;
      LogEvent(log_level::info, "platform_regained",
               {{"revision", std::to_string(read.revision)}});
    }
    counted.Add(result_code::unreadable_entry, read.unreadable);
    const std::uint64_t base = belief.Revision();
    if (reading_all) {
      list_needed = false;
      belief.TakeList(now, began, read.revision, read.targets);
    } else {
      belief.TakeChanges(now, began, read.revision, read.targets);
    }
    TakeConfiguration(read.configuration, "platform");
    schedule.OnReadEnd(now, true);
    Publish(now);
    Broadcast(now, base);
  }

  void OnReadFailed(time_point now, read_status status) {
    counted.Add(result_code::read_failed);
    if (!source_failing) {
      source_failing = true;
      LogEvent(log_level::warning, "platform_lost",
               {{"reason",
                 status == read_status::refused ? "refused" : "unreachable"}});
    }
    schedule.OnReadEnd(now, false);
    if (belief.Revision() == 0) {
      FetchFromAny();
    }
  }

  void TakeConfiguration(
      const std::shared_ptr<const fleet_configuration>& configuration,
      const std::string& from) {
    if (!belief.TakeConfiguration(configuration)) {
      return;
    }
    LogEvent(log_level::info, "configuration_in_force",
             {{"version", std::to_string(configuration->version)},
              {"revision", std::to_string(configuration->revision)},
              {"source", from}});
  }

  void LogChanges(time_point now) {
    const std::vector<fleet_target> changes = belief.CollectChanges();
    if (changes.size() > kMaxLoggedChanges) {
      LogEvent(log_level::info, "targets_changed",
               {{"targets", std::to_string(changes.size())},
                {"revision", std::to_string(belief.Revision())},
                {"picture_age_ms",
                 std::to_string((now - belief.ConfirmedAt()) / 1ms)}});
      return;
    }
    for (const fleet_target& item : changes) {
      LogEvent(log_level::info, "target_changed",
               {{"target", FormatEndpoint(item.address)},
                {"state", item.gone                           ? "gone"
                          : item.state == target_state::ready ? "ready"
                                                              : "draining"},
                {"revision", std::to_string(item.revision)},
                {"picture_age_ms",
                 std::to_string((now - belief.ConfirmedAt()) / 1ms)}});
    }
  }

  void LogReader() {
    if (schedule.IsReader() != logged_reader) {
      logged_reader = schedule.IsReader();
      LogEvent(log_level::info,
               logged_reader ? "reads_for_all" : "hears_from_reader",
               {{"members", std::to_string(members.Count())}});
    }
  }

  void Publish(time_point now) {
    LogChanges(now);
    LogReader();
    if (!IsReady()) {
      return;
    }
    auto view = std::make_shared<fleet_view>(*belief.View(now));
    view->entries = static_cast<std::uint32_t>(members.Count()) + 1;
    on_view(std::move(view));
  }

  bool IsReady() const {
    return belief.Configuration() != nullptr && belief.Revision() != 0;
  }

  // What a reader has read goes to all entries.
  void Broadcast(time_point now, std::uint64_t base) {
    belief_update update = belief.UpdateSince(now, base);
    update.reader = settings.address;
    const std::vector<member_address> receivers = members.All();
    if (update.targets.size() > (base == 0 ? kMaxRows : kMaxRows * kMaxParts)) {
      // Whoever misses rows fetches them. A whole list must not be split:
      // what is not in it has left.
      update.targets.clear();
      update.base_revision = update.revision;
    }
    for (const belief_update& part : SplitUpdate(std::move(update), kMaxRows)) {
      Spread(now, part, receivers);
    }
  }

  void Spread(time_point now,
              const belief_update& update,
              const std::vector<member_address>& receivers) {
    const std::string bytes = EncodeBelief(update, now);
    mesh_message message;
    message.kind = mesh_kind::belief;
    message.payload = bytes;
    PassOn(message, receivers);
  }

  // Agents refuse new flows while their targets leave, whatever other entries
  // believe, and tell the seeds that they still run.
  void TellLeaving(time_point now) {
    if (!schedule.IsReader()) {
      return;
    }
    mesh_message message;
    message.kind = mesh_kind::drain;
    const std::string_view datagram = encoder.Encode(message);
    for (const auto& [id, item] : belief.Targets()) {
      if (!item.TakesFlows(now) && !IsListedAgain(item)) {
        socket.Send({item.address.address, settings.delivery_port}, datagram);
      }
    }
    socket.Flush();
  }

  // Whether the machine of a target that left has another one now.
  bool IsListedAgain(const fleet_target& left) const {
    return std::any_of(belief.Targets().begin(), belief.Targets().end(),
                       [&](const auto& entry) {
                         const fleet_target& item = entry.second;
                         return !item.gone && item.id != left.id &&
                                item.address.address == left.address.address;
                       });
  }

  void SayHello() {
    mesh_message message;
    message.kind = mesh_kind::hello;
    message.round = belief.Ended().Digest();
    const std::string_view datagram = encoder.Encode(message);
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        socket.Send({seed.address, settings.peer_port}, datagram);
      }
    }
    socket.Flush();
    const bool knows = belief.KnowsAllHolders(ClockWithSleep());
    loop.After(
        members.Count() == 0 || !knows ? kFirstHelloPeriod : kHelloPeriod,
        [this] { SayHello(); });
  }

  void OnDatagram(const received_datagram& item) {
    const auto message = DecodeMesh(item.bytes);
    const time_point now = ClockWithSleep();
    if (message && message->kind == mesh_kind::present &&
        item.from.port == settings.delivery_port) {
      OnPresent(now, item.from, {item.from.address, message->service},
                message->absent);
      return;
    }
    if (!message || item.from.port != settings.peer_port) {
      counted.Add(result_code::malformed);
      return;
    }
    members.OnHeard(now, item.from.address);
    schedule.SetPeers(members.Count());
    switch (message->kind) {
      case mesh_kind::hello:
        OnHello(item.from, message->round);
        return;
      case mesh_kind::members:
        OnMembers(now, *message);
        return;
      case mesh_kind::ended_elsewhere:
        PassOn(*message, message->members);
        OnEnded(now, message->ended, "peer");
        return;
      case mesh_kind::belief:
        if (woke_at == time_point{} || now - woke_at > kStaleAfterWake) {
          OnBelief(now, item.from, *message);
        }
        return;
      default:
        counted.Add(result_code::unexpected_kind);
    }
  }

  // Seeds hear from agents whose targets no list may show.
  void OnPresent(time_point now,
                 const endpoint& from,
                 const present_agent& agent,
                 bool absent) {
    const bool listed = std::any_of(
        belief.Targets().begin(), belief.Targets().end(),
        [&](const auto& entry) {
          const fleet_target& item = entry.second;
          return item.address.address == agent.machine &&
                 item.service == agent.service && item.TakesFlows(now);
        });
    roster.OnPresent(now, agent, listed);
    if (listed) {
      mesh_message reply;
      reply.kind = mesh_kind::listed;
      socket.Send(from, encoder.Encode(reply));
      return;
    }
    belief.TakePresent(now, agent);
    const auto fact =
        absent ? belief.TakeAbsence(now, agent.machine) : std::nullopt;
    if (fact) {
      LogEnded({*fact}, "agent");
      Publish(now);
      TellEnded(*fact);
    }
  }

  // Agents that are taken away with their targets come at about one time.
  void TellEnded(const ended_target& fact) {
    ended_to_tell.push_back(fact);
    if (ended_to_tell.size() > 1) {
      return;
    }
    loop.After(kGatherEnded, [this] {
      mesh_message message;
      message.kind = mesh_kind::ended_elsewhere;
      message.ended = std::exchange(ended_to_tell, {});
      PassOn(message, members.All());
    });
  }

  // Sends a message to some entries, which pass it on to the others.
  void PassOn(mesh_message message,
              const std::vector<member_address>& receivers) {
    for (relay_branch& branch : SplitReceivers(receivers)) {
      message.members = std::move(branch.rest);
      socket.Send({branch.head, settings.peer_port}, encoder.Encode(message));
    }
    socket.Flush();
  }

  void OnEnded(time_point now,
               const std::vector<ended_target>& ended,
               const std::string& from) {
    const std::vector<ended_target> news = belief.TakeEnded(now, ended);
    if (!news.empty()) {
      LogEnded(news, from);
      Publish(now);
    }
  }

  void LogEnded(const std::vector<ended_target>& news,
                const std::string& from) {
    for (const ended_target& fact : news) {
      LogEvent(log_level::info, "target_ended",
               {{"machine", FormatEndpoint({fact.machine, 0})},
                {"revision", std::to_string(fact.revision)},
                {"source", from}});
    }
  }

  void OnMembers(time_point now, const mesh_message& message) {
    for (const std::uint32_t member : message.members) {
      if (member != settings.address) {
        members.OnNamed(now, member);
      }
    }
    for (const present_agent& agent : message.unlisted) {
      belief.TakePresent(now, agent);
    }
    OnEnded(now, message.ended, "seed");
    if (message.settled) {
      if (!belief.KnowsAllHolders(now)) {
        LogEvent(log_level::info, "holders_known", {{"source", "seed"}});
      }
      belief.OnAgentsKnown(now);
      Publish(now);
    }
  }

  bool HasSettled(time_point now) const {
    const bool is_seed = std::any_of(
        settings.seeds.begin(), settings.seeds.end(),
        [&](const endpoint& seed) { return seed.address == settings.address; });
    return is_seed && roster.HasSettled(now, belief);
  }

  void OnHello(const endpoint& from, std::uint32_t digest) {
    mesh_message reply;
    reply.kind = mesh_kind::members;
    reply.settled = HasSettled(ClockWithSleep());
    reply.unlisted = roster.Unlisted();
    if (digest != belief.Ended().Digest()) {
      reply.ended = belief.Ended().All();
      reply.ended.resize(std::min(reply.ended.size(), kMaxToldEnded));
    }
    reply.members =
        members.Heard(ClockWithSleep(), from.address, kMaxToldMembers);
    socket.Send(from, encoder.Encode(reply));
  }

  void OnBelief(time_point now,
                const endpoint& from,
                const mesh_message& message) {
    auto update = DecodeBelief(message.payload, now);
    if (!update) {
      counted.Add(result_code::malformed);
      return;
    }
    const bool relayed = update->reader != from.address;
    if (relayed) {
      update->age += kRelayMargin;
    }
    Spread(now, *update, message.members);
    gap_seen =
        belief.Revision() != 0 && update->base_revision > belief.Revision();
    const bool fits = belief.Revision() != 0 &&
                      belief.TakeUpdate(now, *update) == update_fit::taken;
    if (!fits || !HasVersion(update->configuration_version)) {
      FetchSoon(from.address, update->configuration_version, relayed);
    }
    if (fits) {
      schedule.OnPeerRead(now, update->reader, update->age);
      Publish(now);
    }
  }

  // The relay of an update fetches at the same time, from the reader.
  void FetchSoon(std::uint32_t peer, std::uint64_t version, bool relayed) {
    if (!relayed) {
      Fetch(peer);
    } else if (!fetch_planned) {
      fetch_planned = true;
      loop.After(kRelayFetchDelay, [this, peer, version] {
        fetch_planned = false;
        if (!HasVersion(version) || belief.Revision() == 0 || gap_seen) {
          Fetch(peer);
        }
      });
    }
  }

  bool HasVersion(std::uint64_t version) const {
    return version == 0 || (belief.Configuration() != nullptr &&
                            belief.Configuration()->version >= version);
  }

  void FetchFromAny() {
    std::vector<std::uint32_t> known;
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        known.push_back(seed.address);
      }
    }
    for (const member_address member : members.All()) {
      known.push_back(member);
    }
    if (!known.empty()) {
      Fetch(known[fetches++ % known.size()]);
    }
  }

  // A peer's whole belief, over TCP since a configuration may be large.
  void Fetch(std::uint32_t peer) {
    if (fetching) {
      return;
    }
    fetching = true;
    auto& client = clients[peer];
    if (client == nullptr) {
      client = std::make_unique<http_client>(
          loop, endpoint{peer, settings.belief.port});
    }
    client_request request;
    request.target = "/belief";
    request.timeout = kFetchTimeout;
    const time_point began = ClockWithSleep();
    client->Send(request, [this, began](const client_result& result) {
      fetching = false;
      OnFetched(began, result);
    });
  }

  void OnFetched(time_point began, const client_result& result) {
    const time_point now = ClockWithSleep();
    auto update =
        result.status == client_status::completed && result.code == 200
            ? DecodeBelief(result.body, now)
            : std::nullopt;
    if (!update) {
      counted.Add(result_code::read_failed);
      return;
    }
    // The peer told its age when it answered, at the latest now.
    update->age += std::chrono::duration_cast<milliseconds>(now - began);
    belief.TakeUpdate(now, *update);
    TakeConfiguration(source.ParseConfiguration(update->configuration,
                                                update->configuration_revision),
                      "peer");
    Publish(now);
  }

  void OnHttp(const http_request& request, http_responder& responder) {
    http_response response;
    if (request.path != "/belief") {
      response.status = 404;
    } else if (!IsReady()) {
      response.status = 503;
    } else {
      belief_update update = belief.UpdateSince(ClockWithSleep(), 0);
      update.configuration = belief.Configuration()->source;
      response.content_type = "application/octet-stream";
      response.body = EncodeBelief(update, ClockWithSleep());
    }
    responder.Respond(std::move(response));
  }

  event_loop& loop;
  packet_settings settings;
  fleet_source& source;
  counters& counted;
  view_callback on_view;
  fleet_belief belief;
  reader_schedule schedule;
  udp_socket socket;
  http_server server;
  mesh_encoder encoder;
  fleet_members members;
  std::unordered_map<std::uint32_t, std::unique_ptr<http_client>> clients;
  agent_roster roster;
  std::vector<ended_target> ended_to_tell;
  time_point ticked_at{};
  time_point woke_at{};
  time_point expired_at{};
  std::size_t fetches = 0;
  bool fetching = false;
  bool fetch_planned = false;
  /// Rows were missing before the latest update.
  bool gap_seen = false;
  bool list_needed = false;
  bool reading_all = false;
  bool source_failing = false;
  bool logged_reader = false;
};

belief_keeper::belief_keeper(event_loop& loop,
                             const packet_settings& settings,
                             fleet_source& source,
                             counters& counters,
                             view_callback on_view)
    : state_(std::make_unique<state>(loop,
                                     settings,
                                     source,
                                     counters,
                                     std::move(on_view))) {}

belief_keeper::~belief_keeper() = default;

void belief_keeper::Start() {
  state_->Start();
}

void belief_keeper::SetSeeds(const std::vector<endpoint>& seeds) {
  state_->settings.seeds = seeds;
}

void belief_keeper::WantConfirmation() {
  state_->schedule.OnConfirmationWanted(ClockWithSleep());
  state_->ReadIfDue();
}

bool belief_keeper::IsReady() const {
  return state_->IsReady();
}

}  // namespace corianderplank
