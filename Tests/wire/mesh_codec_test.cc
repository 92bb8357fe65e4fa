/// @file
/// Tests of mesh_codec: messages survive a round trip, and malformed bytes are
/// rejected.

#include <doctest/doctest.h>

#include <cstring>
#include <vector>

#include <rapidcheck.h>

#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kNow = time_point() + 1h;

/// Bytes at the alignment of a receive buffer.
struct aligned_bytes {
  explicit aligned_bytes(std::string_view bytes)
      : words(bytes.size() / sizeof(std::uint64_t) + 1), size(bytes.size()) {
    std::memcpy(words.data(), bytes.data(), bytes.size());
  }
  std::string_view View() const {
    return {reinterpret_cast<const char*>(words.data()), size};
  }
  std::vector<std::uint64_t> words;
  std::size_t size;
};

mesh_message FullMessage() {
  mesh_message message;
  message.kind = mesh_kind::flow_query_results;
  message.flow = {{1, 2}, {3, 4}};
  message.service = {5};
  message.searching = true;
  message.wrong_service = true;
  message.sequence = 6;
  message.load = {7, 8};
  message.target_start_ms = 9;
  message.slots = 10;
  message.policy = {11, 12ms};
  message.waited = 22ms;
  message.queries = {{{{13, 14}, {15, 16}}, 17, flow_query_result::holds}};
  message.members = {18, 19};
  message.unlisted = {{20, {21}}};
  message.all_agents_known = true;
  message.round = 23;
  message.flows = {24, 25};
  message.complete = true;
  message.absent = true;
  message.known_for = 28ms;
  message.ended = {{26, 27}};
  message.payload = "payload";
  return message;
}

TEST_CASE("a message survives a round trip") {
  mesh_encoder encoder;
  const aligned_bytes bytes(encoder.Encode(FullMessage()));
  const auto message = DecodeMesh(bytes.View());
  REQUIRE(message);
  CHECK(message->kind == mesh_kind::flow_query_results);
  CHECK(message->flow == flow_address{{1, 2}, {3, 4}});
  CHECK(message->service.value == 5);
  CHECK(message->searching);
  CHECK(message->wrong_service);
  CHECK(message->sequence == 6);
  CHECK(message->load.open_flows == 7);
  CHECK(message->load.busy_permille == 8);
  CHECK(message->target_start_ms == 9);
  CHECK(message->slots == 10);
  CHECK(message->policy.priority == 11);
  CHECK(message->policy.latency_target == 12ms);
  CHECK(message->waited == 22ms);
  REQUIRE(message->queries.size() == 1);
  CHECK(message->queries[0].flow == flow_address{{13, 14}, {15, 16}});
  CHECK(message->queries[0].acknowledgement == 17);
  CHECK(message->queries[0].result == flow_query_result::holds);
  CHECK(message->members == std::vector<std::uint32_t>{18, 19});
  CHECK(message->absent);
  CHECK(message->known_for == 28ms);
  REQUIRE(message->ended.size() == 1);
  CHECK(message->ended[0].machine == 26);
  CHECK(message->ended[0].revision == 27);
  REQUIRE(message->unlisted.size() == 1);
  CHECK(message->unlisted[0].machine == 20);
  CHECK(message->unlisted[0].service.value == 21);
  CHECK(message->all_agents_known);
  CHECK(message->round == 23);
  CHECK(message->flows == std::vector<std::uint32_t>{24, 25});
  CHECK(message->complete);
  CHECK(message->payload == "payload");
}

// With sanitizers, a read of a misaligned row fails this test.
TEST_CASE("a message with shifted offsets is decoded or rejected") {
  mesh_encoder encoder;
  const std::string good(encoder.Encode(FullMessage()));
  for (std::size_t at = 0; at + sizeof(std::uint32_t) <= good.size(); ++at) {
    for (const std::uint32_t shift : {4U, 8U, 0U - 4U}) {
      std::string bytes = good;
      std::uint32_t word = 0;
      std::memcpy(&word, bytes.data() + at, sizeof(word));
      word += shift;
      std::memcpy(bytes.data() + at, &word, sizeof(word));
      const aligned_bytes copy(bytes);
      const auto message = DecodeMesh(copy.View());
      CHECK((!message || message->unlisted.size() < bytes.size()));
    }
  }
}

TEST_CASE(
    "the largest packet and the maximum number of queries fit a datagram") {
  constexpr std::size_t kDatagramBytes = 2048;
  mesh_encoder encoder;
  mesh_message message;
  const std::string packet(1234, 'x');
  message.payload = packet;
  CHECK(encoder.Encode(message).size() < kDatagramBytes);
  message.payload = {};
  message.kind = mesh_kind::flow_queries;
  message.queries.resize(kMaxFlowQueries);
  CHECK(encoder.Encode(message).size() < kDatagramBytes);
  // Messages to a new entry fit an Ethernet frame.
  constexpr std::size_t kFrameBytes = 1472;
  mesh_message agents;
  agents.kind = mesh_kind::members;
  agents.unlisted.resize(72, {1, {2}});
  CHECK(encoder.Encode(agents).size() < kFrameBytes);
  mesh_message others;
  others.kind = mesh_kind::members;
  others.members.resize(200, 1);
  others.ended.resize(32, {1, 2});
  CHECK(encoder.Encode(others).size() < kFrameBytes);
}

TEST_CASE("a fleet update survives a round trip, with times as durations") {
  fleet_update update;
  update.base_revision = 3;
  update.revision = 9;
  update.age = 120ms;
  update.configuration_version = 4;
  update.configuration_revision = 8;
  update.configuration = "text";
  update.holders_known_for = 5000ms;
  fleet_target item;
  item.id = {1};
  item.address = {2, 3};
  item.service = {4};
  item.failure_domain = 5;
  item.slots = 6;
  item.state = target_state::draining;
  item.revision = 7;
  item.target_start_ms = 8;
  item.warm_up_until = kNow + 900ms;
  item.removed = true;
  item.removed_at = kNow - 700ms;
  item.may_return_until = kNow + 300ms;
  update.targets = {item};
  const aligned_bytes bytes(EncodeFleetUpdate(update, kNow));
  // The receiver's clock has a different origin.
  const time_point then = kNow + 100h;
  const auto back = DecodeFleetUpdate(bytes.View(), then);
  REQUIRE(back);
  CHECK(back->base_revision == 3);
  CHECK(back->revision == 9);
  CHECK(back->age == 120ms);
  CHECK(back->configuration_version == 4);
  CHECK(back->configuration_revision == 8);
  CHECK(back->configuration == "text");
  CHECK(back->holders_known_for == 5000ms);
  REQUIRE(back->targets.size() == 1);
  const fleet_target& target = back->targets[0];
  CHECK(target.id.value == 1);
  CHECK(target.address == endpoint{2, 3});
  CHECK(target.service.value == 4);
  CHECK(target.failure_domain == 5);
  CHECK(target.slots == 6);
  CHECK(target.state == target_state::draining);
  CHECK(target.revision == 7);
  CHECK(target.target_start_ms == 8);
  CHECK(target.warm_up_until == then + 900ms);
  CHECK(target.removed);
  CHECK(target.removed_at == then - 700ms);
  CHECK(target.may_return_until == then + 300ms);
}

TEST_CASE("arbitrary bytes are rejected or read within bounds") {
  mesh_encoder encoder;
  const std::string message(encoder.Encode(FullMessage()));
  const std::string update = EncodeFleetUpdate({}, kNow);
  rc::check([&](std::uint64_t seed, const std::string& text) {
    DecodeMesh(aligned_bytes(text).View());
    DecodeFleetUpdate(aligned_bytes(text).View(), kNow);
    std::string changed = message;
    changed[seed % changed.size()] = static_cast<char>(MixHash(seed, 1));
    DecodeMesh(aligned_bytes(changed).View());
    changed = update;
    changed[seed % changed.size()] = static_cast<char>(MixHash(seed, 2));
    DecodeFleetUpdate(aligned_bytes(changed).View(), kNow);
    DecodeMesh(aligned_bytes(message.substr(0, seed % message.size())).View());
  });
}

}  // namespace
}  // namespace corianderplank
