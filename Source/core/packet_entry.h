/// @file
/// Decisions of an entry about client packets: on which target a new flow is
/// placed, which target holds an open flow, and when a client gets a reset.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/agent_completeness.h"
#include "core/counters.h"
#include "core/fleet_index.h"
#include "core/flow_census.h"
#include "core/flow_decision.h"
#include "core/flow_packet.h"
#include "core/mesh_message.h"
#include "core/send_rate_limiter.h"
#include "core/target_loads.h"
#include "detection/answer_profiles.h"
#include "detection/suspect_limit.h"
#include "link/link_budget.h"

namespace corianderplank {

/// Side effects of a packet_entry, implemented by its owner.
class packet_entry_effects {
 public:
  virtual ~packet_entry_effects() = default;
  /// Sends a message to an agent.
  /// @param machine address of the agent's machine.
  /// @param message message to send; its views are valid during the call only.
  virtual void SendToAgent(machine_address machine,
                           const mesh_message& message) = 0;
  /// Sends a packet to a client.
  /// @param client the client's end of a flow.
  /// @param packet packet to send; valid during the call only.
  virtual void SendToClient(const endpoint& client,
                            std::string_view packet) = 0;
  /// Requests a fleet snapshot that is confirmed by a read of the source which
  /// begins now or later.
  virtual void RequestConfirmation() = 0;
  /// Called for each decision about a flow, for logs.
  /// @param decision decision and the state that it was based on.
  virtual void OnDecision(const flow_decision& decision) = 0;
};

/// Resource limits of an entry.
struct packet_entry_limits {
  /// Number of flows that are cached.
  std::size_t max_flows = 100000;
  /// Rate of the traffic that searches for flow holders; 0 for no limit.
  std::uint64_t search_bytes_per_second = 0;
  /// Capacity of the machine's link; 0 if not known.
  std::uint64_t link_bytes_per_second = 0;
};

/// Forwards client packets to the agents of targets. All flow state is a cache:
/// the holder of an evicted flow is found again by a search. Not thread-safe;
/// every `now` is the current time of the monotonic clock.
class packet_entry {
 public:
  /// @param own_failure_domain HashName of the entry's failure domain.
  /// @param format encoding of packets; must outlive the entry.
  /// @param effects receives the side effects; must outlive the entry.
  /// @param counters counts results by code; must outlive the entry.
  /// @param limits resource limits.
  packet_entry(std::uint64_t own_failure_domain,
               const packet_format& format,
               packet_entry_effects& effects,
               counters& counters,
               const packet_entry_limits& limits);

  /// Applies a fleet snapshot and then handles the packets that were buffered
  /// until the first configuration.
  /// @param now current time.
  /// @param snapshot newest fleet snapshot, not null.
  void OnSnapshot(time_point now,
                  std::shared_ptr<const fleet_snapshot> snapshot);

  /// Handles a datagram from a client; counts it as malformed if it is not a
  /// valid client packet.
  /// @param now current time.
  /// @param bytes datagram; valid during the call only.
  void OnClientDatagram(time_point now, std::string_view bytes);

  /// Handles a message from an agent.
  /// @param now current time.
  /// @param machine address of the agent's machine.
  /// @param message message of the agent.
  void OnAgentMessage(time_point now,
                      machine_address machine,
                      const mesh_message& message);

  /// Sends the queued flow queries; call after each batch of packets.
  void Flush();

  /// Handles expired timeouts: openings, searches and idle flows.
  /// @param now current time.
  void Tick(time_point now);

  /// @return when Tick must be called next; std::nullopt if no opening and no
  ///     search is pending.
  std::optional<time_point> NextTick() const;

  /// @return number of cached flows.
  std::size_t FlowCount() const { return flows_.size(); }

  /// @return the account of the machine's link.
  const link_budget& Link() const { return link_; }

 private:
  /// A target that has accepted the flow. Several may, if the opening packet
  /// was sent to more than one; the client chooses among them.
  struct acceptance {
    machine_address machine = 0;
    /// Initial sequence number of the target.
    std::uint32_t sequence = 0;
  };

  /// A flow whose opening packet was sent and has not been accepted yet.
  struct opening {
    std::string packet;
    service_id service;
    /// Machines that got the packet.
    std::vector<machine_address> tried;
    /// Machines that reported that no slot is free.
    std::vector<machine_address> busy;
    /// Number of targets that refused the flow.
    std::uint32_t refusal_count = 0;
    /// When the client sent its first copy.
    time_point started_at{};
    time_point sent_at{};
  };

  /// A packet that was sent to a target whose agent does not know whether it
  /// holds the flow.
  struct delivery {
    machine_address machine = 0;
    time_point at{};
  };

  /// A search for the flow's holder.
  struct search {
    std::vector<machine_address> queried;
    /// Machines whose response the search does not wait for: they denied the
    /// flow, their complete flow list lacks it, or their target has ended. A
    /// subset of `queried` without duplicates.
    std::vector<machine_address> denied;
    /// Machines that got the first packet of the flow because their agents
    /// do not know whether the target holds it, and when they first got it.
    std::vector<delivery> delivered;
    /// Client packets to deliver to the holder.
    std::vector<std::string> packets;
    time_point started_at{};
    time_point due_at{};
    std::size_t next_wave_size = 0;
    /// Latest acknowledgement number of the client.
    std::uint32_t acknowledgement = 0;
    /// Every known machine was queried.
    bool exhausted = false;
    /// The search is suspended until the next census round ends.
    bool awaits_census = false;
    /// The result of a census round was applied.
    bool census_applied = false;
    /// How often the unresponsive machines were queried again.
    std::uint32_t requery_count = 0;

    /// @return whether so many machines have denied the flow that probably all
    ///     will.
    bool IsDeniedOften() const;
    bool IsDeliveredTo(machine_address machine) const;
    /// A target returns a packet of a flow that it does not hold at once, but
    /// answers one of its own flow only after its work.
    /// @return whether a target has kept the packet for longer than a return
    ///     takes, and probably holds the flow.
    bool HasLikelyHolder(time_point now) const;
  };

  struct flow_record {
    /// Machine of the flow holder; 0 if unknown.
    machine_address holder = 0;
    std::vector<acceptance> accepted;
    std::unique_ptr<opening> pending_opening;
    std::unique_ptr<search> pending_search;
    /// When the client's last packet arrived.
    time_point last_packet_at{};
  };

  /// State of a machine whose target has ended.
  struct ended_target_record {
    /// Revision of the ended target; a target of a later revision is another
    /// one at the same address.
    source_revision revision;
    /// An agent on the machine has since reported that it may hold a flow.
    bool contradicted = false;
  };

  struct due_flow {
    time_point at;
    flow_address flow;
  };

  /// Buffers a packet until there is a configuration.
  void BufferEarlyPacket(time_point now, const flow_packet& packet);
  void OnOpeningPacket(time_point now, const flow_packet& packet);
  /// Handles a copy of an opening packet.
  /// @param route the route in force; null for none.
  /// @return whether the copy was handled; otherwise it opens the flow anew.
  bool RepeatOpening(time_point now,
                     const flow_packet& packet,
                     const fleet_route* route,
                     flow_record& record);
  /// Resets a new flow that the link cannot carry in time.
  /// @return whether the flow was refused.
  bool RefuseForLink(time_point now,
                     const flow_packet& packet,
                     const fleet_route& route);
  void OnFlowPacket(time_point now, const flow_packet& packet);
  /// Places each flow whose target did not respond within the timeout on
  /// another target.
  void TickOpenings(time_point now);
  /// @return whether the snapshot may be used to place new flows.
  bool CanPlaceFlows(time_point now, const flow_address& flow);
  /// Sends the opening packet to the next target. May remove the flow.
  void PlaceFlow(time_point now, const flow_address& flow, flow_record& record);
  /// Sends a repeated opening packet to a further target, or begins again with
  /// the first one if all were tried.
  void RetryOpening(time_point now,
                    const flow_address& flow,
                    flow_record& record);
  /// Removes a flow that no target of the service accepts; resets it if the
  /// snapshot is fresh or all targets are evacuated.
  void GiveUpOpening(time_point now,
                     const flow_address& flow,
                     service_id service);
  void OnOpened(time_point now,
                machine_address machine,
                const mesh_message& message);
  /// Records the holder and delivers the packets buffered by the search.
  void OnHolderFound(time_point now,
                     machine_address machine,
                     const flow_address& flow);
  void OnDenied(time_point now,
                machine_address machine,
                const mesh_message& message);
  void OnBusy(time_point now,
              machine_address machine,
              const mesh_message& message);
  /// Takes over an evacuation that an agent knows and this entry's snapshot
  /// does not. Otherwise a flow could be refused by one target of the domain
  /// after the other and be given up.
  void LearnEvacuation(machine_address machine, const domain_evacuation& row);
  void OnRefused(time_point now,
                 machine_address machine,
                 const mesh_message& message);
  /// Begins to search for the holder of a flow.
  /// @param denier machine that has just denied the flow; 0 for none.
  void StartSearch(time_point now,
                   const flow_packet& packet,
                   flow_record& record,
                   machine_address denier);
  /// Handles a client packet that arrives during a search.
  void ContinueSearch(time_point now,
                      const flow_packet& packet,
                      flow_record& record);
  /// Queries the next wave of machines; the size of the wave doubles each time.
  /// If the rate limit is exceeded, the search joins a census or tries again
  /// later. If no machine is left to query, marks the search as exhausted and
  /// calls ConcludeSearch. May remove the flow.
  void WidenSearch(time_point now,
                   const flow_address& flow,
                   flow_record& record);
  /// Queries all machines again that have not responded.
  void RequeryUnresponsive(time_point now,
                           const flow_address& flow,
                           search& pending_search);
  /// Sets when the search is looked at next; replaces an earlier time.
  void Schedule(time_point at, const flow_address& flow);
  /// Queues a flow query for one machine; Flush sends it.
  void QueueQuery(const flow_address& flow,
                  search& pending_search,
                  machine_address machine);
  void OnQueryResults(time_point now,
                      machine_address machine,
                      const mesh_message& message);
  /// Handles a query result of an agent that does not know whether its target
  /// holds the flow.
  void OnUnknownResult(time_point now,
                       machine_address machine,
                       const flow_address& flow);
  /// Delivers the first packet of a search to a target whose agent does not
  /// know whether it holds the flow: only the target does.
  void DeliverSearching(time_point now,
                        const flow_address& flow,
                        search& pending_search,
                        machine_address machine);
  /// Queries a machine, or delivers the packet if a query would be in vain.
  void Ask(time_point now,
           const flow_address& flow,
           search& pending_search,
           machine_address machine);
  /// Handles the end of a machine's target: it holds no flows any more.
  void OnTargetEnded(time_point now, machine_address machine);
  /// Removes the records of ended targets that are not listed any more or were
  /// replaced by another target.
  void PruneEndedTargets();
  /// Applies the ended targets that the snapshot contains.
  void ApplyEndedTargets(time_point now);
  /// @return whether searches need not wait for a response of the machine.
  bool HasTargetEnded(machine_address machine) const;
  /// Suspends the search until a census round ends, if so many searches run
  /// that a census is cheaper than queries.
  /// @return whether the search was suspended.
  bool JoinCensus(time_point now,
                  const flow_address& flow,
                  search& pending_search);
  /// Begins a round, unless one runs, no search waits for one, or the rate
  /// limit does not allow it.
  void BeginCensus(time_point now);
  void OnFlowList(time_point now,
                  machine_address machine,
                  const mesh_message& message);
  /// Applies the round to its searches and begins the next one.
  void EndCensus(time_point now);
  /// Resumes a search with the flow lists of the round.
  /// @return whether the lists name a holder.
  bool ApplyCensus(time_point now, const flow_address& flow);
  /// Ends the round if it is over; looks at the search again later if it still
  /// waits.
  void PollCensus(time_point now, const flow_address& flow);
  void TickSearch(time_point now, time_point at, const flow_address& flow);
  /// Called when every known machine was queried. Looks at the search again
  /// later if a response is missing, if the snapshot was not confirmed since
  /// the search began or the process was resumed recently (both request a
  /// confirmation), or if the snapshot does not know all holders. Otherwise
  /// resets the flow, which removes it.
  void ConcludeSearch(time_point now, const flow_address& flow);
  /// @return a message that contains what the agent needs to know about its
  ///     target.
  mesh_message MakeMessage(mesh_kind kind, machine_address machine) const;
  void Deliver(const flow_address& flow,
               machine_address machine,
               bool searching,
               std::string_view packet);
  /// Delivers an opening packet.
  /// @param waited how long the client has waited for the flow to open.
  /// @param must_accept the target accepts the flow even without a free slot.
  void DeliverOpening(time_point now,
                      const flow_address& flow,
                      machine_address machine,
                      std::chrono::milliseconds waited,
                      bool must_accept,
                      std::string_view packet);
  mesh_message MakeDelivery(const flow_address& flow,
                            machine_address machine,
                            std::string_view packet) const;
  /// Sends a reset to the client and removes the flow.
  void ResetFlow(time_point now,
                 result_code code,
                 const flow_address& flow,
                 std::uint32_t sequence);
  /// Counts a decision and reports it to the effects.
  void RecordDecision(time_point now,
                      result_code code,
                      const flow_address& flow,
                      machine_address machine,
                      const std::optional<link_load>& link = std::nullopt);
  /// Detects that the process was suspended since the previous call, and
  /// requests a confirmation of the snapshot in that case.
  void DetectSuspension(time_point now);
  /// @return whether the snapshot was confirmed within its lifetime and the
  ///     process was not resumed recently, so that a route or target that is
  ///     missing from it can be taken as nonexistent.
  bool IsSnapshotFresh(time_point now) const;
  /// @return the record of the flow, inserted if necessary; evicts the oldest
  ///     flow when the limit is exceeded.
  flow_record& InsertFlow(time_point now, const flow_address& flow);
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
  std::uint64_t own_failure_domain_;
  target_loads loads_;
  peer_profiles peers_;
  suspect_limit suspects_;
  send_rate_limiter search_rate_limiter_;
  link_budget link_;
  std::shared_ptr<const fleet_index> index_;
  std::unordered_map<flow_address, flow_record, flow_address_hash> flows_;
  std::unordered_map<machine_address, ended_target_record> ended_targets_;
  agent_completeness agents_;
  /// In the order of their timeouts.
  std::deque<due_flow> openings_;
  /// By due time. May contain stale items of ended or rescheduled searches,
  /// which its size includes.
  std::multimap<time_point, flow_address> searches_;
  flow_census census_;
  /// No search joins a census before this time, since the latest one resolved
  /// few searches.
  time_point census_paused_until_{};
  /// Searches that the running census round answers.
  std::vector<flow_address> census_flows_;
  /// Searches that wait for the next round.
  std::vector<flow_address> next_census_flows_;
  /// Packets that arrived before the first configuration.
  std::vector<std::string> early_packets_;
  std::map<machine_address, std::vector<flow_query>> pending_queries_;
  std::deque<due_flow> expiries_;
  /// Time of the latest call.
  time_point last_call_at_{};
  /// When the process was resumed, until the snapshot is confirmed by a later
  /// read: until then the snapshot may be older than its age suggests.
  std::optional<time_point> resumed_at_;
};

}  // namespace corianderplank
