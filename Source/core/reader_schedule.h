/// @file
/// Decides when an entry reads the platform itself: one entry reads for all,
/// the others take over when they hear nothing.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// Periods of reading.
struct reader_periods {
  /// Between two reads of the reader.
  std::chrono::milliseconds reading{700};
  /// Without news from a peer before a process reads itself.
  std::chrono::milliseconds silence{1000};
  /// Spread of the take-over among the entries.
  std::chrono::milliseconds spread{300};
  /// Between two confirmations that something waits for: many flows may wait,
  /// and a peer's read serves them, too.
  std::chrono::milliseconds wanted{50};
  /// Spread of wanted confirmations for each peer: the first one's read serves
  /// those that have not begun yet.
  std::chrono::milliseconds wanted_spread{1};
  /// Before a failed read is tried again; doubles up to `silence`.
  std::chrono::milliseconds retry{150};
};

/// The schedule of one process. No process is told to read; whoever has read
/// and hears of no reader with a lower address goes on.
class reader_schedule {
 public:
  /// @param self address of the process; also seeds its spread.
  /// @param periods periods.
  reader_schedule(std::uint32_t self, const reader_periods& periods)
      : self_(self), periods_(periods) {}

  /// @param now the present time.
  /// @return whether to begin a read now.
  bool IsDue(time_point now) const;

  /// A read begins.
  /// @param now the present time.
  void OnReadBegin(time_point now);

  /// The read has ended.
  /// @param now the present time.
  /// @param succeeded whether it confirmed the belief.
  void OnReadEnd(time_point now, bool succeeded);

  /// A peer tells what it has read.
  /// @param now the present time.
  /// @param peer its address.
  /// @param age time since its read began.
  void OnPeerRead(time_point now,
                  std::uint32_t peer,
                  std::chrono::milliseconds age);

  /// @param peers entries that hear what this process reads.
  void SetPeers(std::size_t peers) { peers_ = peers; }

  /// Something needs a confirmation that is younger than now.
  /// @param now the present time.
  void OnConfirmationRequested(time_point now);

  /// @return whether this process reads for the others.
  bool IsReader() const { return reading_; }

 private:
  /// @return a draw from nothing to `range`.
  std::chrono::milliseconds Draw(std::chrono::milliseconds range);

  std::uint32_t self_;
  reader_periods periods_;
  bool reading_ = false;
  bool in_flight_ = false;
  std::uint32_t failures_ = 0;
  std::size_t peers_ = 0;
  std::uint64_t draws_ = 0;
  time_point began_at_{};
  time_point confirmed_at_{};
  /// A confirmation is wanted that began later.
  time_point wanted_since_{};
  /// When this process begins a wanted read, unless a peer's came before.
  time_point wanted_at_{};
  /// A process that has just started reads at once.
  time_point due_at_{};
};

}  // namespace corianderplank
