/// @file
/// Machines on which no target runs any more, as reported by their agents. One
/// record per machine replaces a query per flow and remains valid after the
/// reporting agent has stopped.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"
#include "core/source_revision.h"

namespace corianderplank {

/// States that all targets of a machine listed up to a revision have ended. A
/// row with a later revision is another target.
struct ended_target {
  std::uint32_t machine = 0;
  source_revision revision;
};

/// Table of ended targets by machine. The revision of a machine never
/// decreases.
class ended_targets {
 public:
  /// @param lifetime time after which no entry queries flows of an ended
  ///     target.
  explicit ended_targets(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  /// @param now current time of the monotonic clock.
  /// @param record machine and revision.
  /// @return whether the revision is higher than the recorded one.
  bool Record(time_point now, const ended_target& record);

  /// @param machine address of the machine.
  /// @param revision revision of a target listed on it.
  /// @return whether that target has ended.
  bool HasTargetEnded(std::uint32_t machine,
                      const source_revision& revision) const;

  /// Removes records older than the lifetime.
  /// @param now current time of the monotonic clock.
  void Expire(time_point now);

  /// @return all records, in no particular order.
  std::vector<ended_target> All() const;

  /// @return checksum that is equal for tables with equal records.
  std::uint32_t Digest() const;

 private:
  struct known_end {
    source_revision revision;
    time_point recorded_at{};
  };

  std::chrono::milliseconds lifetime_;
  std::unordered_map<std::uint32_t, known_end> ends_;
};

}  // namespace corianderplank
