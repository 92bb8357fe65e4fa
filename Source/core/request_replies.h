/// @file
/// Packets from an agent to callers about their requests.
#pragma once

#include "core/request_agent_state.h"

namespace corianderplank {

/// Sends answers, refusals and progress as the agent's tables hold them.
class request_replies {
 public:
  /// @param state shared state of the agent; must outlive this object.
  explicit request_replies(request_agent_state& state) : state_(state) {}

  /// Replies to a repeated request packet: sends the refusal if the request was
  /// refused, progress if it is unfinished, and nothing once it is answered.
  /// @param flow flow of the request.
  /// @param record the request.
  void SendState(const flow_record& flow, request_record& record);

  /// @param flow flow of the request.
  /// @param record a request in request_state::refused.
  void SendRefusal(const flow_record& flow, const request_record& record);

  /// Sends the fragments of the answer that are due. Does nothing if the flow
  /// was removed.
  /// @param now current time of the monotonic clock.
  /// @param record the request.
  void SendDue(time_point now, request_record& record);

 private:
  request_agent_state& state_;
};

}  // namespace corianderplank
