/// @file
/// The latest events of a process, in bounded memory.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "core/request_agent_effects.h"

namespace corianderplank {

/// Who says that an event happened.
enum class event_source : std::uint8_t {
  agent,   ///< The agent that owns the flow decided it.
  caller,  ///< The caller reported it as the end of its work.
};

/// An event with its time and place.
struct recorded_event {
  std::int64_t time_ms = 0;  ///< Milliseconds since 1970.
  event_source source = event_source::agent;
  service_id service;
  flow_event event;
  std::uint64_t number = 0;  ///< Given by the ring.
};

/// Load over one second.
struct load_interval {
  std::int64_t second = 0;  ///< Seconds since 1970.
  double busy_slots = 0;    ///< Time-averaged busy slots.
  std::uint32_t slots = 0;
  std::uint32_t feeds = 0;
  std::uint32_t flows = 0;
};

/// Keeps the latest events and load intervals. Safe for any thread.
class event_ring {
 public:
  /// @param event the event; it is given its number.
  void Add(recorded_event event);

  /// @param interval one second's load.
  void AddInterval(const load_interval& interval);

  /// @param after_number number of the last event that is known already.
  /// @return the events that follow.
  std::vector<recorded_event> EventsAfter(std::uint64_t after_number) const;

  /// @return the load of the latest seconds.
  std::vector<load_interval> Intervals() const;

  /// @return events that fell out before now.
  std::uint64_t Dropped() const;

 private:
  mutable std::mutex mutex_;
  std::deque<recorded_event> events_;
  std::deque<load_interval> intervals_;
  std::uint64_t next_number_ = 1;
  std::uint64_t dropped_ = 0;
};

}  // namespace corianderplank
