/// @file
/// The agent's decisions on the packet path: it hands packets to its target,
/// sends the target's packets to clients and tells entries who holds what.
#pragma once

#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/load_average.h"
#include "core/counters.h"
#include "core/flow_packet.h"
#include "core/mesh_message.h"
#include "core/request_scheduler.h"

namespace corianderplank {

/// What an agent's decisions cause.
class packet_agent_effects {
 public:
  virtual ~packet_agent_effects() = default;
  /// @param packet a packet for the agent's target.
  virtual void SendToTarget(std::string_view packet) = 0;
  /// @param client the client's end of a flow.
  /// @param packet the target's packet for it.
  virtual void SendToClient(const endpoint& client,
                            std::string_view packet) = 0;
  /// @param entry an entry's endpoint.
  /// @param message what it gets.
  virtual void SendToEntry(const endpoint& entry,
                           const mesh_message& message) = 0;
  /// @param took time from handing a request on to its first answer.
  virtual void OnAnswered(std::chrono::milliseconds took) = 0;
};

/// Bounds and facts of an agent.
struct packet_agent_settings {
  service_id service;
  /// The whole system starts now: no flow is older than the agent.
  bool first_start = false;
  /// Unix time of the agent's start, by the clock that its target uses, too.
  std::int64_t started_ms = 0;
  std::chrono::milliseconds longest_flow{60000};
  std::size_t max_flows = 20000;
};

/// The agent.
class packet_agent {
 public:
  /// @param now the present time, which counts as the agent's start.
  /// @param settings bounds and facts.
  /// @param format how packets are laid out.
  /// @param effects what decisions cause.
  /// @param counters one counter for each decision.
  packet_agent(time_point now,
               const packet_agent_settings& settings,
               const packet_format& format,
               packet_agent_effects& effects,
               counters& counters);

  /// @param now the present time.
  /// @param entry who sent the message.
  /// @param message an entry's message.
  void OnEntryMessage(time_point now,
                      const endpoint& entry,
                      const mesh_message& message);

  /// @param now the present time.
  /// @param bytes a datagram from the target.
  void OnTargetDatagram(time_point now, std::string_view bytes);

  /// Begins a planned stop: new flows are refused.
  /// @param now the present time.
  void OnStop(time_point now);

  /// There was no target here after `asked_at`: older flows are not held, and
  /// a target that starts later gets its packets from this agent. While the
  /// agent stops, entries are told.
  /// @param now the present time.
  /// @param asked_at when the look for the target began.
  void OnTargetAbsent(time_point now, time_point asked_at);

  /// @param now the present time.
  /// @return whether an entry has told that the target is leaving; it tells
  ///     again each second.
  bool IsTargetDraining(time_point now) const;

  /// @param now the present time.
  /// @return whether the target has answered nothing that it got for longer
  ///     than a working one takes; it may have ended.
  bool IsTargetUnresponsive(time_point now) const;

  /// Forgets flows that have ended or are too old.
  /// @param now the present time.
  void Tick(time_point now);

  /// @return flows that are open.
  std::uint32_t OpenFlows() const { return open_flows_; }
  /// @return flows that are remembered.
  std::size_t FlowCount() const { return flows_.size(); }

 private:
  enum class flow_phase : std::uint8_t {
    asked,     ///< An entry asked; the target has not shown that it holds it.
    offered,   ///< The target has accepted; the client may have chosen another.
    open,      ///< The target holds the flow.
    finished,  ///< Both ends have ended it.
  };

  struct flow_record {
    endpoint entry;
    flow_phase phase = flow_phase::asked;
    /// The entry waits to hear whether the target holds the flow.
    bool claim_due = false;
    /// The packet that was passed on was sent to other targets, too.
    bool asked_around = false;
    /// What the flow's route says of its requests.
    request_policy policy;
    /// When the client began to open the flow, as far as it is known.
    time_point began_at{};
    bool request_under_way = false;
    /// End of the client's data that was seen; later data is a new request
    /// where none is under way.
    std::uint32_t client_end = 0;
    bool client_spoke = false;
    /// The client's latest acknowledgement.
    std::optional<std::uint32_t> client_acknowledged;
    /// Packets of a request that waits at the gate.
    std::vector<std::string> held;
    bool client_finished = false;
    bool target_finished = false;
    time_point target_heard_at{};
    std::uint32_t sequence = 0;
    time_point heard_at{};
  };

  struct due_flow {
    time_point at;
    flow_address flow;
  };

  void OnDelivery(time_point now,
                  const endpoint& entry,
                  const mesh_message& message);
  void OnQuestions(time_point now,
                   const endpoint& entry,
                   const mesh_message& message);
  void OnListFlows(time_point now,
                   const endpoint& entry,
                   const mesh_message& message);
  flow_verdict Judge(time_point now,
                     const endpoint& entry,
                     const flow_question& question,
                     std::int64_t born_ms);
  void OnReturned(time_point now, const flow_packet& packet);
  void OnAnswer(time_point now, const flow_packet& packet);
  void Answer(time_point now,
              mesh_kind kind,
              const endpoint& entry,
              const flow_address& flow,
              std::string_view packet,
              bool wrong_service,
              std::uint32_t sequence);
  void HandOver(time_point now, const flow_packet& packet);
  /// Tells the client of an open flow that its target has ended.
  void TellClient(const flow_address& flow);
  /// @return whether the packet waits for the target to have room.
  bool Hold(time_point now, flow_record& record, const flow_packet& packet);
  void EndRequest(time_point now,
                  const flow_address& flow,
                  flow_record& record,
                  bool answered);
  /// Hands on requests that waited, as far as the target has room.
  void ReleaseHeld(time_point now);
  void SetPhase(flow_record& record, flow_phase phase);
  flow_record& Insert(time_point now, const flow_address& flow);
  void Remove(time_point now, const flow_address& flow);
  /// @param born_ms when the target started; 0 when not known.
  bool KnowsAllFlows(time_point now, std::int64_t born_ms) const;

  packet_agent_settings settings_;
  const packet_format& format_;
  packet_agent_effects& effects_;
  counters& counters_;
  time_point started_at_;
  bool stopping_ = false;
  time_point stopped_at_{};
  /// There was no target at some time since the start.
  bool target_was_absent_ = false;
  /// When an entry told last that the target is leaving.
  time_point leaving_told_at_{};
  /// When the first packet was handed over that nothing has followed.
  time_point unanswered_since_{};
  /// Start of a target that an entry has known for longer than this agent runs.
  std::int64_t older_born_ms_ = 0;
  std::uint32_t open_flows_ = 0;
  load_average busy_;
  request_scheduler gate_;
  std::unordered_map<flow_address, flow_record, flow_address_hash> flows_;
  std::deque<due_flow> expiries_;
  std::unordered_map<endpoint, time_point, endpoint_hash> entries_;
};

}  // namespace corianderplank
