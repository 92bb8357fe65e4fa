/// @file
/// What an agent asks of its surroundings, and what it is told in return.
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
  std::uint64_t id = 0;
  std::uint64_t request_id = 0;
  flow_id flow;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  std::uint64_t position = 0;
  std::uint32_t count = 0;
  std::chrono::milliseconds timeout{0};
  std::string_view payload;
};

/// How a call to the backend server ended.
enum class execution_status : std::uint8_t {
  completed,    ///< The backend server answered.
  unreachable,  ///< No byte of the request was sent.
  shed,         ///< The backend server said that it did not run the request.
  lost,         ///< The connection broke or timed out after sending.
};

/// Result of a call to the backend server.
struct execution_result {
  execution_status status = execution_status::lost;
  /// Answer of a request or of an upload's chunk.
  std::string body;
  /// Messages of a feed, from the wanted position on.
  std::vector<std::string> messages;
  /// When the backend server wants to be asked again, if it said so.
  std::chrono::milliseconds retry_after{0};
};

/// Asks an agent to start nothing more for a flow.
struct fence_request {
  flow_id flow;
  flow_token token;
  /// First sequence number that the answer tells about.
  std::uint32_t oldest_sequence = 0;
};

/// An agent's promise that it starts nothing more for a flow.
struct fence_reply {
  /// The flow was in the table; otherwise the past is not known.
  bool found = false;
  /// Bit i says that sequence number oldest_sequence + i was started.
  std::uint64_t started = 0;
};

/// Something that the analyst must be able to account for.
struct flow_event {
  flow_id flow;
  std::uint64_t request_id = 0;
  result_code code = result_code::answered;
};

/// Effects of an agent.
class request_agent_effects {
 public:
  virtual ~request_agent_effects() = default;

  /// @param entry the entry to send through.
  /// @param header the envelope; the packet goes inside.
  /// @param value the packet for the caller.
  virtual void SendToCaller(const endpoint& entry,
                            const envelope& header,
                            const packet& value) = 0;

  /// @param to an agent or entry.
  /// @param value the envelope, complete.
  virtual void SendEnvelope(const endpoint& to, const envelope& value) = 0;

  /// @param call the call; its payload is valid during this call only.
  virtual void StartExecution(const execution& call) = 0;

  /// @param id an execution whose result nobody waits for.
  virtual void CancelExecution(std::uint64_t id) = 0;

  /// @param resume_id number for the reply.
  /// @param control control endpoint of the old agent.
  /// @param request the request.
  virtual void RequestFence(std::uint64_t resume_id,
                            const endpoint& control,
                            const fence_request& request) = 0;

  /// @param peer control endpoint of a process with a newer document.
  virtual void FetchDocumentFrom(const endpoint& peer) = 0;

  /// @param event a refusal, an unknown outcome, a broken flow or a move.
  virtual void RecordEvent(const flow_event& event) = 0;
};

}  // namespace corianderplank
