#include "wire/control_codec.h"

#include <control_generated.h>

namespace corianderplank {

std::string EncodeControl(const control_message& message) {
  flatbuffers::FlatBufferBuilder builder;
  const auto environment = builder.CreateString(message.environment);
  const auto document = builder.CreateString(message.document);
  schema::ControlBuilder table(builder);
  table.add_version(kProtocolVersion);
  table.add_kind(static_cast<std::uint8_t>(message.kind));
  table.add_flow(message.fence.flow.value);
  table.add_target(message.fence.token.target.value);
  table.add_service(message.fence.token.service.value);
  table.add_incarnation(message.fence.token.incarnation.value);
  table.add_serial(message.fence.token.serial);
  table.add_mac(message.fence.token.mac);
  table.add_oldest_sequence(message.fence.oldest_sequence);
  table.add_found(message.fenced.found);
  table.add_started(message.fenced.started);
  table.add_environment(environment);
  table.add_revision(message.revision.value);
  table.add_document(document);
  builder.Finish(table.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<control_message> DecodeControl(std::string_view bytes) {
  constexpr int kMaxDepth = 4;
  constexpr int kMaxTables = 4;
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
      kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<schema::Control>(nullptr)) {
    return std::nullopt;
  }
  const auto* table = flatbuffers::GetRoot<schema::Control>(bytes.data());
  if (table->version() != kProtocolVersion ||
      table->kind() < static_cast<std::uint8_t>(control_kind::fence) ||
      table->kind() > static_cast<std::uint8_t>(control_kind::document)) {
    return std::nullopt;
  }
  control_message message;
  message.kind = static_cast<control_kind>(table->kind());
  message.fence.flow = {table->flow()};
  message.fence.token = {{table->target()},
                         {table->service()},
                         {table->incarnation()},
                         table->serial(),
                         table->mac()};
  message.fence.oldest_sequence = table->oldest_sequence();
  message.fenced.found = table->found();
  message.fenced.started = table->started();
  message.revision = {table->revision()};
  if (table->environment() != nullptr) {
    message.environment = table->environment()->str();
  }
  if (table->document() != nullptr) {
    message.document = table->document()->str();
  }
  return message;
}

}  // namespace corianderplank
