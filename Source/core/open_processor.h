/// @file
/// Processing of open packets and of fence requests.
#pragma once

#include <unordered_map>

#include "core/request_agent_state.h"
#include "core/request_processor.h"

namespace corianderplank {

/// Reserves a flow for an open, forwards the open to a sibling agent, or
/// resumes a flow of another agent. Fences flows that other agents resume.
class open_processor {
 public:
  /// @param state shared state of the agent; must outlive this object.
  /// @param requests request processor of the agent; must outlive this object.
  open_processor(request_agent_state& state, request_processor& requests)
      : state_(state), requests_(requests) {}

  /// @param now current time of the monotonic clock.
  /// @param header the envelope around the packet.
  /// @param value the open packet.
  void OnOpen(time_point now, const envelope& header, const packet& value);

  /// Fences a flow that another agent resumes.
  /// @param request the request of the other agent.
  /// @return which requests were started; `found` is false if the token is
  ///     invalid or the flow is unknown.
  fence_reply OnFenceRequest(const fence_request& request);

  /// @param now current time of the monotonic clock.
  /// @param resume_id the number passed to RequestFence; a late reply is
  ///     ignored.
  /// @param reply the reply of the previous agent, or one with `found` false if
  ///     it could not be reached.
  void OnFenceReply(time_point now,
                    std::uint64_t resume_id,
                    const fence_reply& reply);

  /// Resumes flows whose previous agent did not reply within the timeout.
  /// @param now current time of the monotonic clock.
  void Tick(time_point now);

 private:
  struct pending_resume {
    std::uint64_t id = 0;
    time_point fence_deadline;
    envelope header;
    packet open;
  };

  /// @return whether the open is done with. If not, the flow is fenced or was
  ///     removed, and `known` may be invalid.
  bool ReplyForKnownFlow(const envelope& header,
                         const packet& value,
                         flow_record& known);
  bool ForwardOpen(time_point now, const envelope& header, const packet& value);
  void Resume(time_point now, const envelope& header, const packet& value);
  void Accept(time_point now,
              const envelope& header,
              const packet& value,
              const fence_reply& fence);
  void RefuseOpen(const envelope& header,
                  const packet& value,
                  result_code code);
  void SendOpened(const envelope& header,
                  const flow_record& flow,
                  std::uint16_t attempt);

  request_agent_state& state_;
  request_processor& requests_;
  std::uint64_t next_resume_id_ = 1;
  std::unordered_map<flow_id, pending_resume, identifier_hash> pending_resumes_;
};

}  // namespace corianderplank
