/// @file
/// The entry's decisions about clients' packets: where a new flow goes, which
/// target holds an open one, and when a client is told that a flow is dead.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/fleet_index.h"
#include "core/flow_census.h"
#include "core/flow_decision.h"
#include "core/flow_packet.h"
#include "core/mesh_message.h"
#include "core/send_rate_limiter.h"
#include "core/target_loads.h"

namespace corianderplank {

/// What an entry's decisions cause.
class packet_entry_effects {
 public:
  virtual ~packet_entry_effects() = default;
  /// @param machine an agent's machine.
  /// @param message what it gets.
  virtual void SendToAgent(machine_address machine,
                           const mesh_message& message) = 0;
  /// @param client the client's end of a flow.
  /// @param packet a packet for it.
  virtual void SendToClient(const endpoint& client,
                            std::string_view packet) = 0;
  /// The picture must be confirmed by a read that begins now or later.
  virtual void RequestConfirmation() = 0;
  /// @param decision a decision that touched a flow.
  virtual void OnDecision(const flow_decision& decision) = 0;
};

/// Bounds of an entry.
struct packet_entry_limits {
  std::size_t max_flows = 100000;
  /// Bytes for asking who holds a flow; 0: without bound.
  std::uint64_t search_bytes_per_second = 0;
};

/// The entry. Holds nothing but caches: whatever it forgets it finds again.
class packet_entry {
 public:
  /// @param own_zone HashName of the entry's failure domain.
  /// @param format how packets are laid out.
  /// @param effects what decisions cause.
  /// @param counters one counter for each decision.
  /// @param limits bounds.
  packet_entry(std::uint64_t own_zone,
               const packet_format& format,
               packet_entry_effects& effects,
               counters& counters,
               const packet_entry_limits& limits);

  /// @param now the present time.
  /// @param view the newest picture.
  void OnSnapshot(time_point now, std::shared_ptr<const fleet_view> view);

  /// @param now the present time.
  /// @param bytes a datagram from the clients' side.
  void OnClientDatagram(time_point now, std::string_view bytes);

  /// @param now the present time.
  /// @param machine who sent the message.
  /// @param message an agent's message.
  void OnAgentMessage(time_point now,
                      machine_address machine,
                      const mesh_message& message);

  /// Sends the questions that have gathered; call after each batch of packets.
  void Flush();

  /// Does what has become due.
  /// @param now the present time.
  void Tick(time_point now);

  /// @return when Tick is needed next; nothing when no flow waits.
  std::optional<time_point> NextTick() const;

  /// @return the flows that are known.
  std::size_t FlowCount() const { return flows_.size(); }

 private:
  /// A target that has accepted the flow; the client chooses one of them.
  struct acceptance {
    machine_address machine = 0;
    std::uint32_t sequence = 0;
  };

  /// A flow whose opening packet is on its way.
  struct opening {
    std::string packet;
    service_id service;
    std::vector<machine_address> tried;
    /// Those among them whose slots were taken.
    std::vector<machine_address> busy;
    std::uint32_t refused = 0;
    /// When the client sent its first copy.
    time_point began_at{};
    time_point sent_at{};
  };

  /// A flow whose holder is asked for.
  struct search {
    std::vector<machine_address> asked;
    std::vector<machine_address> denied;
    /// Machines that got the first packet, since their agents were unsure.
    std::vector<machine_address> delivered;
    /// The client's packets.
    std::vector<std::string> packets;
    time_point began_at{};
    time_point due_at{};
    std::size_t next_wave = 0;
    std::uint32_t acknowledgement = 0;
    bool exhausted = false;
    /// The next round of lists tells who holds the flow.
    bool awaits_census = false;
    /// A round was taken into account.
    bool counted = false;
    /// How often the silent ones were asked again.
    std::uint32_t repeats = 0;
  };

  struct flow_record {
    machine_address holder = 0;
    std::vector<acceptance> accepted;
    std::unique_ptr<opening> opened;
    std::unique_ptr<search> sought;
    time_point heard_at{};
  };

  /// A machine whose target has ended.
  struct ended_here {
    /// Revision under which it was listed; a later one is another target.
    std::uint64_t revision = 0;
    /// Its agent spoke for a target since.
    bool contradicted = false;
  };

  struct due_flow {
    time_point at;
    flow_address flow;
  };

  /// Keeps a packet until there is a configuration.
  void KeepEarly(time_point now, const flow_packet& packet);
  void OnOpening(time_point now, const flow_packet& packet);
  void OnFlowPacket(time_point now, const flow_packet& packet);
  /// Passes over targets that have not answered an opening packet in time.
  void TickOpenings(time_point now);
  /// @return whether the picture may be used for new flows.
  bool MayPlace(time_point now, const flow_address& flow);
  void Place(time_point now, const flow_address& flow, flow_record& record);
  /// The client has repeated its opening packet.
  void CopyOpening(time_point now,
                   const flow_address& flow,
                   flow_record& record);
  void GiveUpOpening(time_point now, const flow_address& flow);
  void OnOpened(time_point now,
                machine_address machine,
                const mesh_message& message);
  void OnHolds(time_point now,
               machine_address machine,
               const flow_address& flow);
  void OnDenied(time_point now,
                machine_address machine,
                const mesh_message& message);
  void OnBusy(time_point now,
              machine_address machine,
              const mesh_message& message);
  void OnRefused(time_point now,
                 machine_address machine,
                 const mesh_message& message);
  void StartSearch(time_point now,
                   const flow_packet& packet,
                   flow_record& record,
                   machine_address first);
  void ContinueSearch(time_point now,
                      const flow_packet& packet,
                      flow_record& record);
  void Widen(time_point now, const flow_address& flow, flow_record& record);
  /// Asks all again that have not answered.
  void AskSilent(time_point now, const flow_address& flow, search& sought);
  /// Looks at a search again; a later call replaces an earlier one.
  void Schedule(time_point at, const flow_address& flow);
  /// Asks one machine for a flow.
  void Ask(const flow_address& flow, search& sought, machine_address machine);
  void OnVerdicts(time_point now,
                  machine_address machine,
                  const mesh_message& message);
  void OnUnsure(machine_address machine, const flow_address& flow);
  /// The target of a machine has ended: it holds no flow any more.
  void OnTargetEnded(time_point now, machine_address machine);
  /// Forgets ended targets where others are listed now.
  void RetainEnded();
  /// Takes ended targets that others have told of.
  void TakeEnded(time_point now);
  /// @return whether nobody needs to wait for a machine's answer.
  bool HasEnded(machine_address machine) const;
  /// @return whether the search waits for lists, since many run at once.
  bool JoinCensus(time_point now, const flow_address& flow, search& sought);
  void BeginCensus(time_point now);
  void OnFlowList(time_point now,
                  machine_address machine,
                  const mesh_message& message);
  void EndCensus(time_point now);
  /// Goes on with a search by what the lists tell.
  void ApplyCensus(time_point now, const flow_address& flow);
  void AwaitCensus(time_point now, const flow_address& flow);
  void TickSearch(time_point now, time_point at, const flow_address& flow);
  /// Every machine that is known has been asked.
  void Conclude(time_point now, const flow_address& flow);
  /// @return a message with what the agent needs to know of its target.
  mesh_message MessageFor(mesh_kind kind, machine_address machine) const;
  void Deliver(const flow_address& flow,
               machine_address machine,
               bool searching,
               std::string_view packet);
  /// @param waited how long the client has waited for the flow to open.
  /// @param must_take the target takes the flow even without a free slot.
  void DeliverOpening(const flow_address& flow,
                      machine_address machine,
                      std::chrono::milliseconds waited,
                      bool must_take,
                      std::string_view packet);
  mesh_message DeliveryTo(const flow_address& flow,
                          machine_address machine,
                          std::string_view packet) const;
  void Reset(time_point now,
             result_code code,
             const flow_address& flow,
             std::uint32_t sequence);
  void Decide(time_point now,
              result_code code,
              const flow_address& flow,
              machine_address machine);
  void NoticeTime(time_point now);
  bool IsFresh(time_point now) const;
  flow_record& Insert(time_point now, const flow_address& flow);
  void ExpireFlows(time_point now);
  static bool Contains(const std::vector<machine_address>& list,
                       machine_address machine) {
    return std::find(list.begin(), list.end(), machine) != list.end();
  }
  static void Erase(std::vector<acceptance>& from, machine_address machine);

  const packet_format& format_;
  packet_entry_effects& effects_;
  counters& counters_;
  packet_entry_limits limits_;
  std::uint64_t own_zone_;
  target_loads loads_;
  send_rate_limiter search_budget_;
  std::shared_ptr<const fleet_index> index_;
  std::unordered_map<flow_address, flow_record, flow_address_hash> flows_;
  std::unordered_map<machine_address, ended_here> ended_;
  std::deque<due_flow> openings_;
  std::multimap<time_point, flow_address> searches_;
  flow_census census_;
  /// Searches that the round under way answers, and those of the next one.
  std::vector<flow_address> counted_;
  std::vector<flow_address> uncounted_;
  /// Packets that came before the first configuration.
  std::vector<std::string> early_;
  std::map<machine_address, std::vector<flow_question>> questions_;
  std::deque<due_flow> expiries_;
  time_point seen_at_{};
  /// The process woke then, and its picture may be older than it looks.
  std::optional<time_point> woke_at_;
};

}  // namespace corianderplank
