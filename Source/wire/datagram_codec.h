/// @file
/// Encodes and decodes the datagrams of the packet path.
#pragma once

#include <memory>
#include <string_view>

#include "core/packet.h"
#include "core/result_code.h"

namespace corianderplank {

/// Encodes packets and envelopes. Reuses its buffer: a result is valid until
/// the next call, and no call allocates once the buffer has grown.
class datagram_encoder {
 public:
  datagram_encoder();
  ~datagram_encoder();
  datagram_encoder(const datagram_encoder&) = delete;
  datagram_encoder& operator=(const datagram_encoder&) = delete;

  /// @param value a packet; an open is padded to kOpenPaddingBytes.
  /// @return the datagram.
  std::string_view Encode(const packet& value);

  /// @param value an envelope with its inner packet encoded already.
  /// @return the datagram.
  std::string_view Encode(const envelope& value);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Decodes a caller's or agent's packet in place.
/// @param datagram the bytes; `result.payload` views them.
/// @param result receives the packet.
/// @return answered, or malformed, wrong_version or oversized.
result_code DecodePacket(std::string_view datagram, packet& result);

/// Decodes an envelope in place.
/// @param datagram the bytes; `result.inner` views them.
/// @param result receives the envelope.
/// @return answered, or malformed, wrong_version or oversized.
result_code DecodeEnvelope(std::string_view datagram, envelope& result);

}  // namespace corianderplank
