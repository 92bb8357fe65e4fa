/// @file
/// What an agent knows of the other agents of its service.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/document.h"
#include "core/packet.h"

namespace corianderplank {

/// A sibling as last reported.
struct sibling {
  target_id id;
  endpoint agent;
  endpoint control;
  std::uint32_t slots = 1;
  std::uint32_t load_permille = 0;
  /// Opens passed on to it since it was last reported.
  std::uint32_t passed = 0;
  bool serving = true;
  bool leaving = false;
  bool reported = false;
  time_point reported_at;
};

/// Decides whether an open would be better placed at a sibling.
class sibling_view {
 public:
  /// Targets that left the document are kept as leaving, for their flows.
  /// @param of the service in force.
  /// @param self this agent's target, which is left out.
  /// @param instances the instance list; it moves targets and marks leavers.
  void Configure(const service& of,
                 target_id self,
                 const instance_list& instances);

  /// @param now the present time.
  /// @param from who sent the report; must be the sibling's address.
  /// @param id a sibling.
  /// @param load_permille its load in thousandths of its slots.
  /// @param serving whether it takes opens.
  /// @return whether a sibling was found and its load taken.
  bool OnLoad(time_point now,
              const endpoint& from,
              target_id id,
              std::uint32_t load_permille,
              bool serving);

  /// @param now the present time.
  /// @param own_permille this agent's load with the open counted in.
  /// @param must_leave this agent takes no opens: any sibling will do.
  /// @param visited agents that have passed the open on.
  /// @return the sibling that should get the open, or nullptr.
  sibling* Better(time_point now,
                  std::uint32_t own_permille,
                  bool must_leave,
                  std::span<const target_id> visited);

  /// @param id a target.
  /// @return the sibling, or nullptr.
  const sibling* Find(target_id id) const;

  /// @return all siblings.
  const std::vector<sibling>& All() const { return siblings_; }

 private:
  void KeepFormer(std::vector<sibling>& next) const;

  std::vector<sibling> siblings_;
};

}  // namespace corianderplank
