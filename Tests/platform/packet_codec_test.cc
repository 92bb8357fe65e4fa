/// @file
/// Tests of packet_codec with the published examples and arbitrary bytes.

#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "platform/packet_codec.h"

namespace corianderplank::platform {
namespace {

std::string FromHex(const std::string& text) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < text.size(); at += 3) {
    bytes += static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

const std::string kOpening = FromHex(
    "d5 c3 b2 a1 44 33 22 11 00 00 00 00 00 00 00 00 01 00 00 00 00 00 bb 01 "
    "07 00 40 64 41 9c 01 00 12 c6 ");
const std::string kReset = FromHex(
    "00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 10 00 00 00 00 00 41 9c "
    "01 00 12 c6 bb 01 07 00 40 64 ");

TEST_CASE("an opening packet") {
  const auto packet = packet_codec().Decode(kOpening);
  REQUIRE(packet);
  CHECK(packet->synchronize);
  CHECK_FALSE(packet->acknowledge);
  CHECK_FALSE(packet->returned);
  CHECK(packet->sequence == 0x11223344);
  CHECK(packet->copies == 0);
  CHECK(FormatEndpoint(packet->source) == "100.64.0.7:40001");
  CHECK(FormatEndpoint(packet->destination) == "198.18.0.1:443");
}

TEST_CASE("copies of an opening packet indicate the client's waiting time") {
  using namespace std::chrono_literals;
  constexpr std::size_t kCopiesAt = 8;
  std::string copy = kOpening;
  CHECK(packet_codec().Decode(copy)->since_first_copy == 0ms);
  copy[kCopiesAt] = 1;
  CHECK(packet_codec().Decode(copy)->since_first_copy == 200ms);
  copy[kCopiesAt] = 2;
  CHECK(packet_codec().Decode(copy)->since_first_copy == 600ms);
}

TEST_CASE("a reset") {
  const auto packet = packet_codec().Decode(kOpening);
  REQUIRE(packet);
  CHECK(packet_codec().EncodeReset(packet->FromClient(), 0) == kReset);
}

TEST_CASE("a returned packet is restored for its next delivery") {
  std::string returned = kOpening;
  returned[16] = static_cast<char>(returned[16] | 2);
  CHECK(packet_codec().Decode(returned)->returned);
  CHECK(packet_codec().RestoreReturned(returned) == kOpening);
}

TEST_CASE("lengths that do not fit are no packets") {
  const packet_codec codec;
  CHECK_FALSE(codec.Decode(""));
  CHECK_FALSE(codec.Decode(kOpening.substr(0, 33)));
  CHECK_FALSE(codec.Decode(kOpening + "x"));
  std::string longest = kOpening + std::string(1200, 'x');
  longest[20] = static_cast<char>(1200 & 0xff);
  longest[21] = static_cast<char>(1200 >> 8);
  REQUIRE(codec.Decode(longest));
  CHECK(codec.Decode(longest)->payload_bytes == 1200);
  longest += 'x';
  longest[20] = static_cast<char>(1201 & 0xff);
  CHECK_FALSE(codec.Decode(longest));
}

TEST_CASE("arbitrary bytes are decoded or rejected without overread") {
  rc::check([](const std::string& bytes) {
    const auto packet = packet_codec().Decode(bytes);
    if (packet) {
      RC_ASSERT(bytes.size() == 34U + packet->payload_bytes);
      const std::string reset =
          packet_codec().EncodeReset(packet->FromClient(), packet->sequence);
      RC_ASSERT(packet_codec().Decode(reset)->reset);
    }
  });
  // Headers of the right length, which random strings rarely have.
  rc::check([](std::uint64_t seed) {
    std::string bytes(34, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(MixHash(++seed, 0));
    }
    bytes[20] = 0;
    bytes[21] = 0;
    RC_ASSERT(packet_codec().Decode(bytes).has_value());
  });
}

}  // namespace
}  // namespace corianderplank::platform
