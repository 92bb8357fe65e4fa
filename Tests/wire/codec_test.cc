/// @file
/// Encoding, decoding and bad input.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "wire/control_codec.h"
#include "wire/datagram_codec.h"

namespace corianderplank {
namespace {

packet SamplePacket() {
  packet value;
  value.kind = packet_kind::request;
  value.service = {11};
  value.flow = {12};
  value.token = flow_token{{1}, {11}, {3}, 4, 5};
  value.attempt = 6;
  value.sequence = 7;
  value.oldest_sequence = 3;
  value.request_id = 99;
  value.work = work_kind::upload;
  value.traffic_class = 2;
  value.idempotent = true;
  value.time = std::chrono::milliseconds(1500);
  value.position = 8;
  value.count = 9;
  value.payload = "payload";
  return value;
}

TEST_CASE("a packet survives encoding") {
  datagram_encoder encoder;
  const packet value = SamplePacket();
  const std::string bytes(encoder.Encode(value));
  packet decoded;
  REQUIRE(DecodePacket(bytes, decoded) == result_code::answered);
  CHECK(decoded.kind == value.kind);
  CHECK(decoded.token == value.token);
  CHECK(decoded.flow == value.flow);
  CHECK(decoded.sequence == value.sequence);
  CHECK(decoded.oldest_sequence == value.oldest_sequence);
  CHECK(decoded.work == value.work);
  CHECK(decoded.idempotent);
  CHECK(decoded.time == value.time);
  CHECK(decoded.payload == "payload");
}

TEST_CASE("an envelope survives encoding with its packet inside") {
  datagram_encoder inner;
  datagram_encoder outer;
  envelope value;
  value.kind = envelope_kind::to_agent;
  value.service = {11};
  value.caller = {0x7f000001, 4000};
  value.entry = {0x7f000101, 6000};
  value.revision = {17};
  value.visited = {target_id{5}, target_id{6}};
  const std::string packet_bytes(inner.Encode(SamplePacket()));
  value.inner = packet_bytes;
  const std::string bytes(outer.Encode(value));
  envelope decoded;
  REQUIRE(DecodeEnvelope(bytes, decoded) == result_code::answered);
  CHECK(decoded.caller == value.caller);
  CHECK(decoded.entry == value.entry);
  CHECK(decoded.revision == value.revision);
  CHECK(decoded.visited == value.visited);
  CHECK(decoded.inner == packet_bytes);
}

TEST_CASE("no refusal is larger than what it answers") {
  datagram_encoder encoder;
  packet open;
  open.kind = packet_kind::open;
  open.service = {~0ULL};
  open.flow = {~0ULL};
  const std::size_t open_bytes = encoder.Encode(open).size();
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.service = {~0ULL};
  refusal.flow = {~0ULL};
  refusal.attempt = 0xffff;
  refusal.code = result_code::no_target;
  refusal.time = std::chrono::milliseconds(0xffffffff);
  CHECK(encoder.Encode(refusal).size() <= open_bytes);
  packet opened = SamplePacket();
  opened.kind = packet_kind::opened;
  opened.payload = {};
  opened.selective = ~0ULL;
  opened.fragment = 1;
  CHECK(encoder.Encode(opened).size() <= open_bytes);
  // The answer to a token that is no longer known carries no token itself.
  packet ping;
  ping.kind = packet_kind::ping;
  ping.service = {~0ULL};
  ping.flow = {~0ULL};
  ping.token = flow_token{{1}, {2}, {3}, 4, 5};
  const std::size_t ping_bytes = encoder.Encode(ping).size();
  refusal.attempt = 0;
  refusal.time = std::chrono::milliseconds(0);
  refusal.position = ~0ULL;
  refusal.sequence = ~0U;
  CHECK(encoder.Encode(refusal).size() <= ping_bytes);
}

TEST_CASE("other versions and sizes are told apart") {
  packet decoded;
  CHECK(DecodePacket(std::string(kMaxPacketBytes + 1, 'x'), decoded) ==
        result_code::oversized);
  CHECK(DecodePacket("", decoded) == result_code::malformed);
  datagram_encoder encoder;
  std::string bytes(encoder.Encode(SamplePacket()));
  int other_version = 0;
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    std::string changed = bytes;
    changed[index] = static_cast<char>(changed[index] + 1);
    other_version +=
        DecodePacket(changed, decoded) == result_code::wrong_version;
  }
  CHECK(other_version >= 1);
}

TEST_CASE("the decoders read nothing beyond any input") {
  CHECK(rc::check("random bytes", [](const std::string& bytes) {
    packet value;
    envelope wrapped;
    DecodePacket(bytes, value);
    DecodeEnvelope(bytes, wrapped);
    DecodeControl(bytes);
  }));
  CHECK(rc::check("changed and cut datagrams", [] {
    datagram_encoder encoder;
    std::string bytes(encoder.Encode(SamplePacket()));
    const auto changes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        3, rc::gen::pair(rc::gen::inRange(0, static_cast<int>(bytes.size())),
                         rc::gen::inRange(0, 256)));
    for (const auto& [place, byte] : changes) {
      bytes[static_cast<std::size_t>(place)] = static_cast<char>(byte);
    }
    bytes.resize(static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(bytes.size()) + 1)));
    // An exact copy, so that a sanitizer sees a read beyond it.
    const std::vector<char> exact(bytes.begin(), bytes.end());
    packet value;
    std::size_t sum = 0;
    const std::string_view view(exact.data(), exact.size());
    if (DecodePacket(view, value) == result_code::answered) {
      for (const char byte : value.payload) {
        sum += static_cast<unsigned char>(byte);
      }
      RC_ASSERT(value.payload.size() <= exact.size());
    }
    RC_ASSERT(sum <= exact.size() * 255);
  }));
}

TEST_CASE("control messages survive encoding and bad ones are refused") {
  control_message message;
  message.kind = control_kind::fence;
  message.fence.flow = {5};
  message.fence.token = flow_token{{1}, {2}, {3}, 4, 5};
  message.fence.oldest_sequence = 9;
  message.environment = "steppe";
  message.document = std::string(300000, 'd');
  const std::string bytes = EncodeControl(message);
  const auto decoded = DecodeControl(bytes);
  REQUIRE(decoded);
  CHECK(decoded->fence.token == message.fence.token);
  CHECK(decoded->document == message.document);
  CHECK_FALSE(DecodeControl(bytes.substr(0, bytes.size() / 2)));
  CHECK_FALSE(DecodeControl("nonsense"));
}

}  // namespace
}  // namespace corianderplank
