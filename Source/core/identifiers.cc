#include "core/identifiers.h"

#include <charconv>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace corianderplank {

std::uint64_t HashName(std::string_view name) {
  const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
  return hash == 0 ? 1 : hash;
}

service_id ServiceIdOf(std::string_view name) {
  return {HashName(name)};
}

target_id TargetIdOf(std::string_view name) {
  return {HashName(name)};
}

std::uint64_t MixHash(std::uint64_t left, std::uint64_t right) {
  const std::uint64_t words[2] = {left, right};
  return XXH3_64bits(words, sizeof(words));
}

endpoint ParseEndpoint(std::string_view text) {
  constexpr int kOctets = 4;
  endpoint result;
  const char* cursor = text.data();
  const char* const end = cursor + text.size();
  for (int index = 0; index < kOctets; ++index) {
    unsigned octet = 0;
    const auto parsed = std::from_chars(cursor, end, octet);
    const char separator = index + 1 < kOctets ? '.' : ':';
    if (parsed.ec != std::errc() || octet > 255 || parsed.ptr == end ||
        *parsed.ptr != separator) {
      return {};
    }
    result.address = (result.address << 8) | octet;
    cursor = parsed.ptr + 1;
  }
  const auto parsed = std::from_chars(cursor, end, result.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return {};
  }
  return result;
}

namespace {

std::string Octets(std::uint32_t address) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((address >> shift) & 0xff);
    text += shift > 0 ? "." : "";
  }
  return text;
}

}  // namespace

std::string FormatEndpoint(const endpoint& value) {
  return Octets(value.address) + ":" + std::to_string(value.port);
}

std::string FormatAddress(std::uint32_t address) {
  return address == 0 ? std::string() : Octets(address);
}

}  // namespace corianderplank
