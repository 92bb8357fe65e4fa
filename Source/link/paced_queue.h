/// @file
/// Queue in front of a narrow link: interactive packets pass at once, bulk
/// packets are paced below the link's capacity and ordered by rank.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/flow_packet.h"

#include "core/identifiers.h"
#include "link/link_budget.h"

namespace corianderplank {

/// Counts bytes on the link by what became of them.
struct link_tally {
  std::uint64_t sent_bytes = 0;    ///< Sent, whether or not they had waited.
  std::uint64_t paced_bytes = 0;   ///< Of the sent ones, those that had waited.
  std::uint64_t queued_bytes = 0;  ///< Waiting now.
  std::uint64_t dropped_bytes = 0;   ///< Dropped, as the queue was full.
  std::uint64_t repeated_bytes = 0;  ///< Dropped, as a copy was waiting.
  std::uint64_t refused_flows = 0;   ///< New flows that were refused.
};

/// A datagram for the link.
struct link_datagram {
  endpoint to;
  /// Flow that it belongs to; not set for messages of the system.
  flow_address flow;
  packet_rank rank;
  /// The client's packet inside the datagram, which a copy repeats unchanged.
  std::string_view packet;
  std::string_view bytes;
};

/// What happens to a datagram that was offered.
enum class pacing_verdict : std::uint8_t {
  send,      ///< Send it now; the queue has counted it.
  queued,    ///< It waits.
  repeated,  ///< Dropped: a copy of the same packet waits already.
  dropped,   ///< Dropped: the queue is full, or it made room by dropping
             ///< another.
};

/// Decides when each datagram is sent. Not thread-safe; every `now` is the
/// current time of the monotonic clock.
class paced_queue {
 public:
  /// Sends a datagram that has waited.
  using sender = std::function<void(const endpoint& to, std::string_view)>;

  /// @param bytes_per_second capacity of the link, greater than 0.
  explicit paced_queue(std::uint64_t bytes_per_second);

  /// @param now current time.
  /// @param datagram the datagram; copied if it is queued.
  /// @return what happens to it.
  pacing_verdict Offer(time_point now, const link_datagram& datagram);

  /// Sends the datagrams whose turn has come.
  /// @param now current time.
  /// @param send called for each of them, most urgent first.
  void SendDue(time_point now, const sender& send);

  /// @return when SendDue must be called next; std::nullopt if none waits.
  std::optional<time_point> NextAt() const;

  /// Counts a new flow that was refused.
  /// @param route address and port of its route.
  void OnRefused(const endpoint& route) { ++TallyOf(route).refused_flows; }

  /// @return the tallies by route; the invalid endpoint stands for messages of
  ///     the system and for routes beyond the first 64.
  const std::map<endpoint, link_tally>& Tallies() const { return tallies_; }

 private:
  /// Priority, due time and order of arrival.
  using queue_key = std::tuple<std::uint32_t, time_point, std::uint64_t>;
  struct waiting_datagram {
    endpoint to;
    flow_address flow;
    /// Hash of the client's packet.
    std::size_t packet_hash = 0;
    std::string bytes;
  };

  void Refill(time_point now);
  void CountSent(const endpoint& route, std::size_t bytes);
  bool HasCopy(const link_datagram& datagram) const;
  link_tally& TallyOf(const endpoint& route);

  double bytes_per_second_;
  double available_bytes_;
  time_point refilled_at_{};
  std::map<queue_key, waiting_datagram> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint64_t arrivals_ = 0;
  std::map<endpoint, link_tally> tallies_;
};

}  // namespace corianderplank
