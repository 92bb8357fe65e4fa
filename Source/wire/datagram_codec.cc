#include "wire/datagram_codec.h"

#include <datagram_generated.h>

namespace corianderplank {
namespace {

constexpr std::size_t kMaxEnvelopeBytes = kMaxPacketBytes + 200;
constexpr std::size_t kInitialBufferBytes = 4096;
constexpr int kMaxVerifierDepth = 4;
constexpr int kMaxVerifierTables = 4;
/// Fields are read in place, so a datagram must begin at such an address.
constexpr std::size_t kAlignment = 8;

flatbuffers::Verifier VerifierFor(std::string_view datagram) {
  return flatbuffers::Verifier(
      reinterpret_cast<const std::uint8_t*>(datagram.data()), datagram.size(),
      kMaxVerifierDepth, kMaxVerifierTables);
}

bool IsAligned(std::string_view datagram) {
  return reinterpret_cast<std::uintptr_t>(datagram.data()) % kAlignment == 0;
}

std::string_view ViewOf(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

bool IsKnownKind(std::uint8_t kind) {
  return kind >= static_cast<std::uint8_t>(packet_kind::open) &&
         kind <= static_cast<std::uint8_t>(packet_kind::noted);
}

flow_token TokenOf(const schema::Token& token) {
  return {{token.target()},
          {token.service()},
          {token.incarnation()},
          token.serial(),
          token.mac()};
}

}  // namespace

struct datagram_encoder::state {
  flatbuffers::FlatBufferBuilder builder{kInitialBufferBytes};

  std::string_view Finished() const {
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
  }

  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> Bytes(
      std::string_view bytes) {
    if (bytes.empty()) {
      return 0;
    }
    return builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }
};

datagram_encoder::datagram_encoder() : state_(std::make_unique<state>()) {}
datagram_encoder::~datagram_encoder() = default;

std::string_view datagram_encoder::Encode(const packet& value) {
  static constexpr char kPadding[kOpenPaddingBytes] = {};
  std::string_view payload = value.payload;
  if (value.kind == packet_kind::open) {
    payload = {kPadding, sizeof(kPadding)};
  }
  flatbuffers::FlatBufferBuilder& builder = state_->builder;
  builder.Clear();
  const auto payload_offset = state_->Bytes(payload);
  schema::PacketBuilder table(builder);
  schema::Token token;
  if (value.token) {
    token = schema::Token(value.token->target.value, value.token->service.value,
                          value.token->incarnation.value, value.token->serial,
                          value.token->mac);
    table.add_token(&token);
  }
  table.add_service(value.service.value);
  table.add_flow(value.flow.value);
  table.add_request_id(value.request_id);
  table.add_selective(value.selective);
  table.add_position(value.position);
  table.add_payload(payload_offset);
  table.add_sequence(value.sequence);
  table.add_oldest_sequence(value.oldest_sequence);
  table.add_time_ms(static_cast<std::uint32_t>(value.time.count()));
  table.add_fragment(value.fragment);
  table.add_count(value.count);
  table.add_attempt(value.attempt);
  table.add_code(static_cast<std::uint16_t>(value.code));
  table.add_version(kProtocolVersion);
  table.add_kind(static_cast<std::uint8_t>(value.kind));
  table.add_work(static_cast<std::uint8_t>(value.work));
  table.add_traffic_class(value.traffic_class);
  table.add_idempotent(value.idempotent);
  table.add_fenced(value.fenced);
  table.add_last(value.last);
  builder.Finish(table.Finish());
  return state_->Finished();
}

std::string_view datagram_encoder::Encode(const envelope& value) {
  flatbuffers::FlatBufferBuilder& builder = state_->builder;
  builder.Clear();
  builder.ForceVectorAlignment(value.inner.size(), 1, kAlignment);
  const auto inner = state_->Bytes(value.inner);
  schema::EnvelopeBuilder table(builder);
  table.add_service(value.service.value);
  table.add_revision(value.revision.value);
  table.add_target(value.target.value);
  table.add_first_visited(value.visited[0].value);
  table.add_second_visited(value.visited[1].value);
  table.add_inner(inner);
  table.add_caller_address(value.caller.address);
  table.add_entry_address(value.entry.address);
  table.add_load_permille(value.load_permille);
  table.add_caller_port(value.caller.port);
  table.add_entry_port(value.entry.port);
  table.add_control_port(value.control_port);
  table.add_version(kProtocolVersion);
  table.add_kind(static_cast<std::uint8_t>(value.kind));
  table.add_serving(value.serving);
  builder.Finish(table.Finish());
  return state_->Finished();
}

result_code DecodePacket(std::string_view datagram, packet& result) {
  if (datagram.size() > kMaxPacketBytes) {
    return result_code::oversized;
  }
  flatbuffers::Verifier verifier = VerifierFor(datagram);
  if (!IsAligned(datagram) || !verifier.VerifyBuffer<schema::Packet>(nullptr)) {
    return result_code::malformed;
  }
  const auto* table = flatbuffers::GetRoot<schema::Packet>(datagram.data());
  if (table->version() != kProtocolVersion) {
    return result_code::wrong_version;
  }
  if (!IsKnownKind(table->kind()) ||
      table->work() > static_cast<std::uint8_t>(work_kind::upload)) {
    return result_code::malformed;
  }
  result.kind = static_cast<packet_kind>(table->kind());
  result.service = {table->service()};
  result.flow = {table->flow()};
  result.token.reset();
  if (table->token() != nullptr) {
    result.token = TokenOf(*table->token());
  }
  result.attempt = table->attempt();
  result.sequence = table->sequence();
  result.oldest_sequence = table->oldest_sequence();
  result.request_id = table->request_id();
  result.work = static_cast<work_kind>(table->work());
  result.traffic_class = table->traffic_class();
  result.idempotent = table->idempotent();
  result.fenced = table->fenced();
  result.last = table->last();
  result.code = static_cast<result_code>(table->code());
  result.time = std::chrono::milliseconds(table->time_ms());
  result.fragment = table->fragment();
  result.selective = table->selective();
  result.position = table->position();
  result.count = table->count();
  result.payload = ViewOf(table->payload());
  return result_code::answered;
}

result_code DecodeEnvelope(std::string_view datagram, envelope& result) {
  if (datagram.size() > kMaxEnvelopeBytes) {
    return result_code::oversized;
  }
  flatbuffers::Verifier verifier = VerifierFor(datagram);
  if (!IsAligned(datagram) ||
      !verifier.VerifyBuffer<schema::Envelope>(nullptr)) {
    return result_code::malformed;
  }
  const auto* table = flatbuffers::GetRoot<schema::Envelope>(datagram.data());
  if (table->version() != kProtocolVersion) {
    return result_code::wrong_version;
  }
  if (table->kind() < static_cast<std::uint8_t>(envelope_kind::to_agent) ||
      table->kind() > static_cast<std::uint8_t>(envelope_kind::load_report)) {
    return result_code::malformed;
  }
  result.kind = static_cast<envelope_kind>(table->kind());
  result.service = {table->service()};
  result.caller = {table->caller_address(), table->caller_port()};
  result.entry = {table->entry_address(), table->entry_port()};
  result.revision = {table->revision()};
  result.control_port = table->control_port();
  result.target = {table->target()};
  result.load_permille = table->load_permille();
  result.serving = table->serving();
  result.visited = {target_id{table->first_visited()},
                    target_id{table->second_visited()}};
  result.inner = ViewOf(table->inner());
  return result_code::answered;
}

}  // namespace corianderplank
