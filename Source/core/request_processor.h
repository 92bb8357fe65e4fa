/// @file
/// Admission, execution and answering of the requests of open flows.
#pragma once

#include <cstdint>

#include "core/admission_queue.h"
#include "core/backend_monitor.h"
#include "core/request_agent_state.h"
#include "core/request_replies.h"
#include "core/slot_ramp.h"

namespace corianderplank {

/// Admits requests, starts them at the backend server and sends the answers.
/// No other class starts a request.
class request_processor {
 public:
  /// @param state shared state of the agent; must outlive this object.
  explicit request_processor(request_agent_state& state)
      : state_(state), replies_(state) {}

  /// Applies the limits of a new document.
  /// @param now current time of the monotonic clock; the first call starts the
  ///     warm-up of the backend server.
  /// @param configuration the agent's service in the document.
  void Configure(time_point now, const service& configuration);

  /// @param now current time of the monotonic clock.
  /// @param arrived_at a time of the monotonic clock at or before the arrival
  ///     of the packet. The deadline counts from it, so that a packet that
  ///     waited in a socket buffer does not run after its deadline.
  /// @param flow the flow of the request; its token has been verified.
  /// @param value the request packet.
  void OnRequest(time_point now,
                 time_point arrived_at,
                 flow_record& flow,
                 const packet& value);

  /// Records which fragments of an answer the caller has received.
  /// @param now current time of the monotonic clock.
  /// @param flow the flow of the request; its token has been verified.
  /// @param value the acknowledge packet.
  void OnAcknowledge(time_point now, flow_record& flow, const packet& value);

  /// Cancels a request. If the request has not arrived, a tombstone makes sure
  /// that it is refused when it does.
  /// @param now current time of the monotonic clock.
  /// @param flow the flow of the request; its token has been verified.
  /// @param value the cancel packet.
  void OnCancel(time_point now, flow_record& flow, const packet& value);

  /// @param now current time of the monotonic clock.
  /// @param id the `execution::id` passed to StartExecution; a result for a
  ///     removed request is ignored.
  /// @param result how the call to the backend server ended.
  void OnExecutionResult(time_point now,
                         std::uint64_t id,
                         execution_result result);

  /// Fences a flow: refuses its queued requests, ends its feeds and starts no
  /// further request of it.
  /// @param flow the flow, which continues at another agent.
  /// @param oldest first sequence number that the result covers.
  /// @return bit i is set if the request with sequence number oldest + i was
  ///     started or its outcome is unknown.
  std::uint64_t Fence(flow_record& flow, std::uint32_t oldest);

  /// Removes the requests of a flow whose lease has expired or whose caller
  /// closed it before all answers arrived. Answers that were not acknowledged
  /// do not count as answered.
  /// @param flow the flow; its record stays in the flow table.
  void Expire(flow_record& flow);

  /// Removes the requests of a flow that its caller has finished with.
  /// @param flow the flow; its record stays in the flow table.
  void Abandon(flow_record& flow);

  /// @param flow a flow of this agent.
  /// @return whether any of its requests is queued, running or answering.
  bool HasUnfinished(const flow_record& flow);

  /// Refuses queued requests whose deadline has passed, starts queued requests
  /// while slots are free and sends answer fragments that are due.
  /// @param now current time of the monotonic clock.
  void Tick(time_point now);

  /// Computes the load that the agent reports and stores it in the state.
  /// @param now current time of the monotonic clock.
  void UpdateLoad(time_point now);

  /// @return number of requests that are queued or running, without feeds.
  std::uint32_t QueuedOrRunning() const;
  /// @param now current time of the monotonic clock.
  /// @return whether the backend server is suspended because its calls fail.
  bool IsBackendSuspended(time_point now) const {
    return backend_monitor_.IsSuspended(now);
  }
  /// Restarts the warm-up: the backend server is in use again after a
  /// suspension and may have restarted.
  /// @param now current time of the monotonic clock.
  void OnBackendRecovered(time_point now) { slot_ramp_.Restart(now); }
  /// @return number of requests that occupy a slot.
  std::uint32_t Running() const { return occupied_slots_; }
  /// @return number of open feeds.
  std::uint32_t Feeds() const { return open_feeds_; }

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
  void AppendFeedMessages(time_point now,
                          request_handle handle,
                          request_record& record,
                          std::vector<std::string> messages);
  void ReleaseFeed(request_record& record);
  void MarkAnswered(request_record& record);
  std::uint32_t AllowedSlots(time_point now) const;

  request_agent_state& state_;
  request_replies replies_;
  admission_queue admission_queue_;
  backend_monitor backend_monitor_;
  std::uint32_t occupied_slots_ = 0;
  std::uint32_t open_feeds_ = 0;
  slot_ramp slot_ramp_;
};

}  // namespace corianderplank
