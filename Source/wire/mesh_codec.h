/// @file
/// Codec for messages between entries and agents on the packet path.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/mesh_message.h"

namespace corianderplank {

/// Encodes messages into a buffer that is used again.
class mesh_encoder {
 public:
  mesh_encoder();
  ~mesh_encoder();
  mesh_encoder(const mesh_encoder&) = delete;
  mesh_encoder& operator=(const mesh_encoder&) = delete;

  /// @param message a message.
  /// @return its bytes, valid until the next call.
  std::string_view Encode(const mesh_message& message);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// @param bytes a datagram; not checked for alignment by the caller.
/// @return the message, or nothing when the bytes are none. Its payload lies
///     in `bytes`.
std::optional<mesh_message> DecodeMesh(std::string_view bytes);

/// @param update what an entry has read.
/// @param now the present time; cold and gone times are sent as durations.
/// @return its bytes.
std::string EncodeFleetUpdate(const fleet_update& update, time_point now);

/// @param bytes what a peer sent.
/// @param now the present time.
/// @return the update, or nothing when the bytes are none.
std::optional<fleet_update> DecodeFleetUpdate(std::string_view bytes,
                                              time_point now);

}  // namespace corianderplank
