/// @file
/// Entries, agents, targets and clients in virtual time, drawn from seeds:
/// rounds of restarts that overlap, evacuations, suspensions and losses, on
/// machines that answer late.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "core/flow_handover.h"
#include "packet_recorder.h"

namespace corianderplank {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

inline const time_point kStart = time_point() + 1h;
inline const service_id kService = ServiceIdOf("service");
inline const std::uint64_t kFailureDomain = HashName("zone");
inline const std::uint64_t kOtherFailureDomain = HashName("other zone");
inline const endpoint kAddress{200, 443};
inline constexpr std::uint32_t kTargets = 20;
inline constexpr std::uint32_t kEntries = 6;
inline constexpr std::uint32_t kClients = 60;
inline constexpr std::size_t kSeeds = 3;
inline constexpr std::uint32_t kFirstEntryAddress = 1000;
/// Machines that are restarted at the same time.
inline constexpr std::uint32_t kBatch = 3;
inline constexpr milliseconds kBatchInterval{1300};
inline constexpr milliseconds kRestartDelay{550};
/// An agent with open flows serves this long after the signal to stop.
inline constexpr milliseconds kStopDuration{4000};
inline constexpr milliseconds kHandoverRepeatDelay{100};
inline constexpr milliseconds kHandoverRequestPeriod{50};
inline constexpr milliseconds kHandoverTimeout{1000};
inline constexpr milliseconds kMaxSearchDelay{200};
/// Time after a suspension of a machine in which the flows through it do not
/// count.
inline constexpr milliseconds kStabilityTime{2000};
/// A flow is broken if this many packets reach other targets during this time
/// and none its own.
inline constexpr int kMaxMisdelivered = 3;
inline constexpr milliseconds kMaxMisdeliveredFor{2000};
/// Clients from this address on open a flow and leave it.
inline constexpr std::uint32_t kFirstVisitor = 20000;
inline constexpr milliseconds kVisitInterval{20};
/// Time after the request by which an evacuated domain gets no new flows.
inline constexpr milliseconds kEvacuationBound{5000};
inline constexpr milliseconds kEvacuationNoticePeriod{1000};
inline constexpr std::uint64_t kSearchBytesPerSecond = 312500;

/// Entries, agents, targets and clients with one open flow each.
class planned_work {
 public:
  /// @param two_domains whether every second target is in another failure
  ///     domain than the entries.
  planned_work(std::uint64_t seed, bool hands_over, bool two_domains = false)
      : random_(seed), hands_over_(hands_over), two_domains_(two_domains) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = 1;
    configuration->routes[kAddress].shares = {{kService, 1}};
    configuration->services = {kService};
    auto snapshot = std::make_shared<fleet_snapshot>();
    snapshot->configuration = configuration;
    snapshot->knows_all_holders = true;
    snapshot->confirmed_at = kStart + 1h;
    for (std::uint32_t machine = 1; machine <= kTargets; ++machine) {
      fleet_target item;
      item.id = {machine * 7919ULL};
      item.address = {machine, 8080};
      item.service = kService;
      item.failure_domain = DomainOf(machine);
      snapshot->targets.push_back(item);
    }
    snapshot_ = snapshot;
    for (std::uint32_t machine = 1; machine <= kTargets; ++machine) {
      StartAgent(machine, /*first=*/true);
    }
    for (std::uint32_t index = 0; index < kEntries; ++index) {
      StartEntry(index);
    }
    for (std::uint32_t client = 0; client < kClients; ++client) {
      After(milliseconds(Draw(1000)), [this, client] { Open(client); });
    }
    After(1ms, [this] { Tick(); });
    After(1000ms, [this] { ExpireAgents(); });
  }

  /// Restarts all agents in turn.
  void RestartAgents(milliseconds at) {
    for (std::uint32_t first = 0; first < kTargets; first += kBatch) {
      After(at + kBatchInterval * (first / kBatch), [this, first] {
        for (std::uint32_t index = first;
             index < std::min(kTargets, first + kBatch); ++index) {
          StopAgent(index + 1);
        }
      });
    }
  }

  /// Restarts all entries in turn.
  void RestartEntries(milliseconds at) {
    for (std::uint32_t first = 0; first < kEntries; first += 2) {
      After(at + kBatchInterval * (first / 2), [this, first] {
        for (std::uint32_t index = first; index < first + 2; ++index) {
          StopEntry(index);
          After(kRestartDelay, [this, index] { StartEntry(index); });
        }
      });
    }
  }

  /// Suspends an agent or entry; what arrives meanwhile is handled afterwards.
  void Freeze(milliseconds at, milliseconds duration) {
    After(at, [this, duration] {
      const bool is_agent = Draw(2) == 0;
      const std::uint32_t number =
          is_agent ? 1 + Draw(kTargets) : kFirstEntryAddress + Draw(kEntries);
      time_point& thaws_at = thaws_at_[number];
      thaws_at = std::max(thaws_at, now_ + duration);
    });
  }

  /// Evacuates a failure domain; new flows keep coming from now on.
  void Evacuate(milliseconds at,
                milliseconds duration,
                std::uint64_t failure_domain) {
    After(at, [this, failure_domain] {
      evacuated_at_[failure_domain] = now_;
      PublishEvacuation({failure_domain, true, ++revision_});
      NotifyAgents(failure_domain);
    });
    After(at + duration, [this, failure_domain] {
      evacuated_at_.erase(failure_domain);
      PublishEvacuation({failure_domain, false, ++revision_});
    });
  }

  /// @param delay time within which an entry knows of a change of the fleet; a
  ///     restarted one knows it at once.
  void SetReadDelay(milliseconds delay) {
    read_delay_ms_ = static_cast<std::uint32_t>(delay.count());
  }

  /// Clients open flows at targets and leave them.
  void StartVisits() { Visit(0); }

  /// @param permille share of the messages between processes that are lost.
  void LoseMessages(std::uint32_t permille) { loss_permille_ = permille; }

  void Run(milliseconds duration) {
    const time_point end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = end;
  }

  std::size_t BrokenFlows() const { return broken_.size(); }
  /// New flows that reached an evacuated domain after the bound.
  std::size_t LateOpenings() const { return late_openings_; }
  /// New flows that reached the other failure domain.
  std::size_t OtherDomainOpenings() const { return other_domain_openings_; }
  std::size_t Resets() const { return resets_; }
  /// New flows that got a reset although a failure domain was open.
  std::size_t RefusedVisits() const { return refused_visits_; }
  std::size_t OpenFlows() const { return holders_.size(); }
  /// The most packets of one open flow that reached other targets before one
  /// reached its own.
  int MostMisdelivered() const { return most_misdelivered_; }
  /// Restarted agents that found no handover, since all seeds were restarted
  /// at the same time.
  std::size_t MissingHandovers() const { return missing_handovers_; }

 private:
  struct event {
    time_point at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  struct entry_node : packet_entry_effects {
    entry_node(planned_work& world, std::uint32_t index)
        : world(world),
          index(index),
          core(kFailureDomain,
               world.format_,
               *this,
               world.counted_,
               {100000, kSearchBytesPerSecond}) {}
    void SendToAgent(machine_address machine,
                     const mesh_message& message) override {
      world.Send(message, [&world = world, machine,
                           index = index](const mesh_message& received) {
        world.DeliverToAgent(machine, index, received);
      });
    }
    void SendToClient(const endpoint& client,
                      std::string_view /*packet*/) override {
      ++(client.address < kFirstVisitor ? world.resets_
                                        : world.refused_visits_);
    }
    void RequestConfirmation() override {}
    void OnDecision(const flow_decision& /*decision*/) override {}

    planned_work& world;
    std::uint32_t index;
    packet_entry core;
  };

  struct agent_node : packet_agent_effects {
    agent_node(planned_work& world,
               machine_address machine,
               bool first,
               std::int64_t started_ms)
        : world(world),
          machine(machine),
          started_ms(started_ms),
          core(world.now_,
               {.service = kService,
                .first_start = first,
                .started_ms = started_ms,
                .failure_domain = world.DomainOf(machine)},
               world.format_,
               *this,
               world.counted_) {}
    void SendToTarget(std::string_view packet) override {
      world.After(1ms, [&world = world, machine = machine,
                        bytes = std::string(packet)] {
        world.DeliverToTarget(machine, bytes);
      });
    }
    void SendToClient(const endpoint& client,
                      std::string_view packet) override {
      world.After(world.Latency(),
                  [&world = world, client, bytes = std::string(packet)] {
                    world.DeliverToClient(client, bytes);
                  });
    }
    void SendToEntry(const endpoint& entry,
                     const mesh_message& message) override {
      world.Send(message, [&world = world, entry,
                           machine = machine](const mesh_message& received) {
        world.DeliverToEntry(entry, machine, received);
      });
    }
    void OnAnswered(milliseconds /*service_time*/) override {}

    planned_work& world;
    machine_address machine;
    std::int64_t started_ms;
    packet_agent core;
    handover_assembly handover;
    bool stopping = false;
  };

  struct misdelivery {
    time_point since;
    int count = 0;
  };

  void After(milliseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, next_event_++, std::move(action)});
  }
  std::uint32_t Draw(std::uint32_t limit) {
    return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
  }
  /// Most messages are quick; some wait for a machine that is busy.
  milliseconds Latency() {
    return milliseconds(Draw(10) == 0 ? 50 + Draw(400) : 1 + Draw(25));
  }

  std::uint64_t DomainOf(machine_address machine) const {
    return two_domains_ && machine % 2 == 0 ? kOtherFailureDomain
                                            : kFailureDomain;
  }

  void PublishEvacuation(const domain_evacuation& row) {
    const auto snapshot = WithEvacuation(*snapshot_, row);
    snapshot_ = snapshot;
    for (std::uint32_t index = 0; index < kEntries; ++index) {
      After(milliseconds(Draw(read_delay_ms_)), [this, index, snapshot] {
        // An entry that read a later state keeps it.
        if (entries_[index] != nullptr && snapshot_ == snapshot) {
          entries_[index]->core.OnSnapshot(now_, snapshot);
        }
      });
    }
  }

  /// What the reader sends to the agents of an evacuated domain.
  void NotifyAgents(std::uint64_t failure_domain) {
    if (!evacuated_at_.contains(failure_domain)) {
      return;
    }
    mesh_message message;
    message.kind = mesh_kind::evacuation;
    for (const domain_evacuation& row : snapshot_->evacuations) {
      if (row.failure_domain == failure_domain) {
        message.evacuation = row;
      }
    }
    for (machine_address machine = 1; machine <= kTargets; ++machine) {
      if (DomainOf(machine) == failure_domain) {
        Send(message, [this, machine](const mesh_message& received) {
          DeliverToAgent(machine, 0, received);
        });
      }
    }
    After(kEvacuationNoticePeriod,
          [this, failure_domain] { NotifyAgents(failure_domain); });
  }

  void Visit(std::uint32_t number) {
    flow_packet opening;
    opening.source = {kFirstVisitor + number, 40001};
    opening.destination = kAddress;
    opening.synchronize = true;
    SendFromClient(opening);
    After(kVisitInterval, [this, number] { Visit(number + 1); });
  }

  /// Checks an opening that reaches a target.
  void CheckOpening(machine_address machine) {
    const std::uint64_t domain = DomainOf(machine);
    other_domain_openings_ += domain == kOtherFailureDomain ? 1 : 0;
    const auto found = evacuated_at_.find(domain);
    if (found != evacuated_at_.end() &&
        now_ - found->second > kEvacuationBound) {
      ++late_openings_;
    }
  }

  void Send(const mesh_message& message,
            const std::function<void(const mesh_message&)>& deliver) {
    if (Draw(1000) < loss_permille_) {
      return;
    }
    After(Latency(),
          [message, payload = std::string(message.payload), deliver] {
            mesh_message received = message;
            received.payload = payload;
            deliver(received);
          });
  }

  /// @return for how long a machine is still suspended.
  milliseconds FrozenFor(std::uint32_t machine) const {
    const auto found = thaws_at_.find(machine);
    return found == thaws_at_.end() || found->second <= now_
               ? 0ms
               : std::chrono::ceil<milliseconds>(found->second - now_);
  }

  void DeferUntilThawed(
      milliseconds rest,
      const mesh_message& message,
      const std::function<void(const mesh_message&)>& deliver) {
    After(rest, [message, payload = std::string(message.payload), deliver] {
      mesh_message received = message;
      received.payload = payload;
      deliver(received);
    });
  }

  void Tick() {
    for (const auto& entry : entries_) {
      if (entry != nullptr &&
          FrozenFor(kFirstEntryAddress + entry->index) == 0ms) {
        entry->core.Tick(now_);
      }
    }
    After(5ms, [this] { Tick(); });
  }

  void ExpireAgents() {
    for (auto& [machine, agent] : agents_) {
      if (FrozenFor(machine) == 0ms) {
        agent->core.Tick(now_);
      }
    }
    After(1000ms, [this] { ExpireAgents(); });
  }

  void StartEntry(std::uint32_t index) {
    if (entries_.size() <= index) {
      entries_.resize(index + 1);
    }
    entries_[index] = std::make_unique<entry_node>(*this, index);
    entries_[index]->core.OnSnapshot(now_, snapshot_);
    if (index < kSeeds) {
      stores_[index] = {};
    }
  }

  void StopEntry(std::uint32_t index) {
    if (index < kSeeds) {
      for (const mesh_message& part : stores_[index].Unclaimed(now_)) {
        SendHandover(part.members.front(), part);
      }
    }
    entries_[index].reset();
  }

  /// Sends a part of a handover to all seeds.
  void SendHandover(machine_address machine, const mesh_message& part) {
    for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
      if (Draw(1000) < loss_permille_) {
        continue;
      }
      const milliseconds frozen = FrozenFor(kFirstEntryAddress + seed);
      After(Latency() + frozen, [this, machine, seed, part] {
        if (entries_[seed] != nullptr) {
          stores_[seed].Add(now_, machine, part);
        }
      });
    }
  }

  void StartAgent(machine_address machine, bool first) {
    const std::int64_t started_ms = (now_ - kStart) / 1ms + 1;
    agents_[machine] =
        std::make_unique<agent_node>(*this, machine, first, started_ms);
    if (!first) {
      agents_[machine]->core.AwaitHandover();
      RequestHandover(machine, started_ms, 0ms);
    }
  }

  agent_node* FindAgent(machine_address machine, std::int64_t started_ms) {
    const auto found = agents_.find(machine);
    return found != agents_.end() && found->second->started_ms == started_ms
               ? found->second.get()
               : nullptr;
  }

  void RequestHandover(machine_address machine,
                       std::int64_t started_ms,
                       milliseconds waited) {
    agent_node* agent = FindAgent(machine, started_ms);
    if (agent == nullptr || agent->handover.Whole()) {
      return;
    }
    if (waited >= kHandoverTimeout) {
      ++missing_handovers_;
      return;
    }
    if (waited >= kMaxSearchDelay && agent->core.IsAwaitingHandover()) {
      agent->core.OnNoHandover(now_);
    }
    for (std::uint32_t seed = 0; seed < kSeeds; ++seed) {
      if (Draw(1000) < loss_permille_) {
        continue;
      }
      const milliseconds frozen = FrozenFor(kFirstEntryAddress + seed);
      After(Latency() + frozen, [this, machine, started_ms, seed] {
        if (entries_[seed] == nullptr) {
          return;
        }
        for (const mesh_message& part :
             stores_[seed].PartsFor(now_, machine, started_ms)) {
          After(Latency(), [this, machine, started_ms, part] {
            OnHandoverPart(machine, started_ms, part);
          });
        }
      });
    }
    After(kHandoverRequestPeriod, [this, machine, started_ms, waited] {
      RequestHandover(machine, started_ms, waited + kHandoverRequestPeriod);
    });
  }

  void OnHandoverPart(machine_address machine,
                      std::int64_t started_ms,
                      const mesh_message& part) {
    agent_node* agent = FindAgent(machine, started_ms);
    if (agent == nullptr || agent->handover.Whole()) {
      return;
    }
    agent->handover.Add(part);
    if (const auto whole = agent->handover.Whole()) {
      agent->core.OnHandover(now_, *whole);
    }
  }

  void StopAgent(machine_address machine) {
    const auto found = agents_.find(machine);
    if (found == agents_.end() || found->second->stopping) {
      return;
    }
    found->second->stopping = true;
    found->second->core.OnStop(now_);
    After(kStopDuration, [this, machine] {
      if (hands_over_) {
        for (const mesh_message& part :
             SplitHandover(agents_.at(machine)->core.HandOver(now_))) {
          SendHandover(machine, part);
          After(kHandoverRepeatDelay,
                [this, machine, part] { SendHandover(machine, part); });
        }
      }
      agents_.erase(machine);
      After(kRestartDelay,
            [this, machine] { StartAgent(machine, /*first=*/false); });
    });
  }

  static flow_address FlowOf(std::uint32_t client) {
    return {{10000 + client, 40001}, kAddress};
  }

  static flow_packet PacketOf(std::uint32_t client) {
    flow_packet packet;
    packet.source = FlowOf(client).client;
    packet.destination = kAddress;
    return packet;
  }

  void SendFromClient(const flow_packet& packet) {
    std::vector<entry_node*> running;
    for (const auto& entry : entries_) {
      if (entry != nullptr) {
        running.push_back(entry.get());
      }
    }
    entry_node& entry =
        *running[HashFlow(packet.FromClient()) % running.size()];
    if (FrozenFor(kFirstEntryAddress + entry.index) > 0ms) {
      disrupted_at_[packet.FromClient()] = now_;
      return;
    }
    entry.core.OnClientDatagram(now_, plain_format::Encode(packet));
    entry.core.Flush();
  }

  void Open(std::uint32_t client) {
    if (holders_.contains(FlowOf(client))) {
      return;
    }
    flow_packet opening = PacketOf(client);
    opening.synchronize = true;
    SendFromClient(opening);
    After(1000ms, [this, client] { Open(client); });
  }

  void SendData(std::uint32_t client) {
    flow_packet packet = PacketOf(client);
    packet.acknowledge = true;
    packet.acknowledgement = sequences_.at(FlowOf(client)) + 1;
    packet.sequence = ++data_sequence_;
    SendFromClient(packet);
    After(milliseconds(100 + Draw(300)), [this, client] { SendData(client); });
  }

  void DeliverToClient(const endpoint& client, const std::string& bytes) {
    const flow_packet packet = *format_.Decode(bytes);
    const flow_address flow = packet.FromTarget();
    if (flow.client.address < kFirstVisitor && packet.synchronize &&
        sequences_.emplace(flow, packet.sequence).second) {
      SendData(client.address - 10000);
    }
  }

  void DeliverToTarget(machine_address machine, const std::string& bytes) {
    flow_packet packet = *format_.Decode(bytes);
    const flow_address flow = packet.FromClient();
    flow_packet reply;
    reply.source = flow.service;
    reply.destination = flow.client;
    reply.acknowledge = true;
    if (packet.synchronize) {
      CheckOpening(machine);
      reply.synchronize = true;
      reply.sequence = machine << 16U;
    } else {
      const auto chosen = sequences_.find(flow);
      if (chosen->second != machine << 16U) {
        RecordMisdelivery(flow);
        packet.returned = true;
        reply = packet;
      } else {
        holders_.emplace(flow, machine);
        misdeliveries_.erase(flow);
      }
    }
    After(1ms + FrozenFor(machine),
          [this, machine, bytes = plain_format::Encode(reply)] {
            const auto agent = agents_.find(machine);
            if (agent != agents_.end()) {
              agent->second->core.OnTargetDatagram(now_, bytes);
            }
          });
  }

  void RecordMisdelivery(const flow_address& flow) {
    const auto holder = holders_.find(flow);
    if (holder == holders_.end()) {
      return;
    }
    // Neither the machine of the target nor the entry that the packets go to
    // may have been suspended shortly before.
    const auto thaws_at = thaws_at_.find(holder->second);
    const auto disrupted_at = disrupted_at_.find(flow);
    if ((thaws_at != thaws_at_.end() &&
         now_ - thaws_at->second < kStabilityTime) ||
        (disrupted_at != disrupted_at_.end() &&
         now_ - disrupted_at->second < kStabilityTime)) {
      misdeliveries_.erase(flow);
      return;
    }
    misdelivery& item =
        misdeliveries_.try_emplace(flow, misdelivery{now_, 0}).first->second;
    ++item.count;
    most_misdelivered_ = std::max(most_misdelivered_, item.count);
    if (item.count >= kMaxMisdelivered &&
        now_ - item.since >= kMaxMisdeliveredFor) {
      broken_.insert(flow);
    }
  }

  void DeliverToAgent(machine_address machine,
                      std::uint32_t entry,
                      const mesh_message& message) {
    if (const milliseconds rest = FrozenFor(machine); rest > 0ms) {
      DeferUntilThawed(rest, message,
                       [this, machine, entry](const mesh_message& received) {
                         DeliverToAgent(machine, entry, received);
                       });
      return;
    }
    const auto agent = agents_.find(machine);
    if (agent != agents_.end()) {
      agent->second->core.OnEntryMessage(
          now_, {kFirstEntryAddress + entry, 7720}, message);
    }
  }

  void DeliverToEntry(const endpoint& entry,
                      machine_address machine,
                      const mesh_message& message) {
    if (const milliseconds rest = FrozenFor(entry.address); rest > 0ms) {
      DeferUntilThawed(rest, message,
                       [this, entry, machine](const mesh_message& received) {
                         DeliverToEntry(entry, machine, received);
                       });
      return;
    }
    entry_node* node = entries_[entry.address - kFirstEntryAddress].get();
    if (node != nullptr) {
      node->core.OnAgentMessage(now_, machine, message);
      node->core.Flush();
    }
  }

  std::mt19937_64 random_;
  bool hands_over_;
  bool two_domains_;
  plain_format format_;
  counters counted_;
  std::shared_ptr<const fleet_snapshot> snapshot_;
  time_point now_ = kStart;
  std::uint64_t next_event_ = 0;
  std::uint32_t data_sequence_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  handover_store stores_[kSeeds];
  std::map<machine_address, std::unique_ptr<agent_node>> agents_;
  /// Initial sequence number of the target that each client has chosen.
  std::map<flow_address, std::uint32_t> sequences_;
  std::map<flow_address, machine_address> holders_;
  std::map<flow_address, misdelivery> misdeliveries_;
  std::set<flow_address> broken_;
  int most_misdelivered_ = 0;
  std::size_t missing_handovers_ = 0;
  /// Ends of suspensions by the number of the machine.
  std::map<std::uint32_t, time_point> thaws_at_;
  /// When a packet of the flow last reached a suspended entry.
  std::map<flow_address, time_point> disrupted_at_;
  std::uint32_t loss_permille_ = 0;
  std::size_t resets_ = 0;
  std::size_t refused_visits_ = 0;
  std::uint64_t revision_ = 0;
  std::uint32_t read_delay_ms_ = 2500;
  /// When the evacuations in force were requested.
  std::map<std::uint64_t, time_point> evacuated_at_;
  std::size_t late_openings_ = 0;
  std::size_t other_domain_openings_ = 0;
};

}  // namespace corianderplank
