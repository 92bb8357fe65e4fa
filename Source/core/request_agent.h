/// @file
/// The decisions of an agent: the owner of its flows and requests.
#pragma once

#include <cstdint>
#include <optional>

#include "core/load_reporter.h"
#include "core/open_processor.h"
#include "core/request_agent_effects.h"
#include "core/request_agent_state.h"
#include "core/request_processor.h"

namespace corianderplank {

/// Why an agent drains. Reasons may hold together.
enum class drain_reason : std::uint8_t {
  signal = 1,         ///< The process was asked to stop.
  document = 2,       ///< The document no longer has the target.
  instance_list = 4,  ///< The platform lists the target as leaving.
  backend = 8,        ///< The backend server says that it is leaving.
  failing = 16,       ///< Calls to the backend server fail.
};

/// What an agent holds at a moment.
struct request_agent_summary {
  lifecycle_state state = lifecycle_state::starting;
  std::size_t flows = 0;
  std::size_t requests = 0;
  std::uint32_t running = 0;
  std::uint32_t feeds = 0;
  std::uint32_t load_permille = 0;
  std::uint8_t drain_reasons = 0;
};

/// An agent.
class request_agent {
 public:
  /// @param identity who the agent is.
  /// @param effects receives what the agent decides.
  /// @param counters counts refusals, drops and retries.
  request_agent(const request_agent_identity& identity,
                request_agent_effects& effects,
                counters& counters);

  /// Uses a document and an instance list from now on.
  /// @param now the present time.
  /// @param document the document in force.
  /// @param instances the newest instance list.
  void Configure(time_point now,
                 const environment_document& document,
                 const instance_list& instances);

  /// Starts or ends a reason to drain.
  /// @param reason the reason.
  /// @param active whether it holds.
  void SetDrain(drain_reason reason, bool active);

  /// Handles a caller's packet.
  /// @param now the present time.
  /// @param arrived_at a time at or before its arrival.
  /// @param header the envelope in which it came.
  /// @param value the decoded packet.
  void OnPacket(time_point now,
                time_point arrived_at,
                const envelope& header,
                const packet& value);

  /// Handles a sibling's load.
  /// @param now the present time.
  /// @param arrived_at when it reached this process's socket.
  /// @param from the sibling's address.
  /// @param value the report.
  void OnLoadReport(time_point now,
                    time_point arrived_at,
                    const endpoint& from,
                    const envelope& value);

  /// @param now the present time.
  /// @param id the execution.
  /// @param result how it ended.
  void OnExecutionResult(time_point now,
                         std::uint64_t id,
                         execution_result result);

  /// @param request a sibling's request to continue a flow.
  /// @return the promise.
  fence_reply OnFenceRequest(const fence_request& request);

  /// @param now the present time.
  /// @param resume_id the number that was given to RequestFence.
  /// @param reply the old agent's promise.
  void OnFenceReply(time_point now,
                    std::uint64_t resume_id,
                    const fence_reply& reply);

  /// Runs every system once.
  /// @param now the present time.
  void Tick(time_point now);

  /// Replaces the policy of load reports, for measurements.
  /// @param threshold_permille the change that is told, in thousandths of the
  ///     slots; 0 to report as often as the budget allows.
  /// @param reports_per_second reports allowed on average; 0 for none.
  void SetReporting(std::uint32_t threshold_permille,
                    double reports_per_second);

  /// @return what the agent holds.
  request_agent_summary Summary() const;

 private:
  void OnFlowPacket(time_point now,
                    time_point arrived_at,
                    const envelope& header,
                    const packet& value);
  void RefuseUnknownFlow(const envelope& header, const packet& value);
  void Answer(const flow_record& flow, packet_kind kind);
  void AdvanceLeaseClock(time_point now);
  void SweepFlows(time_point now);
  bool ShouldRemove(flow_record& flow);
  void RequestMove(time_point now, flow_record& flow);
  void UpdateBackendDrain(time_point now);
  std::uint32_t ReportThreshold() const;
  void ReportLoad(time_point now);

  request_agent_state state_;
  request_processor requests_;
  open_processor opens_;
  load_reporter reporter_;
  std::optional<std::uint32_t> fixed_threshold_permille_;
  std::uint8_t drain_reasons_ = 0;
  time_point swept_at_;
  time_point clock_at_;
};

}  // namespace corianderplank
