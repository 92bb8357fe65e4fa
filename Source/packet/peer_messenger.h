/// @file
/// Sends messages to other entries and to agents; large groups of entries are
/// reached through relays.
#pragma once

#include <vector>

#include "core/counters.h"
#include "core/entry_membership.h"
#include "core/mesh_message.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"
#include "wire/mesh_codec.h"

namespace corianderplank {

/// Sends and receives over one UDP socket. All methods must be called on the
/// thread of the control loop.
class peer_messenger {
 public:
  /// @param loop the control loop; must outlive this object.
  /// @param local address to bind; its port is also the port of all peers.
  /// @param counters receives the count of datagrams that cannot be sent; must
  ///     outlive this object.
  /// @throws std::system_error when the address cannot be bound.
  peer_messenger(event_loop& loop, const endpoint& local, counters& counters);

  /// Starts receiving.
  /// @param on_datagram called with each datagram that arrives; what it sends
  ///     is flushed after each batch.
  void Receive(std::function<void(const received_datagram&)> on_datagram);

  /// Queues a message until the next Flush.
  /// @param receiver endpoint of an entry or agent.
  /// @param message the message; copied.
  void Send(const endpoint& receiver, const mesh_message& message);

  /// Sends all queued messages.
  void Flush() { socket_.Flush(); }

  /// Sends a message to a few relays, which forward it to the other receivers,
  /// and flushes.
  /// @param message the message; its `members` are overwritten with the
  ///     receivers that each relay forwards to.
  /// @param receivers addresses of all entries that get the message.
  void SendThroughRelays(mesh_message message,
                         const std::vector<member_address>& receivers);

  /// Sends a fleet update to entries through relays.
  /// @param now current time of the monotonic clock; times in the update are
  ///     encoded relative to it.
  /// @param update the fleet update.
  /// @param receivers addresses of all entries that get the update.
  void BroadcastUpdate(time_point now,
                       const fleet_update& update,
                       const std::vector<member_address>& receivers);

 private:
  endpoint local_;
  udp_socket socket_;
  mesh_encoder encoder_;
};

}  // namespace corianderplank
