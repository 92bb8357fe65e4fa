/// @file
/// A simple packet format and effects that record decisions, for tests.
#pragma once

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "core/packet_agent.h"
#include "core/packet_entry.h"

namespace corianderplank {

/// Encodes a packet as a sequence of 64-bit numbers.
class plain_format : public packet_format {
 public:
  /// @param packet packet to encode; its `bytes` are ignored.
  /// @return the packet's datagram.
  static std::string Encode(const flow_packet& packet) {
    // Copies each field, since padding bytes of a struct are indeterminate.
    std::string bytes;
    const auto put = [&bytes](std::uint64_t value) {
      bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
    };
    put(packet.source.address);
    put(packet.source.port);
    put(packet.destination.address);
    put(packet.destination.port);
    put(static_cast<std::uint64_t>(packet.synchronize) |
        static_cast<std::uint64_t>(packet.acknowledge) << 1U |
        static_cast<std::uint64_t>(packet.finish) << 2U |
        static_cast<std::uint64_t>(packet.reset) << 3U |
        static_cast<std::uint64_t>(packet.returned) << 4U);
    put(packet.sequence);
    put(packet.acknowledgement);
    put(packet.copies);
    put(packet.payload_bytes);
    return bytes;
  }

  std::optional<flow_packet> Decode(std::string_view bytes) const override {
    constexpr std::size_t kFields = 9;
    std::uint64_t fields[kFields];
    if (bytes.size() != sizeof(fields)) {
      return std::nullopt;
    }
    std::memcpy(fields, bytes.data(), sizeof(fields));
    flow_packet packet;
    packet.source = {static_cast<std::uint32_t>(fields[0]),
                     static_cast<std::uint16_t>(fields[1])};
    packet.destination = {static_cast<std::uint32_t>(fields[2]),
                          static_cast<std::uint16_t>(fields[3])};
    packet.synchronize = (fields[4] & 1U) != 0;
    packet.acknowledge = (fields[4] & 2U) != 0;
    packet.finish = (fields[4] & 4U) != 0;
    packet.reset = (fields[4] & 8U) != 0;
    packet.returned = (fields[4] & 16U) != 0;
    packet.sequence = static_cast<std::uint32_t>(fields[5]);
    packet.acknowledgement = static_cast<std::uint32_t>(fields[6]);
    packet.copies = static_cast<std::uint32_t>(fields[7]);
    packet.payload_bytes = static_cast<std::uint16_t>(fields[8]);
    packet.bytes = bytes;
    return packet;
  }

  std::string EncodeReset(const flow_address& flow,
                          std::uint32_t sequence) const override {
    flow_packet packet;
    packet.source = flow.service;
    packet.destination = flow.client;
    packet.reset = true;
    packet.sequence = sequence;
    return Encode(packet);
  }

  std::string RestoreReturned(std::string_view bytes) const override {
    flow_packet packet = *Decode(bytes);
    packet.returned = false;
    return Encode(packet);
  }
};

/// A packet or a flow query that was sent to an agent.
struct sent_delivery {
  machine_address machine = 0;
  bool searching = false;
  service_id service;
  std::string packet;
  bool must_accept = false;
  domain_evacuation evacuation;
  std::uint32_t cold_flows_permille = 0;
};

/// Records the effects of an entry.
class entry_recorder : public packet_entry_effects {
 public:
  void SendToAgent(machine_address machine,
                   const mesh_message& message) override {
    for (const flow_query& item : message.queries) {
      deliveries.push_back({machine, true, message.service, {}, false, {}, 0});
      queried_flows.push_back(item.flow);
    }
    if (message.kind == mesh_kind::deliver) {
      deliveries.push_back({machine, message.searching, message.service,
                            std::string(message.payload), message.must_accept,
                            message.evacuation, message.cold_flows_permille});
    }
    ++messages;
  }
  void SendToClient(const endpoint& /*client*/,
                    std::string_view packet) override {
    resets.push_back(*plain_format().Decode(packet));
    resets.back().bytes = {};
  }
  void RequestConfirmation() override { ++confirmations; }
  void OnDecision(const flow_decision& /*decision*/) override {}

  /// Sent packets and flow queries; the latter have no packet.
  std::vector<sent_delivery> deliveries;
  std::vector<flow_address> queried_flows;
  std::size_t messages = 0;
  std::vector<flow_packet> resets;
  int confirmations = 0;
};

/// A message that was sent to an entry.
struct sent_entry_message {
  mesh_kind kind = mesh_kind::holds;
  endpoint entry;
  flow_address flow;
  bool wrong_service = false;
  std::uint32_t sequence = 0;
  agent_load load;
  std::string packet;
  std::vector<flow_query> queries;
  std::vector<std::uint32_t> flow_hashes;
  bool complete = false;
};

/// Records the effects of an agent.
class agent_recorder : public packet_agent_effects {
 public:
  void SendToTarget(std::string_view packet) override {
    to_target.emplace_back(packet);
  }
  void SendToClient(const endpoint& /*client*/,
                    std::string_view packet) override {
    to_client.emplace_back(packet);
  }
  void SendToEntry(const endpoint& entry,
                   const mesh_message& message) override {
    entry_messages.push_back(
        {message.kind, entry, message.flow, message.wrong_service,
         message.sequence, message.load, std::string(message.payload),
         message.queries, message.flows, message.complete});
  }

  void OnAnswered(std::chrono::milliseconds took) override {
    answered.push_back(took);
  }

  std::vector<std::chrono::milliseconds> answered;
  std::vector<std::string> to_target;
  std::vector<std::string> to_client;
  std::vector<sent_entry_message> entry_messages;
};

}  // namespace corianderplank
