/// @file
/// Log record of a decision about a flow.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/flow_packet.h"
#include "core/result_code.h"
#include "link/link_budget.h"

namespace corianderplank {

/// A decision about a flow and the data that it was based on.
struct flow_decision {
  result_code code = result_code::answered;
  flow_address flow;
  /// Address of the machine of the agent concerned; 0 if none.
  std::uint32_t machine = 0;
  std::uint64_t configuration_version = 0;
  /// Age of the fleet snapshot used; agents do not set it.
  std::chrono::milliseconds snapshot_age{0};
  /// Refusal of a new flow: load of the entry's link.
  std::optional<link_load> link;
};

}  // namespace corianderplank
