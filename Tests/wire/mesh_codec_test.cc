/// @file
/// Tests of mesh_codec: messages survive a round trip, and malformed bytes are
/// rejected.

#include <doctest/doctest.h>

#include <cstring>
#include <vector>

#include <rapidcheck.h>

#include "wire/mesh_codec.h"
#include "wire/text_compression.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kNow = time_point() + 1h;

/// Bytes at the alignment of a receive buffer, or shifted from it.
struct aligned_bytes {
  explicit aligned_bytes(std::string_view bytes, std::size_t shift = 0)
      : words(bytes.size() / sizeof(std::uint64_t) + 2),
        size(bytes.size()),
        shift(shift) {
    std::memcpy(reinterpret_cast<char*>(words.data()) + shift, bytes.data(),
                bytes.size());
  }
  std::string_view View() const {
    return {reinterpret_cast<const char*>(words.data()) + shift, size};
  }
  std::vector<std::uint64_t> words;
  std::size_t size;
  std::size_t shift;
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
  message.policy = {11, 12ms, 30ms, true};
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
  message.pause = 29ms;
  message.ended = {{26, {27, 28}}};
  message.part = 30;
  message.part_count = 31;
  message.sender_started_ms = 32;
  message.payload = "payload";
  return message;
}

TEST_CASE("answer profiles and suspicion survive a round trip") {
  mesh_message sent;
  sent.kind = mesh_kind::refused;
  sent.suspected = true;
  sent.profiles = {{{1, 2}, 3, 4ms, 5}, {{6, 7}, 8, 9ms, 10}};
  mesh_encoder encoder;
  const aligned_bytes bytes(encoder.Encode(sent));
  const auto message = DecodeMesh(bytes.View());
  REQUIRE(message);
  CHECK(message->suspected);
  CHECK(message->profiles == sent.profiles);
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
  CHECK(message->policy.timeout == 30ms);
  CHECK(message->policy.repeatable);
  CHECK(message->waited == 22ms);
  REQUIRE(message->queries.size() == 1);
  CHECK(message->queries[0].flow == flow_address{{13, 14}, {15, 16}});
  CHECK(message->queries[0].acknowledgement == 17);
  CHECK(message->queries[0].result == flow_query_result::holds);
  CHECK(message->members == std::vector<std::uint32_t>{18, 19});
  CHECK(message->absent);
  CHECK(message->known_for == 28ms);
  CHECK(message->pause == 29ms);
  REQUIRE(message->ended.size() == 1);
  CHECK(message->ended[0].machine == 26);
  CHECK(message->ended[0].revision == source_revision(27, 28));
  REQUIRE(message->unlisted.size() == 1);
  CHECK(message->unlisted[0].machine == 20);
  CHECK(message->unlisted[0].service.value == 21);
  CHECK(message->all_agents_known);
  CHECK(message->round == 23);
  CHECK(message->flows == std::vector<std::uint32_t>{24, 25});
  CHECK(message->complete);
  CHECK(message->part == 30);
  CHECK(message->part_count == 31);
  CHECK(message->sender_started_ms == 32);
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
  update.base_revision = {3, 11};
  update.revision = {9, 12};
  update.settled = false;
  update.has_ignored_rows = true;
  update.age = 120ms;
  update.configuration_version = 4;
  update.configuration_revision = {8, 13};
  update.configuration = "text";
  update.holders_known_for = 5000ms;
  update.history = 6000ms;
  fleet_target item;
  item.id = {1};
  item.address = {2, 3};
  item.service = {4};
  item.failure_domain = 5;
  item.slots = 6;
  item.state = target_state::draining;
  item.revision = {7, 14};
  item.report_number = 15;
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
  CHECK(back->base_revision == source_revision(3, 11));
  CHECK(back->revision == source_revision(9, 12));
  CHECK_FALSE(back->settled);
  CHECK(back->has_ignored_rows);
  CHECK(back->age == 120ms);
  CHECK(back->configuration_version == 4);
  CHECK(back->configuration_revision == source_revision(8, 13));
  CHECK(back->configuration == "text");
  CHECK(back->holders_known_for == 5000ms);
  CHECK(back->history == 6000ms);
  REQUIRE(back->targets.size() == 1);
  const fleet_target& target = back->targets[0];
  CHECK(target.id.value == 1);
  CHECK(target.address == endpoint{2, 3});
  CHECK(target.service.value == 4);
  CHECK(target.failure_domain == 5);
  CHECK(target.slots == 6);
  CHECK(target.state == target_state::draining);
  CHECK(target.revision == source_revision(7, 14));
  CHECK(target.report_number == 15);
  CHECK(target.target_start_ms == 8);
  CHECK(target.warm_up_until == then + 900ms);
  CHECK(target.removed);
  CHECK(target.removed_at == then - 700ms);
  CHECK(target.may_return_until == then + 300ms);
}

// A receive buffer, a slice of a datagram and an HTTP body differ in alignment.
constexpr std::size_t kAlignments = 8;

/// @return an update with a configuration of many similar routes.
fleet_update UpdateWithRoutes() {
  fleet_update update;
  update.configuration_version = 4;
  for (int route = 0; route < 2000; ++route) {
    update.configuration += R"({"Name":"r-)" + std::to_string(route) +
                            R"(","Hostname":"198.18.0.1","TimeoutMs":2500},)";
  }
  update.compressed_configuration = CompressText(update.configuration);
  return update;
}

TEST_CASE("a compressed configuration survives a round trip") {
  const fleet_update update = UpdateWithRoutes();
  const std::string bytes = EncodeFleetUpdate(update, kNow);
  CHECK(bytes.size() * 4 < update.configuration.size());
  const auto back = DecodeFleetUpdate(bytes, kNow);
  REQUIRE(back);
  CHECK(back->configuration == update.configuration);
  CHECK(back->compressed_configuration == update.compressed_configuration);
}

TEST_CASE("a damaged compressed configuration makes an update malformed") {
  const fleet_update update = UpdateWithRoutes();
  fleet_update damaged = update;
  damaged.compressed_configuration.resize(
      update.compressed_configuration.size() / 2);
  CHECK_FALSE(DecodeFleetUpdate(EncodeFleetUpdate(damaged, kNow), kNow));
  damaged = update;
  damaged.compressed_configuration[100] ^= 1;
  CHECK_FALSE(DecodeFleetUpdate(EncodeFleetUpdate(damaged, kNow), kNow));
  // The announced size is that of the text, neither more nor less.
  damaged = update;
  damaged.configuration.pop_back();
  CHECK_FALSE(DecodeFleetUpdate(EncodeFleetUpdate(damaged, kNow), kNow));
  damaged = update;
  damaged.configuration += "x";
  CHECK_FALSE(DecodeFleetUpdate(EncodeFleetUpdate(damaged, kNow), kNow));
}

// Guards against a small message that takes the memory of a machine.
TEST_CASE("a compressed configuration that expands too far is malformed") {
  fleet_update update;
  update.configuration = std::string(8 * 1024 * 1024, ' ');
  update.compressed_configuration = CompressText(update.configuration);
  CHECK_FALSE(DecodeFleetUpdate(EncodeFleetUpdate(update, kNow), kNow));
}

TEST_CASE("every encoded message decodes, at each length and alignment") {
  mesh_encoder encoder;
  for (int kind = static_cast<int>(mesh_kind::deliver);
       kind <= static_cast<int>(mesh_kind::handover_request); ++kind) {
    for (const std::size_t rows : {0, 1, 40}) {
      for (std::size_t payload = 0; payload < kAlignments; ++payload) {
        mesh_message message;
        message.kind = static_cast<mesh_kind>(kind);
        message.queries.resize(rows, {{{1, 2}, {3, 4}}, 5});
        message.members.resize(rows, 6);
        message.unlisted.resize(rows, {7, {8}});
        message.flows.resize(rows, 9);
        message.ended.resize(rows, {10, 11});
        const std::string text(rows + payload, 'x');
        message.payload = text;
        const std::string encoded(encoder.Encode(message));
        for (std::size_t shift = 0; shift < kAlignments; ++shift) {
          CAPTURE(kind);
          CAPTURE(rows);
          CAPTURE(payload);
          CAPTURE(shift);
          const aligned_bytes bytes(encoded, shift);
          const auto decoded = DecodeMesh(bytes.View());
          REQUIRE(decoded);
          CHECK(decoded->kind == message.kind);
          CHECK(decoded->queries.size() == rows);
          CHECK(decoded->members.size() == rows);
          CHECK(decoded->unlisted.size() == rows);
          CHECK(decoded->flows.size() == rows);
          CHECK(decoded->ended.size() == rows);
          CHECK(decoded->payload == text);
        }
      }
    }
  }
}

TEST_CASE("every encoded fleet update decodes, at each length and alignment") {
  mesh_encoder encoder;
  for (const std::size_t targets : {0, 1, 12}) {
    for (const std::size_t ended : {0, 1, 32}) {
      for (std::size_t length = 0; length < 2 * kAlignments; ++length) {
        fleet_update update;
        update.revision = 3;
        update.configuration = std::string(length, 'x');
        update.targets.resize(targets);
        update.ended.resize(ended, {1, 2});
        const std::string encoded = EncodeFleetUpdate(update, kNow);
        mesh_message message;
        message.kind = mesh_kind::fleet_update;
        message.payload = encoded;
        const std::string datagram(encoder.Encode(message));
        for (std::size_t shift = 0; shift < kAlignments; ++shift) {
          CAPTURE(targets);
          CAPTURE(ended);
          CAPTURE(length);
          CAPTURE(shift);
          const aligned_bytes body(encoded, shift);
          const auto fetched = DecodeFleetUpdate(body.View(), kNow);
          REQUIRE(fetched);
          CHECK(fetched->revision == 3);
          CHECK(fetched->configuration == update.configuration);
          CHECK(fetched->targets.size() == targets);
          CHECK(fetched->ended.size() == ended);
          const aligned_bytes received(datagram, shift);
          const auto outer = DecodeMesh(received.View());
          REQUIRE(outer);
          const auto sent = DecodeFleetUpdate(outer->payload, kNow);
          REQUIRE(sent);
          CHECK(sent->targets.size() == targets);
          CHECK(sent->ended.size() == ended);
        }
      }
    }
  }
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
