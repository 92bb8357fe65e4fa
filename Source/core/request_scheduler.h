/// @file
/// Orders requests in front of one target by their chance to be answered in
/// time, then by priority; those that are late take what is left.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/flow_packet.h"
#include "core/service_time_estimate.h"

namespace corianderplank {

/// What a route says of its requests.
struct request_policy {
  std::uint32_t priority = 0;  ///< 0 is highest.
  /// Time within which an answer is worth most; 0 when not known.
  std::chrono::milliseconds latency_target{0};
};

/// The gate. A target's own queue is first come, first served; so no more than
/// its slots are handed to it, and the others wait here.
class request_scheduler {
 public:
  /// @param slots requests that the target works on at a time; 0: not known,
  ///     and everything passes.
  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// A request has begun to arrive.
  /// @param now the present time.
  /// @param flow its flow, which has no other request here.
  /// @param terms what its route says.
  /// @param waited how long its client has waited before.
  /// @return whether it may pass now; otherwise it waits.
  bool Admit(time_point now,
             const flow_address& flow,
             const request_policy& policy,
             std::chrono::milliseconds waited);

  /// A request was answered.
  /// @param now the present time.
  /// @param flow its flow.
  /// @return the time since it was handed on, if it was.
  std::optional<std::chrono::milliseconds> Finish(time_point now,
                                                  const flow_address& flow);

  /// A request will never be answered.
  /// @param flow its flow.
  void Cancel(const flow_address& flow);

  /// Takes the next request that waits, if the target has room.
  /// @param now the present time.
  /// @return its flow, or nothing.
  std::optional<flow_address> StartNext(time_point now);

  /// @return whether a request that came now would wait for a slot.
  bool IsFull() const {
    return slots_ != 0 && (!waiting_.empty() || passed_.size() >= slots_);
  }

  /// @param now the present time.
  /// @return requests that a new one would wait for: those at the target and
  ///     those that wait and can be in time; it would overtake the others.
  std::size_t CountAheadOfNew(time_point now) const;

  /// @return requests at the target.
  std::size_t ForwardedCount() const { return passed_.size(); }
  /// @return requests that wait.
  std::size_t QueuedCount() const { return waiting_.size(); }

 private:
  struct ticket {
    flow_address flow;
    request_policy policy;
    /// When its client began to wait.
    time_point began_at{};
  };

  struct passed_request {
    flow_address flow;
    time_point at{};
  };

  /// Chance of a request to be answered in time.
  enum class chance : std::uint8_t { good, some, none };

  /// @param in_time whether the request can be in time.
  bool HasCapacity(time_point now, bool in_time);
  chance ChanceOf(time_point now, const ticket& item) const;
  bool GoesBefore(time_point now,
                  const ticket& left,
                  const ticket& right) const;

  std::uint32_t slots_ = 0;
  std::vector<passed_request> passed_;
  std::vector<ticket> waiting_;
  service_time_estimate work_;
};

}  // namespace corianderplank
