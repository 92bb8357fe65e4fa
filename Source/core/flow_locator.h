/// @file
/// How an entry finds the agent that owns a flow.
#pragma once

#include "core/packet.h"
#include "core/routing_table.h"

namespace corianderplank {

/// Where a packet goes, or why it goes nowhere.
struct located_target {
  const route_target* target = nullptr;
  result_code code = result_code::answered;
};

/// Finds the owner of an open flow from the packet alone.
class flow_locator {
 public:
  virtual ~flow_locator() = default;

  /// @param routes routes of the service at whose address the packet arrived.
  /// @param value the packet.
  /// @return the target, or the reason why there is none.
  virtual located_target Locate(const service_routes& routes,
                                const packet& value) const = 0;
};

/// Takes the target from the flow token. Keeps no state.
class token_locator : public flow_locator {
 public:
  located_target Locate(const service_routes& routes,
                        const packet& value) const override;
};

}  // namespace corianderplank
