/// @file
/// Position in the history of the source of configuration and targets.
#pragma once

#include <compare>
#include <cstdint>

namespace corianderplank {

/// Revision of the source. A source that was restored from an older copy
/// assigns its revision numbers again; each restoration starts a new epoch.
/// Numbers of different epochs say nothing about each other, so the epoch
/// decides first.
struct source_revision {
  constexpr source_revision() = default;
  /// @param number revision number within the epoch; 0 means none.
  /// @param epoch number of restorations, as far as the source reports it.
  constexpr source_revision(std::uint64_t number, std::uint64_t epoch = 0)
      : epoch(epoch), number(number) {}

  /// @return whether it is a revision; false before anything was read.
  constexpr bool IsSet() const { return number != 0; }

  friend auto operator<=>(const source_revision&,
                          const source_revision&) = default;

  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
};

}  // namespace corianderplank
