/// @file
/// Reads the admin ports of many processes at once.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// The page of one process, or nothing when it could not be read.
struct fleet_page {
  endpoint address;
  std::optional<std::string> body;
};

/// @param addresses admin ports.
/// @param target path and query.
/// @param timeout how long to wait for each.
/// @return one page an address, in the same order.
std::vector<fleet_page> ReadFleet(const std::vector<endpoint>& addresses,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout);

}  // namespace corianderplank
