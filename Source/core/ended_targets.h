/// @file
/// Machines on which no target runs any more, as their agents have found out.
/// One fact about a machine spares a question for each flow, and outlives the
/// agent that told it.
#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// The targets of a machine that were listed up to a revision have ended. A
/// later entry of the list is another target.
struct ended_target {
  std::uint32_t machine = 0;
  std::uint64_t revision = 0;
};

/// Table of such facts. A fact never goes back to an older revision.
class ended_targets {
 public:
  /// @param lifetime time after which no flow of an ended target is asked for.
  explicit ended_targets(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  /// @param now the present time.
  /// @param fact a machine's fact.
  /// @return whether it tells more than was known.
  bool Record(time_point now, const ended_target& fact);

  /// @param machine a machine.
  /// @param revision revision of a target that was listed there.
  /// @return whether that target has ended.
  bool HasTargetEnded(std::uint32_t machine, std::uint64_t revision) const;

  /// Forgets facts that nobody needs any more.
  /// @param now the present time.
  void Expire(time_point now);

  /// @return all facts.
  std::vector<ended_target> All() const;

  /// @return a number that is equal where the facts are.
  std::uint32_t Digest() const;

 private:
  struct known_end {
    std::uint64_t revision = 0;
    time_point told_at{};
  };

  std::chrono::milliseconds lifetime_;
  std::unordered_map<std::uint32_t, known_end> ends_;
};

}  // namespace corianderplank
