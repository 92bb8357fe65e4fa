/// @file
/// What processes and their logs say about the past.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// An event as a process reported it.
struct report_event {
  std::int64_t time_ms = 0;
  std::string process;
  std::string service;
  std::string failure_domain;
  std::string source;  ///< "agent" or "caller".
  std::string outcome;
  std::string reason;
  std::uint64_t flow = 0;
  std::uint64_t request_id = 0;
};

/// A revision that came into force in a process.
struct report_revision {
  std::int64_t time_ms = 0;
  std::string process;
  std::uint64_t revision = 0;
  std::string source;
};

/// Time of which a process that died left no account.
struct report_gap {
  std::string process;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;  ///< 0 when it never came back.
};

/// One process from its start to its end.
struct process_life {
  std::string process;
  std::string role;
  std::string service;
  std::string failure_domain;
  std::int64_t started_ms = 0;
  std::int64_t last_told_ms = 0;
  bool ended_well = false;
  bool live = false;
  std::uint64_t dropped_events = 0;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> verdicts;
};

/// Busy slots of one target in one second.
struct report_load {
  std::string service;
  std::string process;
  std::int64_t second = 0;
  double busy_slots = 0;
  std::uint32_t slots = 0;
  std::uint32_t feeds = 0;
};

/// Everything that was collected.
struct report_data {
  std::vector<process_life> lives;
  std::vector<report_event> events;
  std::vector<report_revision> revisions;
  std::vector<report_gap> gaps;
  std::vector<report_load> loads;
  std::vector<std::string> unreachable;
};

/// Collects from logs first, then from live processes, which know more.
class report_collector {
 public:
  /// @param path a log file; a line that is no JSON is passed over.
  /// @return whether the file could be read.
  bool AddLog(const std::string& path);

  /// @param address an admin port.
  /// @param body its page of events, or null when it could not be read.
  void AddLive(const endpoint& address, const std::string* body);

  /// @return what was collected, with the gaps worked out.
  report_data Take();

 private:
  void AddLogLine(const std::string& text);
  process_life& LifeOf(const std::string& process);
  void FindGaps();

  report_data data_;
  /// The latest life of each process, as an index into lives.
  std::map<std::string, std::size_t> latest_;
};

}  // namespace corianderplank
