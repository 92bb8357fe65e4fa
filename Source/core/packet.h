/// @file
/// Typed messages of the packet path. Payloads are views of the receive buffer.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/identifiers.h"
#include "core/result_code.h"

namespace corianderplank {

/// Version of the protocol; a datagram with another one is dropped.
inline constexpr std::uint8_t kProtocolVersion = 1;
/// Largest datagram of a caller, in bytes.
inline constexpr std::size_t kMaxPacketBytes = 1400;
/// Largest payload of one packet, in bytes.
inline constexpr std::size_t kMaxPayloadBytes = 1100;
/// Opens are padded to this size so that no reply is larger, in bytes.
inline constexpr std::size_t kOpenPaddingBytes = 160;
/// Datagrams that were older when they were read, as after a suspension of the
/// process, are dropped: the sender has repeated them elsewhere, and the load
/// that they report is outdated.
inline constexpr std::chrono::milliseconds kStaleAfter{1000};
/// Sequence numbers of one flow that may be unfinished at a time.
inline constexpr std::uint32_t kWindowSize = 64;

/// Names the agent that owns a flow; opaque to callers.
struct flow_token {
  target_id target;
  service_id service;
  incarnation_id incarnation;
  /// Number of the reservation; tells two flows of the same identifier apart.
  std::uint64_t serial = 0;
  std::uint64_t mac = 0;
  bool operator==(const flow_token&) const = default;
};

/// Kinds of packets between a caller and an agent.
enum class packet_kind : std::uint8_t {
  open = 1,     ///< Caller asks for a flow; may carry the token of the old one.
  opened,       ///< Agent has reserved a place; carries the token.
  request,      ///< Caller asks for work.
  progress,     ///< Agent has the request and is not done with it.
  answer,       ///< One fragment of an answer, or one message of a feed.
  acknowledge,  ///< Caller has fragments below `fragment` and `selective`.
  cancel,       ///< Caller no longer wants the request.
  refused,      ///< Agent says why a request or an open fails.
  move,         ///< Agent asks the caller to continue the flow elsewhere.
  ping,         ///< Caller asks whether the flow is alive.
  pong,         ///< Agent says that it is.
  close,        ///< Caller is done with the flow.
  verdict,      ///< Caller tells how work ended that was not answered.
  noted,        ///< Entry has recorded the verdict.
};

/// Kinds of work.
enum class work_kind : std::uint8_t {
  request = 0,  ///< One request, one answer.
  feed,         ///< One request, a stream of messages from a position on.
  upload,       ///< One chunk of an upload.
};

/// A packet between a caller and an agent; passed through by entries.
struct packet {
  packet_kind kind = packet_kind::ping;
  service_id service;
  flow_id flow;
  std::optional<flow_token> token;
  /// Number of the try, for opens and their replies.
  std::uint16_t attempt = 0;
  std::uint32_t sequence = 0;
  /// Every sequence number below this one is finished at the caller.
  std::uint32_t oldest_sequence = 0;
  /// The caller's own number for the piece of work, kept over tries.
  std::uint64_t request_id = 0;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  /// In opened: the old agent has confirmed that it starts nothing any more.
  bool fenced = false;
  /// In answer: no fragment follows.
  bool last = false;
  /// In open: why the flow moves, if it does. In refused: why.
  result_code code = result_code::answered;
  /// In request: time left. In refused: when to try again.
  std::chrono::milliseconds time{0};
  std::uint32_t fragment = 0;
  /// In acknowledge: bit i stands for fragment + 1 + i. In opened: bit i says
  /// that sequence number oldest_sequence + i was started by the old agent.
  std::uint64_t selective = 0;
  /// In request: first message of a feed, or number of the chunk.
  std::uint64_t position = 0;
  /// In request: messages wanted of a feed, 0 for no end.
  std::uint32_t count = 0;
  std::string_view payload;
};

/// Kinds of envelopes between the system's own processes.
enum class envelope_kind : std::uint8_t {
  to_agent = 1,  ///< An entry or a sibling passes on a caller's packet.
  to_caller,     ///< An agent passes a packet to a caller through an entry.
  load_report,   ///< An agent tells its load; no packet inside.
};

/// What the system's own processes put round a packet.
struct envelope {
  envelope_kind kind = envelope_kind::to_agent;
  service_id service;
  endpoint caller;
  /// The entry that received the caller's packet.
  endpoint entry;
  /// Revision of the document in force at the sender.
  revision_number revision;
  /// Control port of the sender, from which a document can be fetched.
  std::uint16_t control_port = 0;
  /// The agent that speaks, with its load in thousandths of its slots.
  target_id target;
  std::uint32_t load_permille = 0;
  bool serving = true;
  /// Agents that have passed an open on; told to the entry with the answer,
  /// so that it does not take their silence for a failure.
  std::array<target_id, 2> visited{};
  std::string_view inner;
};

}  // namespace corianderplank
