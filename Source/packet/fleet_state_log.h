/// @file
/// Lines on what changes an entry's belief.
#pragma once

#include <string>
#include <vector>

#include "core/fleet_belief.h"

namespace corianderplank {

/// Tells changes of targets; a whole list is one line, since the first flows
/// wait for it.
/// @param now the present time.
/// @param belief the belief, whose collected changes are taken.
void LogTargetChanges(time_point now, fleet_belief& belief);

/// @param configuration the configuration that is in force from now on.
/// @param from where it came from.
void LogConfiguration(const fleet_configuration& configuration,
                      const std::string& from);

/// @param ended targets that have ended.
/// @param from who told so.
void LogEndedTargets(const std::vector<ended_target>& ended,
                     const std::string& from);

}  // namespace corianderplank
