#include "packet/peer_messenger.h"

#include <string>
#include <utility>

namespace corianderplank {

peer_messenger::peer_messenger(event_loop& loop,
                               const endpoint& local,
                               counters& counters)
    : local_(local), socket_(loop, local, counters, nullptr) {}

void peer_messenger::Receive(
    std::function<void(const received_datagram&)> on_datagram) {
  socket_.Receive(std::move(on_datagram), [this] { socket_.Flush(); });
}

void peer_messenger::Send(const endpoint& receiver,
                          const mesh_message& message) {
  socket_.Send(receiver, encoder_.Encode(message));
}

void peer_messenger::SendThroughRelays(
    mesh_message message,
    const std::vector<member_address>& receivers) {
  for (relay_branch& branch : SplitReceivers(receivers)) {
    message.members = std::move(branch.rest);
    Send({branch.head, local_.port}, message);
  }
  socket_.Flush();
}

void peer_messenger::BroadcastUpdate(
    time_point now,
    const fleet_update& update,
    const std::vector<member_address>& receivers) {
  const std::string bytes = EncodeFleetUpdate(update, now);
  mesh_message message;
  message.kind = mesh_kind::fleet_update;
  message.payload = bytes;
  SendThroughRelays(std::move(message), receivers);
}

}  // namespace corianderplank
