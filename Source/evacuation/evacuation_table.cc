#include "evacuation/evacuation_table.h"

#include <algorithm>
#include <utility>

namespace corianderplank {
namespace {

/// Ended evacuations that are kept: far more than a fleet has failure domains.
/// Domains that were renamed must not accumulate.
constexpr std::size_t kMaxEnded = 64;

/// @return whether the rows have the domain of `known` as evacuated.
bool Contains(const std::vector<domain_evacuation>& rows,
              const domain_evacuation& known) {
  return std::any_of(
      rows.begin(), rows.end(), [&](const domain_evacuation& row) {
        return row.failure_domain == known.failure_domain && row.evacuated;
      });
}

}  // namespace

void evacuation_table::Apply(const domain_evacuation& row) {
  const auto [found, added] = rows_.try_emplace(row.failure_domain, row);
  domain_evacuation& known = found->second;
  if (!added && row.revision <= known.revision) {
    return;
  }
  const bool was_evacuated = !added && known.evacuated;
  known = row;
  if (row.evacuated != was_evacuated) {
    changed_.push_back(row.failure_domain);
  }
}

void evacuation_table::ApplyList(const source_revision& revision,
                                 const std::vector<domain_evacuation>& rows) {
  ApplyChanges(rows);
  std::vector<domain_evacuation> ended;
  for (const auto& [domain, known] : rows_) {
    if (known.evacuated && !Contains(rows, known)) {
      ended.push_back({domain, false, revision});
    }
  }
  ApplyChanges(ended);
}

void evacuation_table::ApplyChanges(
    const std::vector<domain_evacuation>& rows) {
  for (const domain_evacuation& row : rows) {
    Apply(row);
  }
  LimitEnded();
}

void evacuation_table::LimitEnded() {
  while (rows_.size() > kMaxEnded) {
    auto oldest = rows_.end();
    for (auto item = rows_.begin(); item != rows_.end(); ++item) {
      if (!item->second.evacuated &&
          (oldest == rows_.end() ||
           item->second.revision < oldest->second.revision)) {
        oldest = item;
      }
    }
    if (oldest == rows_.end()) {
      return;
    }
    rows_.erase(oldest);
  }
}

bool evacuation_table::IsEvacuated(std::uint64_t failure_domain) const {
  const auto found = rows_.find(failure_domain);
  return found != rows_.end() && found->second.evacuated;
}

std::vector<domain_evacuation> evacuation_table::Since(
    const source_revision& revision) const {
  std::vector<domain_evacuation> found;
  for (const auto& [domain, row] : rows_) {
    if (row.revision > revision) {
      found.push_back(row);
    }
  }
  std::sort(found.begin(), found.end(),
            [](const domain_evacuation& left, const domain_evacuation& right) {
              return left.failure_domain < right.failure_domain;
            });
  return found;
}

std::vector<domain_evacuation> evacuation_table::CollectChanges() {
  std::vector<domain_evacuation> changes;
  for (const std::uint64_t domain : std::exchange(changed_, {})) {
    const auto found = rows_.find(domain);
    const bool is_known = std::any_of(changes.begin(), changes.end(),
                                      [&](const domain_evacuation& item) {
                                        return item.failure_domain == domain;
                                      });
    if (found != rows_.end() && !is_known) {
      changes.push_back(found->second);
    }
  }
  return changes;
}

}  // namespace corianderplank
