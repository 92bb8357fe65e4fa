/// @file
/// The decisions of an entry: which agent gets a packet, which caller an
/// answer.
#pragma once

#include <memory>

#include "core/counters.h"
#include "core/flow_locator.h"
#include "core/packet.h"
#include "core/request_agent_effects.h"
#include "core/target_picker.h"

namespace corianderplank {

/// What an entry asks of its surroundings.
class request_entry_effects {
 public:
  virtual ~request_entry_effects() = default;

  /// @param agent where to send.
  /// @param value the envelope with the caller's packet inside.
  virtual void SendToAgent(const endpoint& agent, const envelope& value) = 0;

  /// @param service the service from whose address to send.
  /// @param caller where to send.
  /// @param datagram an encoded packet.
  virtual void SendToCaller(service_id service,
                            const endpoint& caller,
                            std::string_view datagram) = 0;

  /// @param service the service from whose address to send.
  /// @param caller where to send.
  /// @param value the entry's own reply to a packet.
  /// @param request_bytes size of the datagram that it answers; the reply is
  ///     dropped when it is larger.
  virtual void ReplyToCaller(service_id service,
                             const endpoint& caller,
                             const packet& value,
                             std::size_t request_bytes) = 0;

  /// A caller told how work ended that was not answered.
  /// @param service the service.
  /// @param event the flow, the work and the reason.
  virtual void RecordVerdict(service_id service, const flow_event& event) = 0;

  /// A peer has a newer document than this process.
  /// @param peer control endpoint of the peer.
  virtual void FetchDocumentFrom(const endpoint& peer) = 0;
};

/// An entry. Keeps no state for each flow.
class request_entry {
 public:
  /// @param self where agents send packets for callers.
  /// @param control_port port from which peers fetch the document.
  /// @param effects receives what the entry decides.
  /// @param locator finds the owner of a flow.
  /// @param picker places new flows.
  /// @param counters counts refusals and drops.
  request_entry(const endpoint& self,
                std::uint16_t control_port,
                request_entry_effects& effects,
                const flow_locator& locator,
                target_picker& picker,
                counters& counters);

  /// Uses a new table from now on.
  /// @param table the table; shared with the thread that built it.
  void UseTable(std::shared_ptr<const routing_table> table);

  /// Handles a datagram from a caller.
  /// @param now the present time.
  /// @param arrived_at when the datagram reached this process's socket.
  /// @param service the service at whose address the datagram arrived.
  /// @param caller who sent it.
  /// @param value the decoded packet.
  /// @param datagram the packet's bytes.
  void OnCallerPacket(time_point now,
                      time_point arrived_at,
                      service_id service,
                      const endpoint& caller,
                      const packet& value,
                      std::string_view datagram);

  /// Handles an envelope from an agent.
  /// @param now the present time.
  /// @param arrived_at when the envelope reached this process's socket.
  /// @param from the agent's endpoint.
  /// @param value the decoded envelope.
  void OnAgentEnvelope(time_point now,
                       time_point arrived_at,
                       const endpoint& from,
                       const envelope& value);

 private:
  bool IsStale(time_point now, time_point arrived_at);
  void Forward(const route_target& target,
               service_id service,
               const endpoint& caller,
               std::string_view datagram);
  void TakeVerdict(service_id service,
                   const endpoint& caller,
                   const packet& value,
                   std::size_t request_bytes);
  void PlaceOpen(time_point now,
                 const service_routes& routes,
                 const endpoint& caller,
                 const packet& value,
                 std::string_view datagram);

  endpoint self_;
  std::uint16_t control_port_;
  request_entry_effects& effects_;
  const flow_locator& locator_;
  target_picker& picker_;
  counters& counters_;
  std::shared_ptr<const routing_table> table_;
};

}  // namespace corianderplank
