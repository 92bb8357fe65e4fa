/// @file
/// Budget of an entry's link: which new flows it can carry in time, and which
/// packets may wait for others.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/flow_packet.h"
#include "core/identifiers.h"
#include "core/request_scheduler.h"
#include "link/route_sizes.h"

namespace corianderplank {

/// What a decision about a new flow was based on.
struct link_load {
  /// Bulk transfers that the link carries.
  std::uint32_t transfers = 0;
  /// Bytes that they will still bring, as far as is known.
  std::uint64_t backlog_bytes = 0;
  /// Bytes that a flow of the route brings as a rule; 0 if not known.
  std::uint64_t expected_bytes = 0;
  /// Time in which the link carries the backlog and the new flow.
  std::chrono::milliseconds drain_time{0};
};

/// Decision about a new flow.
struct link_admission {
  bool admitted = true;
  link_load load;
};

/// How urgent a packet is. Packets of lower rank wait for those of higher rank.
struct packet_rank {
  /// Belongs to a transfer that would fill the link by itself.
  bool bulk = false;
  /// Priority of the route; 0 is highest.
  std::uint32_t priority = 0;
  /// When an answer loses its full value.
  time_point due_at{};
};

/// Learns from the client packets that an entry forwards how much the flows of
/// each route bring, and keeps account of the transfers that are going on. Not
/// thread-safe; every `now` is the current time of the monotonic clock.
class link_budget {
 public:
  /// @param bytes_per_second capacity of the link; 0 if not known.
  explicit link_budget(std::uint64_t bytes_per_second);

  /// @return whether a few transfers can fill the link, so that it is worth
  ///     keeping account. If not, all flows are admitted and nothing is
  ///     learned.
  bool IsNarrow() const { return narrow_; }

  /// Decides whether the link can carry a new flow within a part of the route's
  /// latency target, and reserves room for it if so. Must only be called for a
  /// flow that is not open, since a refused one is reset.
  /// @param now current time.
  /// @param flow the new flow.
  /// @param policy request policy of its route.
  /// @return the decision and what it was based on.
  link_admission Admit(time_point now,
                       const flow_address& flow,
                       const request_policy& policy);

  /// Accounts for a client packet of an open flow.
  /// @param now current time.
  /// @param packet the packet.
  /// @param policy request policy of its route.
  void OnPacket(time_point now,
                const flow_packet& packet,
                const request_policy& policy);

  /// @param flow a flow.
  /// @return the rank of its next packet.
  packet_rank RankOf(const flow_address& flow) const;

  /// Forgets transfers that have paused. Call at least every few hundred
  /// milliseconds; it does nothing within 100 ms of the last time.
  /// @param now current time.
  void Expire(time_point now);

 private:
  /// What a flow has brought since it was opened or last paused.
  struct transfer {
    std::uint64_t payload_bytes = 0;
    time_point started_at{};
    time_point last_packet_at{};
    request_policy policy;
    /// The client has sent all of it.
    bool finished = false;
  };

  struct hash_of_flow {
    std::size_t operator()(const flow_address& flow) const;
  };

  bool IsBulk(const endpoint& route, const transfer& item) const;
  /// @return rate at which the link carries bulk, beside what the other flows
  ///     bring at present.
  double BulkBytesPerSecond(time_point now) const;
  link_load LoadWith(time_point now, const flow_address& flow) const;
  void AddInteractive(time_point now, std::size_t bytes);

  std::uint64_t bytes_per_second_;
  bool narrow_;
  std::unordered_map<flow_address, transfer, hash_of_flow> transfers_;
  route_sizes sizes_;
  /// Bytes of other flows, decaying exponentially.
  double interactive_bytes_ = 0;
  time_point interactive_at_{};
  /// When Expire last walked over the transfers.
  time_point expired_at_{};
};

}  // namespace corianderplank
