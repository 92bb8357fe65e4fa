/// @file
/// Bounded admission queue with weighted fair sharing between traffic classes.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/document.h"
#include "core/request_table.h"

namespace corianderplank {

/// A request in the queue and its deadline.
struct waiting_request {
  request_handle handle;
  time_point deadline;
};

/// Result of adding a request to the queue.
struct admission_result {
  bool accepted = false;
  /// A request of a class with a lower weight that was removed to free
  /// capacity.
  std::optional<request_handle> displaced;
};

/// Holds the waiting requests of all traffic classes and selects the next one
/// to start by stride scheduling.
class admission_queue {
 public:
  /// Applies new limits; waiting requests stay in the queue.
  /// @param classes traffic classes of the service; the index is the class
  ///     number.
  /// @param capacity maximum number of waiting requests of all classes.
  /// @param slots number of slots of the target.
  void Configure(const std::vector<traffic_class>& classes,
                 std::uint32_t capacity,
                 std::uint32_t slots);

  /// Adds a request. If the queue is full, it displaces the last request of the
  /// class with the lowest weight below its own, if there is one.
  /// @param traffic_class number of the class; a greater number than the last
  ///     class means the last class.
  /// @param request the request to add.
  /// @return whether it was accepted, and which request it displaced.
  admission_result Push(std::uint8_t traffic_class,
                        const waiting_request& request);

  /// Removes the next request to start and counts it as running.
  /// @param free_slots number of free slots.
  /// @return the request, or std::nullopt if none may start.
  std::optional<request_handle> Pop(std::uint32_t free_slots);

  /// Removes the requests whose deadline has passed.
  /// @param now current time of the monotonic clock.
  /// @return handles of the removed requests.
  std::vector<request_handle> RemoveExpired(time_point now);

  /// @param handle the request to remove; ignored if it is not in the queue.
  void Remove(request_handle handle);

  /// Records that a request that Pop returned has released its slot.
  /// @param traffic_class number of its class.
  void OnFinished(std::uint8_t traffic_class);

  /// @return the number of waiting requests.
  std::size_t Size() const { return size_; }

 private:
  struct class_queue {
    std::uint64_t stride = 1;
    /// Virtual time of the class; the class with the lowest starts next.
    std::uint64_t pass = 0;
    std::uint32_t weight = 1;
    std::uint32_t running = 0;
    std::uint32_t max_running = 1;
    std::deque<waiting_request> waiting;
  };

  class_queue& QueueOf(std::uint8_t traffic_class);
  class_queue* LowestWeightBelow(std::uint32_t weight);

  std::vector<class_queue> queues_;
  std::uint64_t virtual_time_ = 0;
  std::uint32_t capacity_ = 0;
  std::size_t size_ = 0;
};

}  // namespace corianderplank
