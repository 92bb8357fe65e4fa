/// @file
/// Codec for messages between entries and agents on the packet path.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/mesh_message.h"

namespace corianderplank {

/// Encodes messages into a reused buffer. Not thread-safe.
class mesh_encoder {
 public:
  mesh_encoder();
  ~mesh_encoder();
  mesh_encoder(const mesh_encoder&) = delete;
  mesh_encoder& operator=(const mesh_encoder&) = delete;

  /// @param message message to encode; at most kMaxFlowQueries queries.
  /// @return the datagram; valid until the next call.
  std::string_view Encode(const mesh_message& message);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// @param bytes a datagram; need not be valid. One that is not aligned to 8
///     bytes is copied first.
/// @return the message, whose payload refers to `bytes`; std::nullopt if the
///     datagram is malformed or of another protocol version.
std::optional<mesh_message> DecodeMesh(std::string_view bytes);

/// @param update update to encode.
/// @param now current time of the monotonic clock; times are sent as durations
///     relative to it.
/// @return the encoded update.
std::string EncodeFleetUpdate(const fleet_update& update, time_point now);

/// @param bytes an encoded update from a peer; need not be valid. One that is
///     not aligned to 8 bytes is copied first.
/// @param now current time of the monotonic clock; received durations are
///     relative to it.
/// @return the update; std::nullopt if the bytes are malformed or of another
///     protocol version.
std::optional<fleet_update> DecodeFleetUpdate(std::string_view bytes,
                                              time_point now);

}  // namespace corianderplank
