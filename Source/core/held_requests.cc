#include "core/held_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace corianderplank {

void held_requests::Remove(const flow_address& flow) {
  std::erase_if(requests_,
                [&](const held_request& item) { return item.flow == flow; });
}

std::vector<held_request> held_requests::TakeDue(time_point now) {
  const auto first_due = std::stable_partition(
      requests_.begin(), requests_.end(),
      [&](const held_request& item) { return now < item.due_at; });
  std::vector<held_request> due(first_due, requests_.end());
  requests_.erase(first_due, requests_.end());
  return due;
}

std::vector<held_request> held_requests::TakeAll() {
  return std::exchange(requests_, {});
}

}  // namespace corianderplank
