/// @file
/// Decides when an entry reads the store itself: one entry, the reader, reads
/// for all, and another one takes over if its updates stop.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Intervals, timeouts and jitter of reads.
struct reader_periods {
  /// Interval between two reads of the reader.
  std::chrono::milliseconds read_interval{700};
  /// Time without an update from a peer after which a process reads itself.
  std::chrono::milliseconds peer_timeout{1000};
  /// Maximum jitter of the takeover.
  std::chrono::milliseconds takeover_jitter{300};
  /// Minimum interval between two requested confirmations: one read serves all
  /// waiting flows, and a peer's read serves them as well.
  std::chrono::milliseconds requested{50};
  /// Maximum jitter of a requested confirmation, per peer: the first read
  /// serves the entries that have not started theirs.
  std::chrono::milliseconds requested_jitter{1};
  /// Delay before a failed read is retried; doubles up to `peer_timeout`.
  std::chrono::milliseconds retry_delay{150};
};

/// Read schedule of one process. There is no explicit election: a process that
/// has read remains the reader until it learns of one with a lower address.
class reader_schedule {
 public:
  /// @param self address of the process; also seeds its jitter.
  /// @param periods intervals, timeouts and jitter.
  reader_schedule(std::uint32_t self, const reader_periods& periods)
      : self_(self), periods_(periods) {}

  /// @param now current time of the monotonic clock.
  /// @return whether a read is due and none is in flight.
  bool IsDue(time_point now) const;

  /// Records the start of a read.
  /// @param now current time of the monotonic clock.
  void OnReadBegin(time_point now);

  /// Records the end of a read and schedules the next one.
  /// @param now current time of the monotonic clock.
  /// @param succeeded whether it confirmed the fleet state.
  void OnReadEnd(time_point now, bool succeeded);

  /// Records a peer's read, which counts as a confirmation.
  /// @param now current time of the monotonic clock.
  /// @param peer address of the peer.
  /// @param age time since the peer's read began.
  void OnPeerRead(time_point now,
                  std::uint32_t peer,
                  std::chrono::milliseconds age);

  /// @param peers number of entries that receive this process's updates.
  void SetPeers(std::size_t peers) { peers_ = peers; }

  /// Requests a confirmation by a read that starts after `now`.
  /// @param now current time of the monotonic clock.
  void OnConfirmationRequested(time_point now);

  /// @return whether this process is the reader.
  bool IsReader() const { return reading_; }

 private:
  /// @return a pseudo-random duration from 0 to `range`.
  std::chrono::milliseconds DrawJitter(std::chrono::milliseconds range);

  std::uint32_t self_;
  reader_periods periods_;
  bool reading_ = false;
  bool in_flight_ = false;
  std::uint32_t failures_ = 0;
  std::size_t peers_ = 0;
  std::uint64_t draws_ = 0;
  time_point began_at_{};
  time_point confirmed_at_{};
  /// A confirmation by a read that started later is requested.
  time_point requested_since_{};
  /// Time of the requested read, unless a peer's read comes first.
  time_point requested_at_{};
  /// The initial value makes a new process read at once.
  time_point due_at_{};
};

}  // namespace corianderplank
