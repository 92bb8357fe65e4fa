/// @file
/// Agent of the packet path: forwards clients' packets to the target on its
/// machine, sends the target's packets to the clients, and reports to entries
/// which flows the target holds.
#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/circuit_breaker.h"
#include "core/counters.h"
#include "core/flow_handover.h"
#include "core/flow_packet.h"
#include "core/held_requests.h"
#include "core/load_average.h"
#include "core/mesh_message.h"
#include "core/request_scheduler.h"
#include "detection/target_watch.h"
#include "evacuation/cold_flow_budget.h"
#include "evacuation/evacuation_gate.h"
#include "link/route_sizes.h"
#include "liveness/target_end.h"

namespace corianderplank {

/// Side effects of a packet_agent, implemented by the daemon and by tests.
class packet_agent_effects {
 public:
  virtual ~packet_agent_effects() = default;
  /// @param packet datagram for the agent's target; valid during the call.
  virtual void SendToTarget(std::string_view packet) = 0;
  /// @param client client's end of the flow.
  /// @param packet datagram from the target; valid during the call.
  virtual void SendToClient(const endpoint& client,
                            std::string_view packet) = 0;
  /// @param entry endpoint of the entry that receives the message.
  /// @param message message to send; its payload is valid during the call.
  virtual void SendToEntry(const endpoint& entry,
                           const mesh_message& message) = 0;
  /// Reports the service time of a request.
  /// @param service_time time from forwarding the request to the target to the
  ///     first packet of its answer.
  virtual void OnAnswered(std::chrono::milliseconds service_time) = 0;
  /// Reports that the target is suspected to fail its requests, or is not any
  /// more.
  /// @param change what has changed and why.
  virtual void OnSuspicion(const suspicion_change& /*change*/) {}
  /// Reports that the target gets more or fewer requests at a time.
  /// @param change the change and what it was decided on.
  virtual void OnPaceChanged(const pace_change& /*change*/) {}
};

/// Settings of a packet_agent.
struct packet_agent_settings {
  service_id service;
  /// The whole system starts for the first time: no flow is older than the
  /// agent.
  bool first_start = false;
  /// Unix time of the agent's start in milliseconds, by the wall clock of the
  /// machine, which the target uses as well; 0 if not known.
  std::int64_t started_ms = 0;
  /// An open flow without packets for this long is expired; an agent that has
  /// run for longer than this knows all flows of its target.
  std::chrono::milliseconds longest_flow{60000};
  /// The target's answers decide how many requests it gets at a time, up to its
  /// slots.
  bool learns_pace = false;
  /// Number of flows above which the oldest one is evicted.
  std::size_t max_flows = 20000;
  /// HashName of the agent's failure domain; 0 if not known.
  std::uint64_t failure_domain = 0;
  /// Whether answers are compared with those of the target's peers.
  bool watches_answers = false;
};

/// Decides what happens to each packet and message of one agent. Reads no clock
/// and does no I/O; not thread-safe. All times are of the monotonic clock.
class packet_agent {
 public:
  /// @param now current time of the monotonic clock; counts as the agent's
  ///     start.
  /// @param settings copied.
  /// @param format decodes and encodes packets; must outlive the agent.
  /// @param effects receives the decisions; must outlive the agent.
  /// @param counters counts results by code; must outlive the agent.
  packet_agent(time_point now,
               const packet_agent_settings& settings,
               const packet_format& format,
               packet_agent_effects& effects,
               counters& counters);

  /// Handles a message from an entry. Kinds that entries do not send to agents
  /// are counted and ignored.
  /// @param now current time of the monotonic clock.
  /// @param entry sender's endpoint; replies go to it.
  /// @param message decoded message.
  void OnEntryMessage(time_point now,
                      const endpoint& entry,
                      const mesh_message& message);

  /// Handles a datagram from the target: a packet for a client, or a packet
  /// that the target returns. Malformed datagrams are counted and ignored.
  /// @param now current time of the monotonic clock.
  /// @param bytes undecoded datagram.
  void OnTargetDatagram(time_point now, std::string_view bytes);

  /// Begins a planned stop: refuses new flows from now on and notifies the
  /// entries.
  /// @param now current time of the monotonic clock.
  void OnStop(time_point now);

  /// @param now current time of the monotonic clock.
  /// @return the flows for the agent that is started in this one's place. Valid
  ///     until the agent accepts a new flow, which it does not after OnStop.
  flow_handover HandOver(time_point now) const;

  /// Begins to wait for the flows of the agent that ran here before. Until they
  /// arrive or the wait ends, searches for flows get no reply, since this agent
  /// could tell the flows of its target only by sending the clients' packets to
  /// it.
  void AwaitHandover() { awaits_handover_ = true; }

  /// Takes over the flows of the agent that ran here before, at any time after
  /// the start, and ends the wait.
  /// @param now current time of the monotonic clock.
  /// @param handover that agent's flows.
  void OnHandover(time_point now, const flow_handover& handover);

  /// Ends the wait without a handover; one may still follow.
  /// @param now current time of the monotonic clock.
  void OnNoHandover(time_point now);

  /// @return whether the agent waits for a handover.
  bool IsAwaitingHandover() const { return awaits_handover_; }

  /// Adds what the flows show to the evidence of the target's end.
  /// @param evidence the refused connections; the rest is filled in.
  /// @param now current time of the monotonic clock.
  void AddEvidence(time_point now, target_evidence& evidence) const;

  /// Records that the target had ended at some time after `checked_at`. Flows
  /// without a packet since then are removed; their clients get a reset where
  /// the proof suffices. A target that starts later gets all its packets from
  /// this agent, so from now on the agent knows all flows. If the agent is
  /// stopping, the entries are notified.
  /// @param now current time of the monotonic clock.
  /// @param checked_at time at which the check for the target began.
  /// @param proof what shows that the target has ended.
  void OnTargetAbsent(time_point now, time_point checked_at, end_proof proof);

  /// @param now current time of the monotonic clock.
  /// @return whether an entry has reported recently that the target is
  /// draining.
  ///     Entries repeat this report every second.
  bool IsTargetDraining(time_point now) const;

  /// @param now current time of the monotonic clock.
  /// @return whether the target has sent nothing since a packet that expects a
  ///     response, for longer than a working target needs. It may have ended.
  bool IsTargetUnresponsive(time_point now) const;

  /// Forwards queued requests and expires flows that have ended or are idle.
  /// @param now current time of the monotonic clock.
  void Tick(time_point now);

  /// @return what the agent knows of the evacuation of its failure domain.
  const evacuation_gate& Evacuation() const { return evacuation_; }

  /// @return number of open flows.
  std::uint32_t OpenFlows() const { return open_flows_; }
  /// @return whether a client waits for the answer to a request.
  bool HasRequests() const {
    return scheduler_.ForwardedCount() + scheduler_.QueuedCount() > 0 ||
           !held_requests_.IsEmpty();
  }
  /// @return number of flows in the table, including those that have ended.
  std::size_t FlowCount() const { return flows_.size(); }

 private:
  enum class flow_phase : std::uint8_t {
    unconfirmed,  ///< Packets were forwarded; the target has not answered yet.
    accepted,     ///< The target has accepted the flow, but the client may have
                  ///< chosen another target.
    open,         ///< The target holds the flow.
    finished,     ///< Both ends have ended the flow.
  };

  struct flow_record {
    endpoint entry;
    flow_phase phase = flow_phase::unconfirmed;
    /// The entry still needs a report on whether the target holds the flow.
    bool holder_report_due = false;
    /// A forwarded packet of this flow was sent to other targets as well.
    bool sent_to_several = false;
    request_policy policy;
    /// When the client began to open the flow; default value if not known.
    time_point opening_began_at{};
    bool request_active = false;
    /// Sequence number at which the client's latest request begins.
    std::uint32_t request_begin = 0;
    /// The latest request was answered, and its answer may not be complete.
    bool answer_pending = false;
    /// Service time of that request.
    std::chrono::milliseconds service_time{0};
    /// Begin and end of the target's data that answer it.
    std::uint32_t answer_begin = 0;
    std::uint32_t answer_end = 0;
    /// End of the client's data received so far. Data beyond it is a new
    /// request if none is active.
    std::uint32_t client_data_end = 0;
    bool client_sent_data = false;
    /// The client's latest acknowledgement.
    std::optional<std::uint32_t> client_acknowledgement;
    /// Packets of a request that the scheduler has queued.
    std::vector<std::string> queued_packets;
    bool client_finished = false;
    bool target_finished = false;
    time_point last_target_packet_at{};
    /// Initial sequence number of the target.
    std::uint32_t target_sequence = 0;
    /// End of the target's data seen so far, if it sent any.
    std::optional<std::uint32_t> target_data_end;
    /// Last packet from either end.
    time_point last_packet_at{};
  };

  struct flow_expiry {
    time_point at;
    flow_address flow;
  };

  /// A message of a search that waits for the handover.
  struct deferred_message {
    endpoint entry;
    mesh_message message;
    std::string payload;
  };

  void HandleEntryMessage(time_point now,
                          const endpoint& entry,
                          const mesh_message& message);
  void Defer(const endpoint& entry, const mesh_message& message);
  void HandleDeferredMessages(time_point now);

  void OnDelivery(time_point now,
                  const endpoint& entry,
                  const mesh_message& message);
  void OnFlowQueries(time_point now,
                     const endpoint& entry,
                     const mesh_message& message);
  void OnListFlows(time_point now,
                   const endpoint& entry,
                   const mesh_message& message);
  flow_query_result QueryResultFor(time_point now,
                                   const endpoint& entry,
                                   const flow_query& query,
                                   std::int64_t target_start_ms);
  void OnReturnedPacket(time_point now, const flow_packet& packet);
  void OnTargetPacket(time_point now, const flow_packet& packet);
  /// Sends a message about one flow to an entry.
  void SendReply(time_point now,
                 mesh_kind kind,
                 const endpoint& entry,
                 const flow_address& flow,
                 std::string_view packet,
                 bool wrong_service,
                 std::uint32_t sequence);
  void ForwardToTarget(time_point now, const flow_packet& packet);
  /// Refuses a new flow that its target must not get: its failure domain is
  /// evacuated, or it is cold and has had as many as it bears.
  /// @return whether the flow was refused.
  bool RefuseForDomainOrCold(time_point now,
                             const endpoint& entry,
                             const flow_address& flow,
                             bool is_cold_limited);
  /// Refuses a new flow and asks the entry to avoid the target.
  /// @param suspected whether that is since the target's answers are suspected.
  void RefuseFor(time_point now,
                 result_code code,
                 const endpoint& entry,
                 const flow_address& flow,
                 std::chrono::milliseconds pause,
                 bool suspected = false);
  /// Refuses a new flow if the target fails its requests.
  /// @return whether the flow was refused.
  bool RefuseWhileFailing(time_point now,
                          const endpoint& entry,
                          const flow_address& flow);
  /// @return whether the target has something left to do on the flow.
  static bool IsBusy(const flow_record& record);
  /// Refuses a new flow if the target's answers are suspected.
  /// @return whether the flow was refused.
  bool RefuseWhileSuspected(time_point now,
                            const endpoint& entry,
                            const flow_address& flow,
                            bool repeatable);
  /// Judges the answer that a flow has got, if any: a further request or the
  /// flow's end has shown that it is complete.
  void JudgeAnswer(time_point now,
                   const flow_address& flow,
                   flow_record& record);
  /// Sends a reset to the client of an open flow whose target has ended.
  void ResetClient(const flow_address& flow);
  /// @return whether the packet was queued (or dropped as a copy of a queued
  ///     one) because its request waits for capacity of the target.
  bool QueueIfBusy(time_point now,
                   flow_record& record,
                   const flow_packet& packet);
  /// @return whether the active request is too large to arrive at once, by what
  ///     has arrived or by what the requests of its route are like.
  bool IsTransfer(const flow_address& flow, const flow_record& record) const;
  /// Holds a request that the client must not repeat while the target fails:
  /// the next requests that may be repeated show whether it works again.
  /// @param waited time that the client has already waited.
  /// @return whether the request is held.
  bool HoldWhileFailing(time_point now,
                        const flow_address& flow,
                        const flow_record& record,
                        std::chrono::milliseconds waited);
  /// Passes held requests to the scheduler if the target works again or their
  /// time is over.
  void ReleaseHeldRequests(time_point now);
  /// Forwards the packets of a flow's queued request.
  void ForwardQueuedPackets(time_point now, flow_record& record);
  void EndRequest(time_point now,
                  const flow_address& flow,
                  flow_record& record,
                  bool answered);
  /// @return the load to report.
  agent_load Load(time_point now);
  /// Records which start of the target an entry reports.
  void OnTargetStart(time_point now, const mesh_message& message);
  /// Counts and reports a change of the pace, if there is one.
  void ReportPaceChange();
  /// Forwards queued requests while the target has capacity.
  void ForwardQueuedRequests(time_point now);
  /// Also keeps the number of open flows.
  void SetPhase(flow_record& record, flow_phase phase);
  flow_record& FindOrInsert(time_point now, const flow_address& flow);
  void Remove(time_point now, const flow_address& flow);
  /// @param target_start_ms Unix time of the target's start in milliseconds; 0
  /// if not
  ///     known.
  /// @return whether a flow that is not in the table is certainly not held by
  ///     the target.
  bool KnowsAllFlows(time_point now, std::int64_t target_start_ms) const;

  packet_agent_settings settings_;
  const packet_format& format_;
  packet_agent_effects& effects_;
  counters& counters_;
  time_point started_at_;
  bool stopping_ = false;
  time_point stopped_at_{};
  /// No target was running at some time since the agent's start.
  bool target_was_absent_ = false;
  /// When an entry last reported that the target is draining.
  time_point drain_reported_at_{};
  /// When the first packet was forwarded since the target's last datagram;
  /// default value if none was.
  time_point unanswered_since_{};
  time_point last_target_datagram_at_{};
  /// Start time of a target that an entry has known for longer than this agent
  /// has been running.
  std::int64_t earlier_target_start_ms_ = 0;
  bool awaits_handover_ = false;
  /// The handover of the agent that ran here before names all flows.
  bool handover_complete_ = false;
  std::vector<deferred_message> deferred_;
  std::uint32_t open_flows_ = 0;
  load_average load_;
  request_scheduler scheduler_;
  route_sizes request_sizes_;
  circuit_breaker breaker_;
  evacuation_gate evacuation_;
  cold_flow_budget cold_budget_;
  target_watch watch_;
  /// Requests that wait until the target answers others again.
  held_requests held_requests_;
  std::unordered_map<flow_address, flow_record, flow_address_hash> flows_;
  std::deque<flow_expiry> expiries_;
  /// Entries by endpoint, with the time of their last message.
  std::unordered_map<endpoint, time_point, endpoint_hash> entries_;
};

}  // namespace corianderplank
