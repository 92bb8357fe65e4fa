/// @file
/// How an entry places a new flow.
#pragma once

#include <cstdint>

#include "core/identifiers.h"
#include "core/routing_table.h"

namespace corianderplank {

/// Chooses the target of an open.
class target_picker {
 public:
  virtual ~target_picker() = default;

  /// @param now the present time.
  /// @param routes the service's targets.
  /// @param hash a uniform number that belongs to this try of this flow.
  /// @param avoid a target to avoid if there is another, or 0.
  /// @return the target, or nullptr when none takes opens.
  virtual const route_target* Pick(time_point now,
                                   const service_routes& routes,
                                   std::uint64_t hash,
                                   target_id avoid) = 0;

  /// Takes a load that an agent told.
  /// @param now the present time.
  /// @param id the target.
  /// @param load_permille its load in thousandths of its slots.
  /// @param serving whether it takes opens.
  virtual void OnLoad(time_point now,
                      target_id id,
                      std::uint32_t load_permille,
                      bool serving) = 0;

  /// Takes the proof that a target has passed an open on.
  /// @param id the target.
  virtual void OnPassedOn(target_id id) = 0;
};

}  // namespace corianderplank
