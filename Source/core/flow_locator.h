/// @file
/// Finds the target that holds an open flow.
#pragma once

#include "core/packet.h"
#include "core/routing_table.h"

namespace corianderplank {

/// Result of a lookup: the target of a packet, or the reason why it has none.
struct located_target {
  /// Owned by the routes that were searched; null if there is no target.
  const route_target* target = nullptr;
  /// `answered` if there is a target, otherwise the reason.
  result_code code = result_code::answered;
};

/// Finds the target that holds an open flow by the contents of a packet alone.
class flow_locator {
 public:
  virtual ~flow_locator() = default;

  /// @param routes routes of the service at whose address the packet arrived.
  /// @param value packet of the flow, of any kind but `open`.
  /// @return the target, which is valid as long as `routes`, or the reason why
  ///     there is none.
  virtual located_target Locate(const service_routes& routes,
                                const packet& value) const = 0;
};

/// Reads the target from the flow token. Does not verify the token's MAC. Keeps
/// no state.
class token_locator : public flow_locator {
 public:
  located_target Locate(const service_routes& routes,
                        const packet& value) const override;
};

}  // namespace corianderplank
