/// @file
/// Requests that wait until their target answers others again.
#pragma once

#include <vector>

#include "core/flow_packet.h"
#include "core/identifiers.h"

namespace corianderplank {

/// A request that is held back.
struct held_request {
  flow_address flow;
  /// When the client began to wait.
  time_point began_at{};
  /// When the request is released at the latest.
  time_point due_at{};
};

/// List of held requests in the order of their arrival, one for each flow at
/// most. Not thread-safe; all times are of the monotonic clock.
class held_requests {
 public:
  /// @param request request to hold; its flow must have no other one here.
  void Add(const held_request& request) { requests_.push_back(request); }

  /// Removes a request that will not be answered; does nothing if unknown.
  /// @param flow flow of the request.
  void Remove(const flow_address& flow);

  /// Removes the requests that are due.
  /// @param now current time.
  /// @return those requests.
  std::vector<held_request> TakeDue(time_point now);

  /// Removes all requests.
  /// @return those requests.
  std::vector<held_request> TakeAll();

  /// @return whether no request is held.
  bool IsEmpty() const { return requests_.empty(); }

 private:
  std::vector<held_request> requests_;
};

}  // namespace corianderplank
