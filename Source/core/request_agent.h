/// @file
/// Agent of the token/request protocol, which owns the flows and requests of
/// one target.
#pragma once

#include <cstdint>
#include <optional>

#include "core/load_reporter.h"
#include "core/open_processor.h"
#include "core/request_agent_effects.h"
#include "core/request_agent_state.h"
#include "core/request_processor.h"

namespace corianderplank {

/// Reasons why an agent drains, as bits: several may hold at the same time.
enum class drain_reason : std::uint8_t {
  signal = 1,         ///< The process received a stop signal.
  document = 2,       ///< The document does not contain the target.
  instance_list = 4,  ///< The instance list marks the target as leaving.
  backend = 8,        ///< The backend server reports that it is leaving.
  failing = 16,       ///< The backend server is suspended: calls fail.
};

/// Counts of an agent at one moment, for status pages and metrics.
struct request_agent_summary {
  lifecycle_state state = lifecycle_state::starting;
  std::size_t flows = 0;
  std::size_t requests = 0;
  /// Requests that occupy a slot.
  std::uint32_t running = 0;
  std::uint32_t feeds = 0;
  std::uint32_t load_permille = 0;
  /// Bits of `drain_reason`; 0 if the agent does not drain.
  std::uint8_t drain_reasons = 0;
};

/// Places flows, runs their requests and reports load to the sibling agents. It
/// reads no clock and does no I/O itself; the caller passes the time and
/// performs the effects. Not thread-safe.
class request_agent {
 public:
  /// @param identity identifiers and token secret of the agent.
  /// @param effects performs packets, calls and control requests; must outlive
  ///     this object.
  /// @param counters counts refusals, drops and retries; must outlive this
  ///     object.
  request_agent(const request_agent_identity& identity,
                request_agent_effects& effects,
                counters& counters);

  /// Applies a document and an instance list.
  /// @param now current time of the monotonic clock.
  /// @param document the document in force; it has been validated.
  /// @param instances the newest instance list.
  void Configure(time_point now,
                 const environment_document& document,
                 const instance_list& instances);

  /// Sets or clears a reason to drain. The agent drains while any is set.
  /// @param reason the reason that changes.
  /// @param active whether the reason holds.
  void SetDrain(drain_reason reason, bool active);

  /// Handles a packet of a caller.
  /// @param now current time of the monotonic clock.
  /// @param arrived_at a time of the monotonic clock at or before the arrival
  ///     of the packet.
  /// @param header the envelope around the packet.
  /// @param value the decoded packet.
  void OnPacket(time_point now,
                time_point arrived_at,
                const envelope& header,
                const packet& value);

  /// Handles a load report of a sibling. Reports older than `kStaleAfter` or
  /// from an address that is not the sibling's are counted and ignored.
  /// @param now current time of the monotonic clock.
  /// @param arrived_at when the report reached the socket of this process, on
  ///     the monotonic clock.
  /// @param from source address of the datagram.
  /// @param value the report.
  void OnLoadReport(time_point now,
                    time_point arrived_at,
                    const endpoint& from,
                    const envelope& value);

  /// @param now current time of the monotonic clock.
  /// @param id the `execution::id` passed to StartExecution; a result for a
  ///     removed request is ignored.
  /// @param result how the call to the backend server ended.
  void OnExecutionResult(time_point now,
                         std::uint64_t id,
                         execution_result result);

  /// Fences a flow that continues at another agent.
  /// @param request the request of the agent that resumes the flow.
  /// @return which requests were started; `found` is false if the token is
  ///     invalid or the flow is unknown.
  fence_reply OnFenceRequest(const fence_request& request);

  /// @param now current time of the monotonic clock.
  /// @param resume_id the number passed to RequestFence.
  /// @param reply the reply of the previous agent, or one with `found` false if
  ///     it could not be reached.
  void OnFenceReply(time_point now,
                    std::uint64_t resume_id,
                    const fence_reply& reply);

  /// Performs everything that is due: call periodically.
  /// @param now current time of the monotonic clock.
  void Tick(time_point now);

  /// Overrides the thresholds of load reports, for measurements.
  /// @param threshold_permille smallest change of load that is reported, in
  ///     thousandths of the slots; 0 to report as often as the budget allows.
  /// @param reports_per_second reports allowed on average; 0 for none.
  void SetReporting(std::uint32_t threshold_permille,
                    double reports_per_second);

  /// @return the present counts of the agent.
  request_agent_summary Summary() const;

 private:
  void OnFlowPacket(time_point now,
                    time_point arrived_at,
                    const envelope& header,
                    const packet& value);
  void RefuseUnknownFlow(const envelope& header, const packet& value);
  void SendWithoutPayload(const flow_record& flow, packet_kind kind);
  void AdvanceLeaseClock(time_point now);
  void SweepFlows(time_point now);
  bool ShouldRemove(flow_record& flow);
  void RequestMove(time_point now, flow_record& flow);
  void UpdateBackendDrain(time_point now);
  std::uint32_t ReportThreshold() const;
  void ReportLoad(time_point now);

  request_agent_state state_;
  request_processor request_processor_;
  open_processor open_processor_;
  load_reporter load_reporter_;
  std::optional<std::uint32_t> report_threshold_override_;
  std::uint8_t drain_reasons_ = 0;
  time_point last_sweep_;
  time_point lease_clock_updated_at_;
};

}  // namespace corianderplank
