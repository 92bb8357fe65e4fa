/// @file
/// Heap usage of a test program. Linking it replaces the global allocation
/// functions. Unlike the resident memory, it does not include what a sanitizer
/// holds back.
#pragma once

#include <cstddef>

namespace corianderplank {

/// Starts a new measurement.
/// @return bytes that are allocated now.
std::size_t RestartHeapPeak();

/// @return most bytes that were allocated at once since the last restart.
std::size_t HeapPeak();

}  // namespace corianderplank
