/// @file
/// The clock of the packet path.
#pragma once

#include "core/identifiers.h"

namespace corianderplank {

/// @return time since the machine's start, including time in which it was
///     suspended; steps of the time of day do not change it.
time_point ClockWithSleep();

}  // namespace corianderplank
