#include "product/event_ring.h"

namespace corianderplank {
namespace {

constexpr std::size_t kMaxEvents = 20000;
constexpr std::size_t kMaxIntervals = 3600;

}  // namespace

void event_ring::Add(recorded_event event) {
  const std::lock_guard lock(mutex_);
  event.number = next_number_++;
  events_.push_back(event);
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
    ++dropped_;
  }
}

void event_ring::AddInterval(const load_interval& interval) {
  const std::lock_guard lock(mutex_);
  intervals_.push_back(interval);
  if (intervals_.size() > kMaxIntervals) {
    intervals_.pop_front();
  }
}

std::vector<recorded_event> event_ring::EventsAfter(
    std::uint64_t after_number) const {
  const std::lock_guard lock(mutex_);
  std::vector<recorded_event> result;
  for (const recorded_event& item : events_) {
    if (item.number > after_number) {
      result.push_back(item);
    }
  }
  return result;
}

std::vector<load_interval> event_ring::Intervals() const {
  const std::lock_guard lock(mutex_);
  return {intervals_.begin(), intervals_.end()};
}

std::uint64_t event_ring::Dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace corianderplank
