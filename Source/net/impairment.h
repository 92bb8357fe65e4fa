/// @file
/// Loses, doubles, delays and blocks traffic on request, to rehearse faults.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>

#include "core/identifiers.h"

namespace corianderplank {

/// Shares of datagrams that are impaired, in thousandths.
struct impairment_rates {
  std::uint32_t loss_permille = 0;
  std::uint32_t duplicate_permille = 0;
  std::uint32_t reorder_permille = 0;
};

/// What happens to one datagram.
enum class impairment_verdict : std::uint8_t { pass, lose, duplicate, reorder };

/// Decides over each outgoing datagram. Safe for any thread.
class impairment {
 public:
  /// @param seed seed of the choices.
  /// @param rates the shares.
  impairment(std::uint64_t seed, const impairment_rates& rates);

  /// @param to where a datagram would go.
  /// @return what happens to it.
  impairment_verdict Judge(const endpoint& to);

  /// @param peers addresses that cannot be reached from now on.
  void Block(std::set<endpoint> peers);

  /// @param to an address.
  /// @return whether it cannot be reached.
  bool IsBlocked(const endpoint& to);

 private:
  std::mutex mutex_;
  std::uint64_t seed_;
  std::uint64_t draws_ = 0;
  impairment_rates rates_;
  std::set<endpoint> blocked_;
};

}  // namespace corianderplank
