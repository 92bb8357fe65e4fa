/// @file
/// Takes requests of open flows through admission, execution and answer.
#pragma once

#include <cstdint>

#include "core/admission_queue.h"
#include "core/backend_monitor.h"
#include "core/request_agent_state.h"
#include "core/request_replies.h"
#include "core/slot_ramp.h"

namespace corianderplank {

/// The only place where a request is started.
class request_processor {
 public:
  /// @param state the agent's tables.
  explicit request_processor(request_agent_state& state)
      : state_(state), replies_(state) {}

  /// Uses a document's limits from now on.
  /// @param now the present time; a cold start is counted from the first call.
  /// @param of the service.
  void Configure(time_point now, const service& of);

  /// @param now the present time.
  /// @param arrived_at a time at or before the packet's arrival; deadlines
  ///     count from it, so that a packet that lay in a buffer is not late-run.
  /// @param flow the flow.
  /// @param value the request.
  void OnRequest(time_point now,
                 time_point arrived_at,
                 flow_record& flow,
                 const packet& value);

  /// @param now the present time.
  /// @param flow the flow.
  /// @param value the acknowledgement.
  void OnAcknowledge(time_point now, flow_record& flow, const packet& value);

  /// @param flow the flow.
  /// @param value the cancellation.
  void OnCancel(time_point now, flow_record& flow, const packet& value);

  /// @param now the present time.
  /// @param id the execution.
  /// @param result how it ended.
  void OnExecutionResult(time_point now,
                         std::uint64_t id,
                         execution_result result);

  /// Stops everything of a flow that has not started, and its feeds.
  /// @param flow the flow.
  /// @param oldest first sequence number to tell about.
  /// @return bit i says that sequence number oldest + i was started.
  std::uint64_t Fence(flow_record& flow, std::uint32_t oldest);

  /// Drops everything of a flow whose caller is silent.
  /// @param flow the flow.
  void Expire(flow_record& flow);

  /// Drops everything of a flow whose caller is done with it.
  /// @param flow the flow.
  void Abandon(flow_record& flow);

  /// @param flow a flow.
  /// @return whether it has requests that are queued, running or answering.
  bool HasUnfinished(const flow_record& flow);

  /// Expires deadlines, starts what may start, repeats what is due.
  /// @param now the present time.
  void Tick(time_point now);

  /// Works out the load that the agent tells.
  /// @param now the present time.
  void UpdateLoad(time_point now);

  /// @return requests that are queued or running, without feeds.
  std::uint32_t QueuedOrRunning() const;
  /// @param now the present time.
  /// @return whether the backend server's results speak against new work.
  bool IsBackendSuspended(time_point now) const {
    return monitor_.IsSuspended(now);
  }
  /// The backend server is taken back after a suspension; it may be cold.
  /// @param now the present time.
  void OnBackendRecovered(time_point now) { ramp_.Restart(now); }
  /// @return requests that hold a slot.
  std::uint32_t Running() const { return running_; }
  /// @return feeds that are open.
  std::uint32_t Feeds() const { return feeds_; }

 private:
  void AdvanceBase(flow_record& flow, std::uint32_t oldest);
  request_handle FindSequence(const flow_record& flow, std::uint32_t sequence);
  void Admit(time_point now, flow_record& flow, request_handle handle);
  result_code ReasonToRefuse(time_point now,
                             const flow_record& flow,
                             const request_record& record) const;
  void Refuse(request_handle handle, result_code code);
  void Start(time_point now, request_handle handle, request_record& record);
  void StartQueuedRequests(time_point now);
  void ReleaseSlot(request_record& record);
  void FinishExecution(time_point now,
                       request_handle handle,
                       request_record& record,
                       execution_result result);
  void HandleLostExecution(time_point now,
                           request_handle handle,
                           request_record& record);
  void AppendFeed(time_point now,
                  request_handle handle,
                  request_record& record,
                  std::vector<std::string> messages);
  void ReleaseFeed(request_record& record);
  void CountAnswered(request_record& record);
  std::uint32_t AllowedSlots(time_point now) const;

  request_agent_state& state_;
  request_replies replies_;
  admission_queue queue_;
  backend_monitor monitor_;
  std::uint32_t running_ = 0;
  std::uint32_t feeds_ = 0;
  slot_ramp ramp_;
};

}  // namespace corianderplank
