/// @file
/// Packets of flows, whose payload only the two ends interpret.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/identifiers.h"

namespace corianderplank {

/// Identifies a flow by the endpoints of the client and of the service.
struct flow_address {
  endpoint client;
  endpoint service;
  auto operator<=>(const flow_address&) const = default;
};

/// @param flow flow to hash.
/// @return uniformly distributed hash; the same in every process.
std::uint64_t HashFlow(const flow_address& flow);

/// Hash functor for tables of flows.
struct flow_address_hash {
  std::size_t operator()(const flow_address& flow) const {
    return static_cast<std::size_t>(HashFlow(flow));
  }
};

/// A decoded packet. `bytes` is the whole datagram and refers to the caller's
/// buffer.
struct flow_packet {
  endpoint source;
  endpoint destination;
  bool synchronize = false;  ///< Opens the flow.
  bool acknowledge = false;
  bool finish = false;
  bool reset = false;
  bool returned = false;  ///< The target returned the packet.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  /// Opening packet: number of copies sent before it.
  std::uint32_t copies = 0;
  /// Opening packet: time since the client sent the first copy.
  std::chrono::milliseconds since_first_copy{0};
  std::uint16_t payload_bytes = 0;
  std::string_view bytes;

  /// @return the flow, if a client sent the packet.
  flow_address FromClient() const { return {source, destination}; }
  /// @return the flow, if a target sent the packet.
  flow_address FromTarget() const { return {destination, source}; }
};

/// Encoding of packets, implemented for each kind of packet network.
class packet_format {
 public:
  virtual ~packet_format() = default;

  /// @param bytes datagram; the packet refers to it.
  /// @return the packet; std::nullopt if the datagram is malformed.
  virtual std::optional<flow_packet> Decode(std::string_view bytes) const = 0;

  /// @param flow flow to reset.
  /// @param sequence sequence number that the client expects next.
  /// @return datagram that ends the flow at its client.
  virtual std::string EncodeReset(const flow_address& flow,
                                  std::uint32_t sequence) const = 0;

  /// @param bytes packet that a target returned.
  /// @return the packet as its sender wrote it.
  virtual std::string RestoreReturned(std::string_view bytes) const = 0;
};

}  // namespace corianderplank
