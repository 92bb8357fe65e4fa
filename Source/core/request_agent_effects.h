/// @file
/// Interface between an agent of the token/request protocol and its
/// environment.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/packet.h"

namespace corianderplank {

/// One call to the backend server.
struct execution {
  /// Identifies the call in OnExecutionResult and CancelExecution.
  std::uint64_t id = 0;
  std::uint64_t request_id = 0;
  flow_id flow;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  /// First message of a feed, or index of an upload's chunk.
  std::uint64_t position = 0;
  /// Number of feed messages that remain, 0 for an endless feed.
  std::uint32_t count = 0;
  std::chrono::milliseconds timeout{0};
  std::string_view payload;
};

/// How a call to the backend server ended.
enum class execution_status : std::uint8_t {
  completed,    ///< The backend server answered.
  unreachable,  ///< No byte of the request was sent.
  shed,         ///< The backend server replied that it did not run the request.
  lost,         ///< The connection broke or timed out after sending.
};

/// Result of a call to the backend server.
struct execution_result {
  execution_status status = execution_status::lost;
  /// Answer of a request or of an upload's chunk.
  std::string body;
  /// Messages of a feed, from the requested position on.
  std::vector<std::string> messages;
  /// Wait before the next call that the backend server suggests, 0 if none.
  std::chrono::milliseconds retry_after{0};
};

/// Request to the previous agent of a flow to start no further request of it.
struct fence_request {
  flow_id flow;
  flow_token token;
  /// First sequence number that the reply covers.
  std::uint32_t oldest_sequence = 0;
};

/// Confirmation of the previous agent that it starts no further request of a
/// flow.
struct fence_reply {
  /// The flow was in the table. If false, it is unknown which requests started.
  bool found = false;
  /// Bit i is set if the request with sequence number oldest_sequence + i was
  /// started.
  std::uint64_t started = 0;
};

/// Event that a report must account for: a refusal, an unknown outcome, a
/// broken flow or a move.
struct flow_event {
  flow_id flow;
  std::uint64_t request_id = 0;
  result_code code = result_code::answered;
};

/// Performs the effects that an agent decides on. All functions are called on
/// the thread that calls the agent.
class request_agent_effects {
 public:
  virtual ~request_agent_effects() = default;

  /// Sends a packet to a caller through an entry.
  /// @param entry address of the entry.
  /// @param header the envelope without the packet.
  /// @param value the packet to encode into the envelope.
  virtual void SendToCaller(const endpoint& entry,
                            const envelope& header,
                            const packet& value) = 0;

  /// @param to address of an agent or entry.
  /// @param value the complete envelope.
  virtual void SendEnvelope(const endpoint& to, const envelope& value) = 0;

  /// Starts a call to the backend server; the result goes to OnExecutionResult.
  /// @param call the call; its payload is valid only until the function
  ///     returns.
  virtual void StartExecution(const execution& call) = 0;

  /// Cancels a call. Its result must still be delivered, because the slot is
  /// released only then.
  /// @param id the `execution::id` of a running call.
  virtual void CancelExecution(std::uint64_t id) = 0;

  /// Sends a fence request; the reply goes to OnFenceReply.
  /// @param resume_id number to pass to OnFenceReply.
  /// @param control control endpoint of the previous agent.
  /// @param request the request to send.
  virtual void RequestFence(std::uint64_t resume_id,
                            const endpoint& control,
                            const fence_request& request) = 0;

  /// Fetches a newer document from another process.
  /// @param peer control endpoint of the process.
  virtual void FetchDocumentFrom(const endpoint& peer) = 0;

  /// @param event a refusal, an unknown outcome, a broken flow or a move.
  virtual void RecordEvent(const flow_event& event) = 0;
};

}  // namespace corianderplank
