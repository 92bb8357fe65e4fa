/// @file
/// Test fixture: one entry with a fleet snapshot of some targets.
#pragma once

#include <memory>
#include <string>

#include "packet_recorder.h"

namespace corianderplank {

inline const time_point kStart = time_point() + std::chrono::hours(1);
inline const service_id kService = ServiceIdOf("service");
inline const service_id kOtherService = ServiceIdOf("other");
inline const std::uint64_t kOwnFailureDomain = HashName("zone");
inline const flow_address kFlow{{100, 40001}, {200, 443}};

/// A packet_entry whose snapshot lists `targets` targets of kService and then
/// `others` targets of kOtherService, on machines numbered from 1.
struct entry_fixture {
  explicit entry_fixture(std::uint32_t targets,
                         std::uint32_t others = 0,
                         const packet_entry_limits& limits = {})
      : entry(kOwnFailureDomain, format, effects, counted, limits) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = 1;
    configuration->routes[kFlow.service].shares = {{kService, 1}};
    configuration->services = {kService, kOtherService};
    snapshot.configuration = configuration;
    for (std::uint32_t index = 1; index <= targets + others; ++index) {
      fleet_target item;
      item.id = {index * 7919ULL};
      item.address = {index, 8080};
      item.service = index <= targets ? kService : kOtherService;
      item.failure_domain = kOwnFailureDomain;
      item.slots = 4;
      snapshot.targets.push_back(item);
    }
    snapshot.knows_all_holders = true;
    Confirm(kStart);
  }

  /// Passes the snapshot to the entry, confirmed at `now`.
  void Confirm(time_point now) {
    snapshot.confirmed_at = now;
    entry.OnSnapshot(now, std::make_shared<fleet_snapshot>(snapshot));
  }

  /// @return a packet of kFlow from its client.
  static flow_packet Packet() {
    flow_packet packet;
    packet.source = kFlow.client;
    packet.destination = kFlow.service;
    return packet;
  }

  void SendOpening(time_point now, std::uint32_t copies = 0) {
    flow_packet packet = Packet();
    packet.synchronize = true;
    packet.copies = copies;
    packet.acknowledgement = copies;
    entry.OnClientDatagram(now, plain_format::Encode(packet));
    entry.Flush();
  }

  void SendData(time_point now, std::uint32_t acknowledgement = 501) {
    flow_packet packet = Packet();
    packet.acknowledge = true;
    packet.acknowledgement = acknowledgement;
    packet.payload_bytes = 10;
    packet.sequence = 1;
    entry.OnClientDatagram(now, plain_format::Encode(packet));
    entry.Flush();
  }

  void SendAgentMessage(time_point now,
                        machine_address machine,
                        mesh_kind kind,
                        std::uint32_t sequence = 0,
                        const std::string& packet = {}) {
    mesh_message message;
    message.kind = kind;
    message.flow = kFlow;
    message.sequence = sequence;
    message.payload = packet;
    entry.OnAgentMessage(now, machine, message);
    entry.Flush();
  }

  void SendQueryResult(time_point now,
                       machine_address machine,
                       flow_query_result result) {
    mesh_message message;
    message.kind = mesh_kind::flow_query_results;
    message.queries = {{kFlow, 0, result}};
    entry.OnAgentMessage(now, machine, message);
    entry.Flush();
  }

  void DenyAll(time_point now) {
    // A denial widens the search and so appends to the list during the loop.
    for (std::size_t index = 0; index < effects.deliveries.size(); ++index) {
      SendAgentMessage(now, effects.deliveries[index].machine,
                       mesh_kind::denied);
    }
  }

  plain_format format;
  entry_recorder effects;
  counters counted;
  fleet_snapshot snapshot;
  packet_entry entry;
};

}  // namespace corianderplank
