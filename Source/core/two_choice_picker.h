/// @file
/// Takes the less loaded of two weighted draws; ejects silent targets.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/target_picker.h"

namespace corianderplank {

/// The default picker. Constant time and free of allocation for each flow;
/// state grows with the number of targets that were chosen or reported of.
class two_choice_picker : public target_picker {
 public:
  /// @param counters where ejections are counted.
  explicit two_choice_picker(counters& counters) : counters_(counters) {}

  const route_target* Pick(time_point now,
                           const service_routes& routes,
                           std::uint64_t hash,
                           target_id avoid) override;
  void OnLoad(time_point now,
              target_id id,
              std::uint32_t load_permille,
              bool serving) override;
  void OnPassedOn(target_id id) override;

  /// @param now the present time.
  /// @param id a target.
  /// @return whether the target gets no opens at present.
  bool IsEjected(time_point now, target_id id) const;

  /// As Pick, but nothing is counted as sent.
  /// @param now the present time.
  /// @param routes the service's targets.
  /// @param hash a uniform number that belongs to this try of this flow.
  /// @param avoid a target to avoid if there is another, or 0.
  /// @return the target, or nullptr when none takes opens.
  const route_target* Choose(time_point now,
                             const service_routes& routes,
                             std::uint64_t hash,
                             target_id avoid);

  /// @param now the present time.
  /// @param routes the service's targets.
  /// @return one line a target: state and score, for operators.
  std::vector<std::string> ExplainTargets(time_point now,
                                          const service_routes& routes) const;

  /// Forgets targets that a new table no longer has.
  /// @param table the table that is now in use.
  void Retain(const routing_table& table);

 private:
  struct view {
    std::uint32_t load_permille = 0;
    /// Opens sent since the target last spoke.
    std::uint32_t unanswered = 0;
    std::uint32_t ejections = 0;
    bool serving = true;
    bool reported = false;
    bool ejected = false;
    time_point reported_at;
    time_point first_unanswered_at;
    time_point ejected_until;
    time_point readmitted_at;
  };

  bool Usable(time_point now, const service_routes& routes, view& of);
  std::uint64_t Score(time_point now,
                      const route_target& candidate,
                      const view& of) const;
  bool MayEject(time_point now, const service_routes& routes);

  /// How many targets of a service are ejected, counted now and then.
  struct ejection_count {
    time_point counted_at;
    std::size_t ejected = 0;
  };

  counters& counters_;
  std::unordered_map<target_id, view, identifier_hash> views_;
  std::unordered_map<service_id, ejection_count, identifier_hash> ejections_;
};

}  // namespace corianderplank
