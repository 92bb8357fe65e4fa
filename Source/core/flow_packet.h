/// @file
/// Packets of flows that only their two ends read.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/identifiers.h"

namespace corianderplank {

/// Names a flow: the client's end and the service's end.
struct flow_address {
  endpoint client;
  endpoint service;
  auto operator<=>(const flow_address&) const = default;
};

/// @param flow a flow.
/// @return a uniform number that is the same in every process.
std::uint64_t HashFlow(const flow_address& flow);

/// Hash functor for tables of flows.
struct flow_address_hash {
  std::size_t operator()(const flow_address& flow) const {
    return static_cast<std::size_t>(HashFlow(flow));
  }
};

/// One packet. `bytes` is the whole datagram, valid as long as its buffer.
struct flow_packet {
  endpoint source;
  endpoint destination;
  bool synchronize = false;  ///< Opens the flow.
  bool acknowledge = false;
  bool finish = false;
  bool reset = false;
  bool returned = false;  ///< A target gave the packet back.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  /// Of an opening packet: how many were sent before it.
  std::uint32_t copies = 0;
  /// Of an opening packet: time since the client sent the first copy.
  std::chrono::milliseconds since_first_copy{0};
  std::uint16_t payload_bytes = 0;
  std::string_view bytes;

  /// @return the flow, if a client sent the packet.
  flow_address FromClient() const { return {source, destination}; }
  /// @return the flow, if a target sent the packet.
  flow_address FromTarget() const { return {destination, source}; }
};

/// How packets are laid out; implemented for each kind of packet network.
class packet_format {
 public:
  virtual ~packet_format() = default;

  /// @param bytes a datagram.
  /// @return the packet, or nothing when the datagram is none.
  virtual std::optional<flow_packet> Decode(std::string_view bytes) const = 0;

  /// @param flow a flow.
  /// @param sequence the number that the client is to accept.
  /// @return a packet that ends the flow at its client.
  virtual std::string EncodeReset(const flow_address& flow,
                                  std::uint32_t sequence) const = 0;

  /// @param bytes a packet that a target gave back.
  /// @return the packet as its sender wrote it.
  virtual std::string RestoreReturned(std::string_view bytes) const = 0;
};

}  // namespace corianderplank
