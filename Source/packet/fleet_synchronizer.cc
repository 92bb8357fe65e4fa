#include "packet/fleet_synchronizer.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "core/agent_registry.h"
#include "core/entry_membership.h"
#include "core/fleet_state.h"
#include "core/flow_handover.h"
#include "core/reader_schedule.h"
#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "packet/fleet_state_log.h"
#include "packet/fleet_update_fetcher.h"
#include "packet/peer_messenger.h"
#include "product/log.h"
#include "wire/mesh_codec.h"
#include "wire/text_compression.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Period of checking whether a read is due: a fourteenth of the reader's read
/// interval of 700 ms.
constexpr milliseconds kSchedulePollPeriod = 50ms;
/// Period of the hello messages that announce this entry to the seeds: two fit
/// into the timeout after which a member expires.
constexpr milliseconds kHelloPeriod = 2000ms;
/// Period of the hello messages while no other entry is known or not all flow
/// holders are known.
constexpr milliseconds kInitialHelloPeriod = 50ms;
/// Agents without a listed target that fit a datagram. If there are more, the
/// message does not mark the set as settled; target lists contain the rest
/// within seconds.
constexpr std::size_t kMaxAgentsPerDatagram = 72;
/// Member addresses that fit a datagram at the usual MTU.
constexpr std::size_t kMaxMembersPerDatagram = 200;
/// Ended targets of 16 bytes each that fit into the same datagram. A reply to a
/// hello omits further ones, which are transferred with a full fleet update; a
/// broadcast of ended targets sends them in further datagrams.
constexpr std::size_t kMaxEndedPerDatagram = 32;
/// Delay that collects ended targets into one message: a round trip.
constexpr milliseconds kEndedBatchDelay = 5ms;
/// Target rows that fit a datagram at the usual MTU.
constexpr std::size_t kMaxRowsPerDatagram = 12;
/// Maximum number of datagrams per read; entries that need more rows fetch the
/// full state.
constexpr std::size_t kMaxDatagramsPerRead = 16;
/// Added to the age of a relayed update to cover its transit to the relay: a
/// few one-way delays between failure domains.
constexpr milliseconds kRelayDelayAllowance = 10ms;
/// Smaller configurations take a few packets and are sent as they are.
constexpr std::size_t kMinCompressedBytes = 16384;
/// Unusable entries that are logged one line each for a read.
constexpr std::size_t kMaxLoggedEntries = 4;
/// A longer gap between two ticks means that the process was suspended.
constexpr milliseconds kSuspendThreshold = 1000ms;
/// Fleet updates are dropped for this long after the process has resumed, since
/// they may have waited in the socket while it was suspended.
constexpr milliseconds kStaleDatagramPeriod = 200ms;

/// Histories of entries that started together differ by less.
constexpr milliseconds kHistoryTolerance = 1000ms;
/// An entry that has said that its history is longer is waited for as long as
/// it says so again within this time.
constexpr milliseconds kLongerHistoryTimeout = 5000ms;
/// Time that the first read of the source takes as a rule. Afterwards the state
/// is fetched from a peer.
constexpr milliseconds kFirstReadTime = 300ms;
/// Period of fetching from an entry with a longer history.
constexpr milliseconds kHistoryFetchPeriod = 300ms;

}  // namespace

struct fleet_synchronizer::state {
  state(event_loop& loop,
        const packet_settings& settings,
        fleet_source& source,
        counters& result_counters,
        snapshot_callback on_snapshot)
      : loop(loop),
        settings(settings),
        source(source),
        result_counters(result_counters),
        on_snapshot(std::move(on_snapshot)),
        fleet({.longest_flow = settings.longest_flow}, settings.first_start),
        schedule(settings.address, reader_periods()),
        peers(loop, {settings.address, settings.peer_port}, result_counters),
        fetcher(loop,
                settings.fleet_state_endpoint.port,
                result_counters,
                [this](const fleet_update& update) { OnFetched(update); }),
        server(loop,
               settings.fleet_state_endpoint,
               [this](const http_request& request, auto responder) {
                 OnHttp(request, *responder);
               }) {}

  void Start() {
    started_at = ClockWithSleep();
    last_tick_at = started_at;
    registry.Start(last_tick_at);
    peers.Receive(
        [this](const received_datagram& datagram) { OnDatagram(datagram); });
    Tick();
    SendHello();
  }

  void Tick() {
    const time_point now = ClockWithSleep();
    if (now - last_tick_at > kSuspendThreshold) {
      LogEvent(log_level::warning, "slept",
               {{"ms", std::to_string((now - last_tick_at) / 1ms)}});
      resumed_at = now;
      registry.OnResume(now);
      schedule.OnConfirmationRequested(now);
    }
    last_tick_at = now;
    ReadIfDue();
    if (now - last_expiry_at > 1s) {
      last_expiry_at = now;
      fleet.Expire(now);
      members.Expire(now);
      registry.Expire(now);
      handovers.Expire(now);
      SendDrainNotices(now);
      SendEvacuationNotices();
      if (AllAgentsReported(now)) {
        fleet.OnAgentsKnown(now);
      }
    }
    loop.After(kSchedulePollPeriod, [this] { Tick(); });
  }

  void ReadIfDue() {
    const time_point now = ClockWithSleep();
    if (schedule.IsDue(now)) {
      Read(now);
    }
  }

  void Read(time_point started_at) {
    schedule.OnReadBegin(started_at);
    const bool is_full = !fleet.Revision().IsSet() || full_read_needed ||
                         fleet.NeedsList(started_at);
    const source_revision base = is_full ? source_revision() : fleet.Revision();
    const auto on_read = [this, started_at,
                          base](const fleet_read_result& read) {
      OnRead(started_at, base, read);
    };
    if (is_full) {
      source.ReadAll(on_read);
    } else {
      source.ReadChanges(base, on_read);
    }
  }

  // `base` is the revision from which the read started; 0 for a full one.
  void OnRead(time_point started_at,
              const source_revision& base,
              const fleet_read_result& read) {
    const time_point now = ClockWithSleep();
    const bool too_large = read.status == read_status::too_large;
    // A list that is too large cannot be read in another way.
    if (read.status == read_status::history_lost ||
        (too_large && base.IsSet())) {
      result_counters.Add(too_large ? result_code::changes_too_large
                                    : result_code::history_lost);
      LogEvent(log_level::warning,
               too_large ? "changes_too_large" : "history_lost",
               {{"revision", FormatRevision(fleet.Revision())}});
      full_read_needed = true;
      Read(now);
      return;
    }
    if (read.status != read_status::complete) {
      OnReadFailed(now, read.status);
      return;
    }
    switch (fleet.Relate(base, read.revision)) {
      case read_relation::current:
        break;
      case read_relation::other_history:
        full_read_needed = true;
        Read(now);
        return;
      case read_relation::outdated:
        result_counters.Add(result_code::outdated_read);
        LogEvent(log_level::warning, "outdated_read",
                 {{"revision", FormatRevision(read.revision)},
                  {"state_revision", FormatRevision(fleet.Revision())}});
        OnReadFailed(now, read_status::refused);
        return;
    }
    if (source_failing) {
      source_failing = false;
      LogEvent(log_level::info, "platform_regained",
               {{"revision", FormatRevision(read.revision)}});
    }
    ReportUnusableEntries(read.unusable_entries);
    const source_revision previous = fleet.Revision();
    // Changes since a lost history, or in rows that were ignored for being
    // older, have no base: the others need the complete state.
    const bool needs_complete_update =
        read.revision.epoch > previous.epoch || fleet.NeedsList(started_at);
    if (!base.IsSet()) {
      full_read_needed = false;
      fleet.ApplyList(now, started_at, read.revision, read.targets,
                      read.evacuations);
    } else {
      fleet.ApplyChanges(now, started_at, read.revision, read.targets,
                         read.evacuations);
    }
    LogRestoration(previous);
    OnEvacuationsChanged(now, "platform");
    InstallConfiguration(read.configuration, "platform");
    schedule.OnReadEnd(now, true);
    ProcessEarlyAbsences(now);
    Publish(now);
    Broadcast(now, needs_complete_update ? source_revision() : previous);
  }

  void ReportUnusableEntries(const std::vector<unusable_entry>& entries) {
    result_counters.Add(result_code::unreadable_entry, entries.size());
    const std::size_t logged = std::min(entries.size(), kMaxLoggedEntries);
    for (std::size_t index = 0; index < logged; ++index) {
      LogEvent(log_level::warning, "entry_unusable",
               {{"key", entries[index].key}, {"error", entries[index].error}});
    }
  }

  void LogRestoration(const source_revision& previous) {
    const source_revision& current = fleet.Revision();
    if (previous.IsSet() && current.epoch > previous.epoch) {
      result_counters.Add(result_code::source_restored);
      LogEvent(log_level::warning, "source_restored",
               {{"revision", FormatRevision(current)},
                {"state_revision", FormatRevision(previous)}});
    }
  }

  void OnReadFailed(time_point now, read_status status) {
    result_counters.Add(result_code::read_failed);
    if (!source_failing) {
      source_failing = true;
      LogEvent(log_level::warning, "platform_lost",
               {{"reason", status == read_status::unreachable ? "unreachable"
                                                              : "refused"}});
    }
    schedule.OnReadEnd(now, false);
    if (!fleet.Revision().IsSet()) {
      FetchFromNextPeer();
    }
  }

  void InstallConfiguration(
      const std::shared_ptr<const fleet_configuration>& configuration,
      const std::string& origin) {
    if (!fleet.ApplyConfiguration(configuration)) {
      return;
    }
    LogConfiguration(*configuration, origin);
  }

  void LogReader() {
    if (schedule.IsReader() != logged_as_reader) {
      logged_as_reader = schedule.IsReader();
      LogEvent(log_level::info,
               logged_as_reader ? "reads_for_all" : "hears_from_reader",
               {{"members", std::to_string(members.Count())},
                {"revision", FormatRevision(fleet.Revision())},
                {"version", std::to_string(fleet.ConfigurationVersion())}});
    }
  }

  void Publish(time_point now) {
    LogTargetChanges(now, fleet);
    LogReader();
    if (!IsReady()) {
      return;
    }
    auto snapshot = std::make_shared<fleet_snapshot>(*fleet.Snapshot(now));
    snapshot->entries = static_cast<std::uint32_t>(members.Count()) + 1;
    on_snapshot(std::move(snapshot));
  }

  bool IsReady() const {
    return fleet.Configuration() != nullptr && fleet.Revision().IsSet();
  }

  // Sends the changes of this entry's read to all other entries.
  void Broadcast(time_point now, const source_revision& base) {
    fleet_update update = fleet.UpdateSince(now, base);
    update.reader = settings.address;
    const std::vector<member_address> receivers = members.All();
    if (update.targets.size() >
        (base.IsSet() ? kMaxRowsPerDatagram * kMaxDatagramsPerRead
                      : kMaxRowsPerDatagram)) {
      // Receivers that lack rows fetch them. A full list must not be split,
      // since targets that are missing from it count as removed.
      update.targets.clear();
      update.base_revision = update.revision;
    }
    for (const fleet_update& part :
         SplitUpdate(std::move(update), kMaxRowsPerDatagram)) {
      peers.BroadcastUpdate(now, part, receivers);
    }
  }

  // Makes the agents of draining and removed targets refuse new flows, even if
  // other entries have an older fleet state, and report to the seeds again.
  void SendDrainNotices(time_point now) {
    if (!schedule.IsReader()) {
      return;
    }
    mesh_message message;
    message.kind = mesh_kind::drain;
    for (const auto& [id, target] : fleet.Targets()) {
      if (!target.AcceptsNewFlows(now) &&
          !fleet.HasListedTarget(target.address.address, id)) {
        peers.Send({target.address.address, settings.delivery_port}, message);
      }
    }
    peers.Flush();
  }

  // Agents are the last check before their targets: they refuse new flows even
  // from entries that have missed the evacuation, and learn of its end.
  void OnEvacuationsChanged(time_point now, const std::string& origin) {
    const std::vector<domain_evacuation> changes = fleet.CollectEvacuations();
    for (const domain_evacuation& row : changes) {
      result_counters.Add(row.evacuated ? result_code::evacuation_began
                                        : result_code::evacuation_ended);
      LogEvacuation(
          row, settings.failure_domain, origin,
          std::chrono::duration_cast<milliseconds>(now - fleet.ConfirmedAt()));
      if (schedule.IsReader()) {
        SendEvacuationNotice(row);
      }
    }
    if (!changes.empty()) {
      // Also if the rest of a peer's update has to be fetched first.
      Publish(now);
      peers.Flush();
    }
  }

  void SendEvacuationNotice(const domain_evacuation& row) {
    for (const auto& [id, target] : fleet.Targets()) {
      if (target.failure_domain == row.failure_domain && !target.removed) {
        peers.Send({target.address.address, settings.delivery_port},
                   EvacuationMessage(row));
      }
    }
  }

  // Repeats the evacuations in force to their agents.
  void SendEvacuationNotices() {
    if (!schedule.IsReader()) {
      return;
    }
    for (const domain_evacuation& row : fleet.Evacuations().Since({})) {
      if (row.evacuated) {
        SendEvacuationNotice(row);
      }
    }
    peers.Flush();
  }

  static mesh_message EvacuationMessage(const domain_evacuation& row) {
    mesh_message message;
    message.kind = mesh_kind::evacuation;
    message.evacuation = row;
    return message;
  }

  void SendHello() {
    mesh_message message;
    message.kind = mesh_kind::hello;
    // In a hello, `round` is the digest of the known ended targets.
    message.round = fleet.EndedTargets().Digest();
    message.known_for = fleet.HistoryLength(ClockWithSleep());
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        peers.Send({seed.address, settings.peer_port}, message);
      }
    }
    peers.Flush();
    const bool holders_known = fleet.KnowsAllHolders(ClockWithSleep());
    loop.After(members.Count() == 0 || !holders_known ? kInitialHelloPeriod
                                                      : kHelloPeriod,
               [this] { SendHello(); });
  }

  void OnDatagram(const received_datagram& datagram) {
    const auto message = DecodeMesh(datagram.bytes);
    const time_point now = ClockWithSleep();
    if (message && message->kind == mesh_kind::present &&
        datagram.from.port == settings.delivery_port) {
      OnPresent(now, datagram.from, {datagram.from.address, message->service},
                message->absent);
      return;
    }
    if (message && datagram.from.port == settings.delivery_port &&
        (message->kind == mesh_kind::flow_handover ||
         message->kind == mesh_kind::handover_request)) {
      OnHandoverMessage(now, datagram.from, *message);
      return;
    }
    if (!message || datagram.from.port != settings.peer_port) {
      result_counters.Add(result_code::malformed_message);
      return;
    }
    members.OnMessageFrom(now, datagram.from.address);
    schedule.SetPeers(members.Count());
    switch (message->kind) {
      case mesh_kind::hello:
        OnPeerHistory(now, datagram.from.address, message->known_for);
        OnHello(datagram.from, message->round);
        return;
      case mesh_kind::members:
        OnPeerHistory(now, datagram.from.address, message->known_for);
        OnMembers(now, *message);
        return;
      case mesh_kind::ended_target_list:
        // `members` holds the entries that this relay forwards to.
        peers.SendThroughRelays(*message, message->members);
        OnEnded(now, message->ended, "peer");
        return;
      case mesh_kind::flow_handover:
        // Another seed is about to stop; `members` has the agent's machine.
        if (message->members.size() == 1) {
          handovers.Add(now, message->members.front(), *message);
        }
        return;
      case mesh_kind::fleet_update:
        if (resumed_at == time_point{} ||
            now - resumed_at > kStaleDatagramPeriod) {
          OnPeerUpdate(now, datagram.from, *message);
        }
        return;
      default:
        result_counters.Add(result_code::unexpected_kind);
    }
  }

  // Handles an agent's report to this seed. Agents send it while their targets
  // may be missing from the target list.
  void OnPresent(time_point now,
                 const endpoint& sender,
                 const present_agent& agent,
                 bool absent) {
    // The agent may have been started again and know nothing yet.
    for (const domain_evacuation& row : fleet.Evacuations().Since({})) {
      peers.Send(sender, EvacuationMessage(row));
    }
    // Whether the target is listed and accepts new flows.
    const bool listed = std::any_of(
        fleet.Targets().begin(), fleet.Targets().end(), [&](const auto& entry) {
          const fleet_target& target = entry.second;
          return target.address.address == agent.machine &&
                 target.service == agent.service && target.AcceptsNewFlows(now);
        });
    registry.OnPresent(now, agent, listed);
    if (listed) {
      mesh_message reply;
      reply.kind = mesh_kind::listed;
      peers.Send(sender, reply);
      return;
    }
    fleet.RecordUnlistedAgent(now, agent);
    const auto ended =
        absent ? fleet.RecordTargetAbsence(now, agent.machine) : std::nullopt;
    if (ended) {
      LogEndedTargets({*ended}, "agent");
      Publish(now);
      BroadcastEnded(*ended);
    }
  }

  // Keeps the flows of an agent that ends as planned, and gives them to the
  // agent that is started in its place.
  void OnHandoverMessage(time_point now,
                         const endpoint& agent,
                         const mesh_message& message) {
    if (message.kind == mesh_kind::flow_handover) {
      handovers.Add(now, agent.address, message);
      return;
    }
    std::vector<mesh_message> parts =
        handovers.PartsFor(now, agent.address, message.sender_started_ms);
    if (parts.empty()) {
      mesh_message none;
      none.kind = mesh_kind::flow_handover;
      none.service = message.service;
      parts.push_back(none);
    }
    for (const mesh_message& part : parts) {
      peers.Send(agent, part);
    }
  }

  void PassOnHandovers() {
    for (const mesh_message& part : handovers.Unclaimed(ClockWithSleep())) {
      for (const endpoint& seed : settings.seeds) {
        if (seed.address != settings.address) {
          peers.Send({seed.address, settings.peer_port}, part);
        }
      }
    }
    peers.Flush();
  }

  void ProcessEarlyAbsences(time_point now) {
    for (const ended_target& ended : fleet.ApplyEarlyAbsences(now)) {
      LogEndedTargets({ended}, "agent");
      BroadcastEnded(ended);
    }
  }

  // Agents that are removed together with their targets report at about the
  // same time, so their reports are collected into few messages.
  void BroadcastEnded(const ended_target& ended) {
    pending_ended.push_back(ended);
    if (pending_ended.size() > 1) {
      return;
    }
    loop.After(kEndedBatchDelay, [this] {
      const std::vector<member_address> receivers = members.All();
      const std::vector<ended_target> batch = std::exchange(pending_ended, {});
      for (std::size_t begin = 0; begin < batch.size();
           begin += kMaxEndedPerDatagram) {
        const std::size_t end =
            std::min(batch.size(), begin + kMaxEndedPerDatagram);
        mesh_message message;
        message.kind = mesh_kind::ended_target_list;
        message.ended.assign(batch.begin() + static_cast<std::ptrdiff_t>(begin),
                             batch.begin() + static_cast<std::ptrdiff_t>(end));
        peers.SendThroughRelays(std::move(message), receivers);
      }
    });
  }

  void OnEnded(time_point now,
               const std::vector<ended_target>& ended,
               const std::string& origin) {
    const std::vector<ended_target> new_ended =
        fleet.RecordEndedTargets(now, ended);
    if (!new_ended.empty()) {
      LogEndedTargets(new_ended, origin);
      Publish(now);
    }
  }

  void OnMembers(time_point now, const mesh_message& message) {
    for (const std::uint32_t member : message.members) {
      if (member != settings.address) {
        members.OnReportedByPeer(now, member);
      }
    }
    for (const present_agent& agent : message.unlisted) {
      fleet.RecordUnlistedAgent(now, agent);
    }
    OnEnded(now, message.ended, "seed");
    if (message.all_agents_known && !LacksHistory(now)) {
      if (!fleet.KnowsAllHolders(now)) {
        LogEvent(log_level::info, "holders_known", {{"source", "seed"}});
      }
      fleet.OnAgentsKnown(now);
      Publish(now);
    }
  }

  bool AllAgentsReported(time_point now) const {
    const bool is_seed = std::any_of(
        settings.seeds.begin(), settings.seeds.end(),
        [&](const endpoint& seed) { return seed.address == settings.address; });
    return is_seed && !LacksHistory(now) && registry.HasSettled(now, fleet);
  }

  // Agents that have been listed report nothing for a while, so targets that
  // were removed shortly before this process started are known only to entries
  // that have been running for longer.
  void OnPeerHistory(time_point now,
                     member_address peer,
                     milliseconds history) {
    if (history <= fleet.HistoryLength(now) + kHistoryTolerance) {
      return;
    }
    longest_history_since = std::min(longest_history_since, now - history);
    longer_history_heard_at = now;
    const bool may_read_soon =
        !IsReady() && !source_failing && now - started_at < kFirstReadTime;
    if (now - history_fetched_at > kHistoryFetchPeriod && !may_read_soon) {
      history_fetched_at = now;
      fetcher.Fetch(peer, IsReady()
                              ? fleet_update_fetcher::fetched_part::targets
                              : fleet_update_fetcher::fetched_part::everything);
    }
  }

  // Whether a peer has a longer history that this entry has not taken over.
  bool LacksHistory(time_point now) const {
    if (longer_history_heard_at == time_point{} ||
        now - longer_history_heard_at > kLongerHistoryTimeout) {
      return false;
    }
    const time_point::duration longest = std::min<time_point::duration>(
        now - longest_history_since, settings.longest_flow);
    return longest > fleet.HistoryLength(now) + kHistoryTolerance;
  }

  // Replies with the unlisted agents, and in a second datagram, since either
  // may be nearly full, with members and ended targets if there are any to
  // send. The ended targets are sent only if the digests differ.
  void OnHello(const endpoint& sender, std::uint32_t digest) {
    const time_point now = ClockWithSleep();
    mesh_message agents_reply;
    agents_reply.kind = mesh_kind::members;
    agents_reply.known_for = fleet.HistoryLength(now);
    agents_reply.unlisted = registry.Unlisted();
    agents_reply.all_agents_known =
        AllAgentsReported(now) &&
        agents_reply.unlisted.size() <= kMaxAgentsPerDatagram;
    agents_reply.unlisted.resize(
        std::min(agents_reply.unlisted.size(), kMaxAgentsPerDatagram));
    peers.Send(sender, agents_reply);
    mesh_message membership_reply;
    membership_reply.kind = mesh_kind::members;
    if (digest != fleet.EndedTargets().Digest()) {
      membership_reply.ended = fleet.EndedTargets().All();
      membership_reply.ended.resize(
          std::min(membership_reply.ended.size(), kMaxEndedPerDatagram));
    }
    membership_reply.members =
        members.RecentSenders(now, sender.address, kMaxMembersPerDatagram);
    if (!membership_reply.members.empty() || !membership_reply.ended.empty()) {
      peers.Send(sender, membership_reply);
    }
  }

  void OnPeerUpdate(time_point now,
                    const endpoint& sender,
                    const mesh_message& message) {
    auto update = DecodeFleetUpdate(message.payload, now);
    if (!update) {
      result_counters.Add(result_code::malformed_message);
      return;
    }
    const bool relayed = update->reader != sender.address;
    if (relayed) {
      update->age += kRelayDelayAllowance;
    }
    // Forwards to the entries that the sender assigned to this relay.
    peers.BroadcastUpdate(now, *update, message.members);
    const source_revision previous = fleet.Revision();
    const bool has_list = previous.IsSet();
    const update_result result =
        has_list ? fleet.ApplyUpdate(now, *update) : update_result::gap;
    LogRestoration(previous);
    OnEvacuationsChanged(now, "peer");
    if (result == update_result::lacks_configuration) {
      LogEvent(
          log_level::info, "configuration_announced",
          {{"version", std::to_string(update->configuration_version)},
           {"version_in_force", std::to_string(fleet.ConfigurationVersion())},
           {"revision", FormatRevision(fleet.Revision())},
           {"reader", FormatEndpoint({update->reader, 0})}});
    }
    if (result == update_result::gap ||
        result == update_result::lacks_configuration) {
      if (relayed) {
        fetcher.FetchFromRelay(sender.address,
                               [this, revision = update->revision,
                                version = update->configuration_version] {
                                 return fleet.Revision() < revision ||
                                        fleet.ConfigurationVersion() < version;
                               });
      } else {
        fetcher.Fetch(sender.address);
      }
    }
    // While only the configuration is missing, the reader's read still counts:
    // the text arrives before this process would have to read itself.
    if (result == update_result::applied ||
        result == update_result::lacks_configuration) {
      schedule.OnPeerRead(now, update->reader, update->age);
      Publish(now);
    }
  }

  void FetchFromNextPeer() {
    std::vector<member_address> candidates;
    for (const endpoint& seed : settings.seeds) {
      if (seed.address != settings.address) {
        candidates.push_back(seed.address);
      }
    }
    for (const member_address member : members.All()) {
      candidates.push_back(member);
    }
    fetcher.FetchFromNextPeer(candidates);
  }

  void OnFetched(const fleet_update& update) {
    const time_point now = ClockWithSleep();
    const source_revision previous = fleet.Revision();
    if (!update.configuration.empty()) {
      InstallConfiguration(
          source.ParseConfiguration(update.configuration,
                                    update.configuration_revision),
          "peer");
    }
    if (!update.compressed_configuration.empty() &&
        update.configuration_version == fleet.ConfigurationVersion()) {
      // Spares this entry the compression when its peers ask in turn.
      compressed_text = update.compressed_configuration;
      compressed_version = update.configuration_version;
    }
    fleet.ApplyUpdate(now, update);
    LogRestoration(previous);
    OnEvacuationsChanged(now, "peer");
    ProcessEarlyAbsences(now);
    Publish(now);
  }

  void OnHttp(const http_request& request, http_responder& responder) {
    http_response response;
    if (request.path != "/belief") {
      response.status = 404;
    } else if (!IsReady()) {
      response.status = 503;
    } else {
      fleet_update update = fleet.UpdateSince(ClockWithSleep(), {});
      if (!request.query.contains("targets_only")) {
        update.configuration = fleet.Configuration()->source;
      }
      // Builds that know only the plain text do not ask.
      if (request.query.contains("compressed")) {
        update.compressed_configuration = CompressedConfiguration();
      }
      response.content_type = "application/octet-stream";
      response.body = EncodeFleetUpdate(update, ClockWithSleep());
    }
    responder.Respond(std::move(response));
  }

  // Returns the text of the current configuration, compressed; empty if it is
  // too small to be worth it.
  const std::string& CompressedConfiguration() {
    if (compressed_version != fleet.ConfigurationVersion()) {
      const std::string& text = fleet.Configuration()->source;
      compressed_text = text.size() < kMinCompressedBytes ? std::string()
                                                          : CompressText(text);
      compressed_version = fleet.ConfigurationVersion();
    }
    return compressed_text;
  }

  event_loop& loop;
  packet_settings settings;
  fleet_source& source;
  counters& result_counters;
  snapshot_callback on_snapshot;
  fleet_state fleet;
  reader_schedule schedule;
  peer_messenger peers;
  fleet_update_fetcher fetcher;
  http_server server;
  entry_membership members;
  agent_registry registry;
  handover_store handovers;
  std::vector<ended_target> pending_ended;
  /// Text of the configuration `compressed_version` as it is sent to peers.
  std::string compressed_text;
  std::uint64_t compressed_version = 0;
  time_point started_at{};
  time_point last_tick_at{};
  time_point resumed_at{};
  time_point last_expiry_at{};
  /// The next read must be a full one, since the source lost the history.
  bool full_read_needed = false;
  bool source_failing = false;
  /// Start of the longest history that a peer has told, and when one last did.
  time_point longest_history_since = time_point::max();
  time_point longer_history_heard_at{};
  time_point history_fetched_at{};
  /// Role that was logged last.
  bool logged_as_reader = false;
};

fleet_synchronizer::fleet_synchronizer(event_loop& loop,
                                       const packet_settings& settings,
                                       fleet_source& source,
                                       counters& counters,
                                       snapshot_callback on_snapshot)
    : state_(std::make_unique<state>(loop,
                                     settings,
                                     source,
                                     counters,
                                     std::move(on_snapshot))) {}

fleet_synchronizer::~fleet_synchronizer() = default;

void fleet_synchronizer::Start() {
  state_->Start();
}

void fleet_synchronizer::SetSeeds(const std::vector<endpoint>& seeds) {
  state_->settings.seeds = seeds;
}

void fleet_synchronizer::RequestConfirmation() {
  state_->schedule.OnConfirmationRequested(ClockWithSleep());
  state_->ReadIfDue();
}

void fleet_synchronizer::PassOn() {
  state_->PassOnHandovers();
}

bool fleet_synchronizer::IsReady() const {
  return state_->IsReady();
}

}  // namespace corianderplank
