/// @file
/// Bounded queue for each class, shared by weight.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/document.h"
#include "core/request_table.h"

namespace corianderplank {

/// A request that waits for a slot.
struct waiting_request {
  request_handle handle;
  time_point deadline;
};

/// What became of an arrival.
struct admission_result {
  bool accepted = false;
  /// A request of a less weighty class that lost its place.
  std::optional<request_handle> displaced;
};

/// Decides who waits, who is refused and who starts next.
class admission_queue {
 public:
  /// @param classes the service's classes; their order is their number.
  /// @param capacity requests that may wait in all.
  /// @param slots the target's slots.
  void Configure(const std::vector<traffic_class>& classes,
                 std::uint32_t capacity,
                 std::uint32_t slots);

  /// @param traffic_class the class.
  /// @param request the request.
  /// @return whether it waits, and whom it displaced.
  admission_result Push(std::uint8_t traffic_class,
                        const waiting_request& request);

  /// @param free_slots slots that are free.
  /// @return the next request to start, or nothing when none may start.
  std::optional<request_handle> Pop(std::uint32_t free_slots);

  /// Takes out the requests whose deadline has passed.
  /// @param now the present time.
  /// @return their handles.
  std::vector<request_handle> RemoveExpired(time_point now);

  /// @param handle a request that need not wait any more.
  void Remove(request_handle handle);

  /// A request of the class left its slot.
  /// @param traffic_class the class.
  void OnFinished(std::uint8_t traffic_class);

  /// @return the number of waiting requests.
  std::size_t Size() const { return size_; }

 private:
  struct class_queue {
    std::uint64_t stride = 1;
    /// Virtual time; the class with the lowest starts next.
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
