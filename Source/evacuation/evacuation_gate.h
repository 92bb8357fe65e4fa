/// @file
/// Whether an agent lets new flows pass to its target while the operator
/// evacuates its failure domain.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/fleet.h"
#include "core/identifiers.h"

namespace corianderplank {

/// The last check before a target: an entry that has missed the request would
/// still place flows there. Not thread-safe; every `now` is the current time of
/// the monotonic clock.
class evacuation_gate {
 public:
  /// @param failure_domain HashName of the agent's failure domain.
  explicit evacuation_gate(std::uint64_t failure_domain) {
    row_.failure_domain = failure_domain;
  }

  /// Records what an entry knows. Rows of other failure domains and older ones
  /// are ignored.
  /// @param now current time.
  /// @param row the entry's row; without a revision if it knows none.
  /// @return whether the state has changed.
  bool OnRow(time_point now, const domain_evacuation& row);

  /// @param now current time.
  /// @return whether new flows are refused: the latest row says so and an entry
  ///     has repeated it lately.
  bool IsClosed(time_point now) const;

  /// @return the latest row; its revision is 0 if none is known.
  const domain_evacuation& Row() const { return row_; }

 private:
  domain_evacuation row_;
  /// When an entry last said that the domain is evacuated.
  time_point confirmed_at_{};
};

}  // namespace corianderplank
