/// @file
/// Strongly typed identifiers that every library shares.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace corianderplank {

/// A point of the monotonic clock; core never reads the clock itself.
using time_point = std::chrono::steady_clock::time_point;

/// Hash of a service's name in the environment document.
struct service_id {
  std::uint64_t value = 0;
  auto operator<=>(const service_id&) const = default;
};

/// Hash of a target's name in the environment document.
struct target_id {
  std::uint64_t value = 0;
  auto operator<=>(const target_id&) const = default;
};

/// Number that a caller draws at random for one flow.
struct flow_id {
  std::uint64_t value = 0;
  auto operator<=>(const flow_id&) const = default;
};

/// Number that an agent draws at random when its process starts.
struct incarnation_id {
  std::uint64_t value = 0;
  auto operator<=>(const incarnation_id&) const = default;
};

/// Revision of the environment document; 0 means none.
struct revision_number {
  std::uint64_t value = 0;
  auto operator<=>(const revision_number&) const = default;
};

/// An IPv4 address and port, both in host byte order.
struct endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const endpoint&) const = default;
  /// @return whether the endpoint can be sent to.
  bool IsValid() const { return address != 0 && port != 0; }
};

/// @param name a name from the environment document.
/// @return the 64-bit hash that stands for the name on the wire; never 0.
std::uint64_t HashName(std::string_view name);

/// @param name a service's name.
/// @return its identifier.
service_id ServiceIdOf(std::string_view name);

/// @param name a target's name.
/// @return its identifier.
target_id TargetIdOf(std::string_view name);

/// Mixes two numbers into one that is uniform; used for seeded choices.
/// @param left first number.
/// @param right second number.
/// @return the mixed number.
std::uint64_t MixHash(std::uint64_t left, std::uint64_t right);

/// @param text an address such as "127.0.0.1:7000".
/// @return the endpoint, or one that is not valid when the text is malformed.
endpoint ParseEndpoint(std::string_view text);

/// @param value an endpoint.
/// @return its text, such as "127.0.0.1:7000".
std::string FormatEndpoint(const endpoint& value);

/// @param address an IPv4 address in host byte order.
/// @return its text, such as "127.0.0.1"; empty for 0.
std::string FormatAddress(std::uint32_t address);

/// Hash functor for the identifiers, which are uniform already.
struct identifier_hash {
  template <typename identifier>
  std::size_t operator()(const identifier& id) const {
    return static_cast<std::size_t>(id.value);
  }
};

}  // namespace corianderplank
