/// @file
/// Entry of the token/request protocol: routes packets between callers and
/// agents.
#pragma once

#include <memory>

#include "core/counters.h"
#include "core/flow_locator.h"
#include "core/packet.h"
#include "core/request_agent_effects.h"
#include "core/target_picker.h"

namespace corianderplank {

/// Performs the effects that an entry decides on. All functions are called on
/// the thread that calls the entry; arguments are valid only during the call.
class request_entry_effects {
 public:
  virtual ~request_entry_effects() = default;

  /// Sends an envelope to an agent.
  /// @param agent data endpoint of the agent.
  /// @param message envelope that contains the caller's packet.
  virtual void SendToAgent(const endpoint& agent, const envelope& message) = 0;

  /// Forwards an agent's packet to a caller.
  /// @param service service from whose address the packet is sent.
  /// @param caller endpoint of the caller.
  /// @param datagram encoded packet, sent unchanged.
  virtual void SendToCaller(service_id service,
                            const endpoint& caller,
                            std::string_view datagram) = 0;

  /// Sends a reply of the entry itself to a caller.
  /// @param service service from whose address the reply is sent.
  /// @param caller endpoint of the caller.
  /// @param reply packet to encode.
  /// @param request_bytes size of the datagram that is answered. A reply whose
  ///     encoding is larger is dropped.
  virtual void ReplyToCaller(service_id service,
                             const endpoint& caller,
                             const packet& reply,
                             std::size_t request_bytes) = 0;

  /// Records a caller's report on work that ended without an answer.
  /// @param service service whose address received the report.
  /// @param event flow, request and reason as reported by the caller. The
  ///     reason is a known result code other than `answered`.
  virtual void RecordVerdict(service_id service, const flow_event& event) = 0;

  /// Fetches the document of a peer that has a newer revision than this entry.
  /// @param peer control endpoint of the peer.
  virtual void FetchDocumentFrom(const endpoint& peer) = 0;
};

/// Forwards callers' packets to agents and agents' packets to callers. Keeps no
/// state per flow. Not thread-safe.
class request_entry {
 public:
  /// All references must outlive the entry.
  /// @param own_endpoint endpoint to which agents send packets for callers.
  /// @param control_port port of this process from which peers fetch the
  ///     document.
  /// @param effects performs the effects that the entry decides on.
  /// @param locator finds the target that holds an open flow.
  /// @param picker chooses the target of a new flow and receives the load
  ///     reported by agents.
  /// @param counters counts refused and dropped datagrams by result code.
  request_entry(const endpoint& own_endpoint,
                std::uint16_t control_port,
                request_entry_effects& effects,
                const flow_locator& locator,
                target_picker& picker,
                counters& counters);

  /// Replaces the routing table. Until the first call, every datagram is
  /// dropped as `unknown_service`.
  /// @param table immutable table; ownership is shared with the thread that
  ///     built it.
  void UseTable(std::shared_ptr<const routing_table> table);

  /// Handles a datagram from a caller. Datagrams that waited in the socket for
  /// `kStaleAfter` or longer are dropped.
  /// @param now current time of the monotonic clock.
  /// @param arrived_at time of the monotonic clock at which the datagram
  ///     reached this process's socket.
  /// @param service service at whose address the datagram arrived; packets of
  ///     another service are dropped.
  /// @param caller source endpoint of the datagram.
  /// @param received packet decoded from `datagram`.
  /// @param datagram encoded packet, forwarded unchanged; valid only during
  ///     the call.
  void OnCallerPacket(time_point now,
                      time_point arrived_at,
                      service_id service,
                      const endpoint& caller,
                      const packet& received,
                      std::string_view datagram);

  /// Handles an envelope from an agent. Envelopes that waited in the socket for
  /// `kStaleAfter` or longer are dropped.
  /// @param now current time of the monotonic clock.
  /// @param arrived_at time of the monotonic clock at which the envelope
  ///     reached this process's socket.
  /// @param from source endpoint of the envelope; it must be the agent of the
  ///     target that the envelope names.
  /// @param message decoded envelope; its packet is valid only during the call.
  void OnAgentEnvelope(time_point now,
                       time_point arrived_at,
                       const endpoint& from,
                       const envelope& message);

 private:
  bool IsStale(time_point now, time_point arrived_at);
  void Forward(const route_target& target,
               service_id service,
               const endpoint& caller,
               std::string_view datagram);
  void RecordVerdictReport(service_id service,
                           const endpoint& caller,
                           const packet& report,
                           std::size_t request_bytes);
  void PlaceOpen(time_point now,
                 const service_routes& routes,
                 const endpoint& caller,
                 const packet& open,
                 std::string_view datagram);

  endpoint own_endpoint_;
  std::uint16_t control_port_;
  request_entry_effects& effects_;
  const flow_locator& locator_;
  target_picker& picker_;
  counters& counters_;
  /// Null until the first call of UseTable.
  std::shared_ptr<const routing_table> table_;
};

}  // namespace corianderplank
