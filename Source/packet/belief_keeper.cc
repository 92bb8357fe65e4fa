#include "packet/belief_keeper.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/agent_registry.h"
#include "core/fleet_belief.h"
#include "core/fleet_members.h"
#include "core/reader_schedule.h"
#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "packet/belief_fetcher.h"
#include "packet/belief_log.h"
#include "packet/peer_messenger.h"
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
/// Agents without a listed target that fit a datagram. Where there are more, it
/// is not said that all are known: lists show them within seconds.
constexpr std::size_t kMaxToldAgents = 72;
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
        peers(loop, {settings.address, settings.peer_port}, counted),
        fetcher(loop,
                settings.belief.port,
                counted,
                [this](const belief_update& update) { OnFetched(update); }),
        server(loop,
               settings.belief,
               [this](const http_request& request, auto responder) {
                 OnHttp(request, *responder);
               }) {}

  void Start() {
    ticked_at = ClockWithSleep();
    roster.Start(ticked_at);
    peers.Receive([this](const received_datagram& item) { OnDatagram(item); });
    Tick();
    SayHello();
  }

  void Tick() {
    const time_point now = ClockWithSleep();
    if (now - ticked_at > kAsleepAfter) {
      LogEvent(log_level::warning, "slept",
               {{"ms", std::to_string((now - ticked_at) / 1ms)}});
      woke_at = now;
      roster.OnResume(now);
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
    TakeEarlyAbsences(now);
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
    LogConfiguration(*configuration, from);
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
    LogTargetChanges(now, belief);
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
      peers.Spread(now, part, receivers);
    }
  }

  // Agents refuse new flows while their targets leave, whatever other entries
  // believe, and tell the seeds that they still run.
  void TellLeaving(time_point now) {
    if (!schedule.IsReader()) {
      return;
    }
    mesh_message message;
    message.kind = mesh_kind::drain;
    for (const auto& [id, item] : belief.Targets()) {
      if (!item.TakesFlows(now) && !IsListedAgain(item)) {
        peers.Send({item.address.address, settings.delivery_port}, message);
      }
    }
    peers.Flush();
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
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        peers.Send({seed.address, settings.peer_port}, message);
      }
    }
    peers.Flush();
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
        peers.PassOn(*message, message->members);
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
      peers.Send(from, reply);
      return;
    }
    belief.TakePresent(now, agent);
    const auto fact =
        absent ? belief.TakeAbsence(now, agent.machine) : std::nullopt;
    if (fact) {
      LogEndedTargets({*fact}, "agent");
      Publish(now);
      TellEnded(*fact);
    }
  }

  void TakeEarlyAbsences(time_point now) {
    for (const ended_target& fact : belief.TakeEarlyAbsences(now)) {
      LogEndedTargets({fact}, "agent");
      TellEnded(fact);
    }
  }

  // Agents that are taken away with their targets come at about one time.
  void TellEnded(const ended_target& fact) {
    ended_to_tell.push_back(fact);
    if (ended_to_tell.size() > 1) {
      return;
    }
    loop.After(kGatherEnded, [this] {
      const std::vector<member_address> receivers = members.All();
      const std::vector<ended_target> facts = std::exchange(ended_to_tell, {});
      for (std::size_t at = 0; at < facts.size(); at += kMaxToldEnded) {
        const std::size_t end = std::min(facts.size(), at + kMaxToldEnded);
        mesh_message message;
        message.kind = mesh_kind::ended_elsewhere;
        message.ended.assign(facts.begin() + static_cast<std::ptrdiff_t>(at),
                             facts.begin() + static_cast<std::ptrdiff_t>(end));
        peers.PassOn(std::move(message), receivers);
      }
    });
  }

  void OnEnded(time_point now,
               const std::vector<ended_target>& ended,
               const std::string& from) {
    const std::vector<ended_target> news = belief.TakeEnded(now, ended);
    if (!news.empty()) {
      LogEndedTargets(news, from);
      Publish(now);
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

  // Two datagrams, since either may be nearly full.
  void OnHello(const endpoint& from, std::uint32_t digest) {
    const time_point now = ClockWithSleep();
    mesh_message agents;
    agents.kind = mesh_kind::members;
    agents.unlisted = roster.Unlisted();
    agents.settled =
        HasSettled(now) && agents.unlisted.size() <= kMaxToldAgents;
    agents.unlisted.resize(std::min(agents.unlisted.size(), kMaxToldAgents));
    peers.Send(from, agents);
    mesh_message others;
    others.kind = mesh_kind::members;
    if (digest != belief.Ended().Digest()) {
      others.ended = belief.Ended().All();
      others.ended.resize(std::min(others.ended.size(), kMaxToldEnded));
    }
    others.members = members.Heard(now, from.address, kMaxToldMembers);
    if (!others.members.empty() || !others.ended.empty()) {
      peers.Send(from, others);
    }
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
    peers.Spread(now, *update, message.members);
    gap_seen =
        belief.Revision() != 0 && update->base_revision > belief.Revision();
    const bool fits = belief.Revision() != 0 &&
                      belief.TakeUpdate(now, *update) == update_fit::taken;
    if (!fits || !HasVersion(update->configuration_version)) {
      const std::uint64_t version = update->configuration_version;
      if (relayed) {
        fetcher.FetchFromRelay(from.address, [this, version] {
          return !HasVersion(version) || belief.Revision() == 0 || gap_seen;
        });
      } else {
        fetcher.Fetch(from.address);
      }
    }
    if (fits) {
      schedule.OnPeerRead(now, update->reader, update->age);
      Publish(now);
    }
  }

  bool HasVersion(std::uint64_t version) const {
    return version == 0 || (belief.Configuration() != nullptr &&
                            belief.Configuration()->version >= version);
  }

  void FetchFromAny() {
    std::vector<member_address> known;
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        known.push_back(seed.address);
      }
    }
    for (const member_address member : members.All()) {
      known.push_back(member);
    }
    fetcher.FetchFromAny(known);
  }

  void OnFetched(const belief_update& update) {
    const time_point now = ClockWithSleep();
    belief.TakeUpdate(now, update);
    TakeEarlyAbsences(now);
    TakeConfiguration(source.ParseConfiguration(update.configuration,
                                                update.configuration_revision),
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
  peer_messenger peers;
  belief_fetcher fetcher;
  http_server server;
  fleet_members members;
  agent_registry roster;
  std::vector<ended_target> ended_to_tell;
  time_point ticked_at{};
  time_point woke_at{};
  time_point expired_at{};
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
