/// @file
/// UDP socket that receives and sends in batches.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "core/counters.h"
#include "core/identifiers.h"
#include "net/event_loop.h"
#include "net/impairment.h"

namespace corianderplank {

/// A datagram that was received; its bytes are valid during the call.
struct received_datagram {
  endpoint from;
  std::string_view bytes;
  /// When the operating system received it.
  time_point arrived_at;
};

/// Called for each datagram.
using datagram_handler = std::function<void(const received_datagram&)>;

/// Batches of 64 datagrams that ReadPending reads at most, so that a flood of
/// datagrams cannot delay the timeouts without limit.
constexpr int kMaxPendingBatches = 16;

/// A bound, non-blocking socket. Used on its loop's thread only.
class udp_socket {
 public:
  /// @param loop the loop that receives.
  /// @param local where to bind; port 0 takes any.
  /// @param counters counts datagrams that the system did not take.
  /// @param impaired faults to rehearse, or null.
  /// @throws std::system_error when the address cannot be bound.
  udp_socket(event_loop& loop,
             const endpoint& local,
             counters& counters,
             impairment* impaired);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  /// @param on_datagram called for each datagram.
  /// @param on_batch called after each batch; the place to flush.
  void Receive(datagram_handler on_datagram, std::function<void()> on_batch);

  /// Reads all datagrams that have arrived, at most kMaxPendingBatches batches.
  /// For use before the expiry of timeouts: on a slow machine, responses that
  /// have arrived in time may not have been read yet. Receive must have been
  /// called.
  void ReadPending();

  /// Queues a datagram; sends when the batch is full.
  /// @param to where to send.
  /// @param datagram the bytes; copied.
  void Send(const endpoint& to, std::string_view datagram);

  /// Sends what is queued.
  void Flush();

  /// @return the bound endpoint.
  endpoint Local() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
