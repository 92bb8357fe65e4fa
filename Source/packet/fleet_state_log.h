/// @file
/// Log lines for changes of an entry's fleet state.
#pragma once

#include <chrono>
#include <optional>
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

/// Logs that an evacuation has begun or ended.
/// @param row the row in force.
/// @param own_failure_domain name of the process's failure domain. The names of
///     others are not known; their hash is logged.
/// @param origin value of the log key "source": "platform", "peer" or the
///     endpoint of an entry.
/// @param age time since the start of the read that confirmed the row; omitted
///     if not known.
void LogEvacuation(const domain_evacuation& row,
                   const std::string& own_failure_domain,
                   const std::string& origin,
                   std::optional<std::chrono::milliseconds> age);

/// Logs one line for each target.
/// @param ended targets that are newly known to have ended.
/// @param origin value of the log key "source": "agent", "peer" or "seed".
void LogEndedTargets(const std::vector<ended_target>& ended,
                     const std::string& origin);

}  // namespace corianderplank
