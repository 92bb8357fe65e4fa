/// @file
/// Sizes of the requests of each route, learned from what clients send.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "core/identifiers.h"

namespace corianderplank {

/// Bytes that a client has in flight at most: 16 packets of 1,200 bytes. A
/// larger request needs further round trips to arrive.
inline constexpr std::uint64_t kWindowBytes = 19200;

/// Mean size of the latest requests by route. Not thread-safe.
class route_sizes {
 public:
  /// @param route address and port of a route.
  /// @param bytes payload of a request of it; 0 is ignored.
  void Learn(const endpoint& route, std::uint64_t bytes);

  /// @param route address and port of a route.
  /// @return payload that a request of it has as a rule; 0 if not known.
  std::uint64_t Expected(const endpoint& route) const;

 private:
  struct hash_of_route {
    std::size_t operator()(const endpoint& route) const;
  };
  std::unordered_map<endpoint, double, hash_of_route> mean_bytes_;
};

}  // namespace corianderplank
