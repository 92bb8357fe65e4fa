/// @file
/// Sends messages to other entries and to agents, to many through relays.
#pragma once

#include <vector>

#include "core/counters.h"
#include "core/fleet_members.h"
#include "core/mesh_message.h"
#include "net/event_loop.h"
#include "net/udp_socket.h"
#include "wire/mesh_codec.h"

namespace corianderplank {

/// Lives on the control loop.
class peer_messenger {
 public:
  /// @param loop the control loop.
  /// @param local where the messages of entries arrive; the port of all peers.
  /// @param counters counts what cannot be sent.
  peer_messenger(event_loop& loop, const endpoint& local, counters& counters);

  /// @param on_datagram called with each datagram that arrives.
  void Receive(std::function<void(const received_datagram&)> on_datagram);

  /// Sends a message at the next Flush.
  /// @param receiver who gets it.
  /// @param message the message.
  void Send(const endpoint& receiver, const mesh_message& message);

  /// Sends what has gathered.
  void Flush() { socket_.Flush(); }

  /// Sends a message to some entries, which pass it on to the others.
  /// @param message the message; its members are set here.
  /// @param receivers who gets it.
  void SendThroughRelays(mesh_message message,
              const std::vector<member_address>& receivers);

  /// Sends an update to entries, through relays.
  /// @param now the present time.
  /// @param update the update.
  /// @param receivers who gets it.
  void BroadcastUpdate(time_point now,
              const belief_update& update,
              const std::vector<member_address>& receivers);

 private:
  endpoint local_;
  udp_socket socket_;
  mesh_encoder encoder_;
};

}  // namespace corianderplank
