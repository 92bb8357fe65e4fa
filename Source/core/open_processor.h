/// @file
/// Takes opens: reserves, passes on, or resumes a flow of another agent.
#pragma once

#include <unordered_map>

#include "core/request_agent_state.h"
#include "core/request_processor.h"

namespace corianderplank {

/// Handles opens and the fencing of flows that move.
class open_processor {
 public:
  /// @param state the agent's tables.
  /// @param requests the agent's requests.
  open_processor(request_agent_state& state, request_processor& requests)
      : state_(state), requests_(requests) {}

  /// @param now the present time.
  /// @param header the envelope in which the open came.
  /// @param value the open.
  void OnOpen(time_point now, const envelope& header, const packet& value);

  /// Another agent asks to continue a flow that this agent owns.
  /// @param request the request.
  /// @return the promise, with found == false when the flow is not known.
  fence_reply OnFenceRequest(const fence_request& request);

  /// @param now the present time.
  /// @param resume_id the number that was given to RequestFence.
  /// @param reply the old agent's promise, or one with found == false.
  void OnFenceReply(time_point now,
                    std::uint64_t resume_id,
                    const fence_reply& reply);

  /// Goes on without the old agent once it was silent for too long.
  /// @param now the present time.
  void Tick(time_point now);

 private:
  struct pending_resume {
    std::uint64_t id = 0;
    time_point fence_deadline;
    envelope header;
    packet open;
  };

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
  std::unordered_map<flow_id, pending_resume, identifier_hash> pending_;
};

}  // namespace corianderplank
