/// @file
/// Which failure domains the operator has evacuated, merged from lists and
/// changes of the source and from the states of other processes.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/fleet.h"
#include "core/source_revision.h"

namespace corianderplank {

/// Rows by failure domain; of two rows of a domain the one with the higher
/// revision counts, whatever order they arrive in. The end of an evacuation is
/// a row too, so that a process or an agent that still has the request learns
/// of it. Not thread-safe.
class evacuation_table {
 public:
  /// Applies all evacuations in force at a revision. A known evacuation that is
  /// not among them ended at that revision, unless its row is later.
  /// @param revision revision of the list; its epoch is that of its rows.
  /// @param rows evacuations in force, and possibly ended ones.
  void ApplyList(const source_revision& revision,
                 const std::vector<domain_evacuation>& rows);

  /// Applies changed rows.
  /// @param rows rows in any order.
  void ApplyChanges(const std::vector<domain_evacuation>& rows);

  /// @param failure_domain HashName of a failure domain.
  /// @return whether it is evacuated.
  bool IsEvacuated(std::uint64_t failure_domain) const;

  /// @param revision a revision.
  /// @return the rows with a later one, by failure domain.
  std::vector<domain_evacuation> Since(const source_revision& revision) const;

  /// @return the domains whose state has changed since the last call.
  std::vector<domain_evacuation> CollectChanges();

 private:
  void Apply(const domain_evacuation& row);
  /// Evicts the oldest ended rows beyond the limit.
  void LimitEnded();

  std::unordered_map<std::uint64_t, domain_evacuation> rows_;
  std::vector<std::uint64_t> changed_;
};

}  // namespace corianderplank
