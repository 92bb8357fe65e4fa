/// @file
/// A decision about a flow, for logs.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/flow_packet.h"
#include "core/result_code.h"

namespace corianderplank {

/// One decision about a flow and what it was based on.
struct flow_decision {
  result_code code = result_code::answered;
  flow_address flow;
  /// The agent's machine that it concerns, or 0.
  std::uint32_t machine = 0;
  std::uint64_t configuration_version = 0;
  /// Age of the picture that decided; not told by agents.
  std::chrono::milliseconds snapshot_age{0};
};

}  // namespace corianderplank
