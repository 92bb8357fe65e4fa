/// @file
/// What an agent tells callers about their requests.
#pragma once

#include "core/request_agent_state.h"

namespace corianderplank {

/// Sends answers, refusals and progress from the tables alone.
class request_replies {
 public:
  /// @param state the agent's tables.
  explicit request_replies(request_agent_state& state) : state_(state) {}

  /// Tells the state of a request whose copy arrived.
  /// @param flow the request's flow.
  /// @param record the request.
  void SendState(const flow_record& flow, request_record& record);

  /// @param flow the request's flow.
  /// @param record a refused request.
  void SendRefusal(const flow_record& flow, const request_record& record);

  /// Sends the fragments of the answer that are due.
  /// @param now the present time.
  /// @param record the request.
  void SendDue(time_point now, request_record& record);

 private:
  request_agent_state& state_;
};

}  // namespace corianderplank
