/// @file
/// Log lines for changes of an entry's fleet state.
#pragma once

#include <string>
#include <vector>

#include "core/fleet_state.h"

namespace corianderplank {

/// @param revision a revision of the source.
/// @return its number, preceded by the epoch unless that is 0: "2:15".
std::string FormatRevision(const source_revision& revision);

/// Logs the target changes since the last call. Writes a single line when there
/// are many, such as for the first list, since the first flows wait for it.
/// @param now current time of the monotonic clock.
/// @param fleet the fleet state; its list of collected changes is cleared.
void LogTargetChanges(time_point now, fleet_state& fleet);

/// Logs that a configuration has come into force.
/// @param configuration the new configuration.
/// @param origin value of the log key "source": "platform" or "peer".
void LogConfiguration(const fleet_configuration& configuration,
                      const std::string& origin);

/// Logs one line for each target.
/// @param ended targets that are newly known to have ended.
/// @param origin value of the log key "source": "agent", "peer" or "seed".
void LogEndedTargets(const std::vector<ended_target>& ended,
                     const std::string& origin);

}  // namespace corianderplank
