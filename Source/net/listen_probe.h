/// @file
/// Checks whether a process still listens at an endpoint.
#pragma once

#include <cstdint>
#include <functional>

#include "core/identifiers.h"
#include "net/event_loop.h"

namespace corianderplank {

/// What an attempt to connect has shown.
enum class listener_state : std::uint8_t {
  present,  ///< A process listens there.
  absent,   ///< The machine answered that nothing listens there.
  unknown,  ///< No answer.
};

/// Called once, on the loop's thread.
using probe_callback = std::function<void(listener_state)>;

/// Connects to an endpoint and closes the connection at once.
/// @param loop the loop; must outlive the attempt.
/// @param address TCP endpoint.
/// @param on_result called with the result.
void ProbeListener(event_loop& loop,
                   const endpoint& address,
                   probe_callback on_result);

}  // namespace corianderplank
