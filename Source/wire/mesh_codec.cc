#include "wire/mesh_codec.h"

#include <algorithm>
#include <cstring>
#include <limits>

#include <mesh_generated.h>

#include "wire/text_compression.h"

namespace corianderplank {
namespace {

using std::chrono::milliseconds;

/// Protocol version; datagrams with another version are rejected.
constexpr std::uint8_t kMeshVersion = 1;
constexpr std::size_t kInitialBufferBytes = 2048;
constexpr int kMaxTableDepth = 4;
/// Bounds the verifier's work on a malicious fleet update.
constexpr int kMaxTables = 100000;
/// Bounds the memory of a malicious compressed text: four times the size of the
/// store's largest values.
constexpr std::uint32_t kMaxConfigurationBytes = 4 * 1024 * 1024;
/// FlatBuffers reads fields in place at their alignment.
constexpr std::size_t kAlignment = 8;

schema::Endpoint ToSchema(const endpoint& value) {
  return {value.address, value.port};
}

endpoint FromSchema(const schema::Endpoint* value) {
  return value == nullptr ? endpoint{}
                          : endpoint{value->address(), value->port()};
}

std::string_view ViewOf(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

std::uint32_t ToMilliseconds(time_point::duration duration) {
  const std::int64_t count =
      std::chrono::duration_cast<milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      count, 0, std::numeric_limits<std::uint32_t>::max()));
}

bool IsBufferAligned(std::string_view bytes) {
  return reinterpret_cast<std::uintptr_t>(bytes.data()) % kAlignment == 0;
}

/// Copy of a buffer at the alignment that FlatBuffers requires.
class aligned_copy {
 public:
  explicit aligned_copy(std::string_view bytes)
      : words_((bytes.size() + kAlignment - 1) / kAlignment),
        size_(bytes.size()) {
    std::copy(bytes.begin(), bytes.end(),
              reinterpret_cast<char*>(words_.data()));
  }
  std::string_view View() const {
    return {reinterpret_cast<const char*>(words_.data()), size_};
  }

 private:
  std::vector<std::uint64_t> words_;
  std::size_t size_;
};

/// @param bytes buffer that is aligned to kAlignment.
/// @return its root; null if the buffer is not valid or of another version.
template <typename table>
const table* VerifyRoot(std::string_view bytes) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size(),
      kMaxTableDepth, kMaxTables);
  if (!verifier.VerifyBuffer<table>(nullptr)) {
    return nullptr;
  }
  const auto* root = flatbuffers::GetRoot<table>(bytes.data());
  return root->version() == kMeshVersion ? root : nullptr;
}

flatbuffers::Offset<schema::Target> EncodeTarget(
    flatbuffers::FlatBufferBuilder& builder,
    const fleet_target& item,
    time_point now) {
  const schema::Endpoint address = ToSchema(item.address);
  schema::TargetBuilder table(builder);
  table.add_id(item.id.value);
  table.add_address(&address);
  table.add_service(item.service.value);
  table.add_zone(item.failure_domain);
  table.add_slots(item.slots);
  table.add_draining(item.state == target_state::draining);
  table.add_revision(item.revision.number);
  table.add_epoch(item.revision.epoch);
  table.add_report_number(item.report_number);
  table.add_born_ms(item.target_start_ms);
  table.add_cold_ms(ToMilliseconds(item.warm_up_until - now));
  table.add_gone(item.removed);
  table.add_gone_ms(item.removed ? ToMilliseconds(now - item.removed_at) : 0);
  table.add_doubtful_ms(ToMilliseconds(item.may_return_until - now));
  return table.Finish();
}

fleet_target DecodeTarget(const schema::Target& table, time_point now) {
  fleet_target item;
  item.id = {table.id()};
  item.address = FromSchema(table.address());
  item.service = {table.service()};
  item.failure_domain = table.zone();
  item.slots = std::max(1U, table.slots());
  item.state = table.draining() ? target_state::draining : target_state::ready;
  item.revision = {table.revision(), table.epoch()};
  item.report_number = table.report_number();
  item.target_start_ms = table.born_ms();
  item.warm_up_until = now + milliseconds(table.cold_ms());
  item.removed = table.gone();
  item.removed_at = now - milliseconds(table.gone_ms());
  item.may_return_until = now + milliseconds(table.doubtful_ms());
  return item;
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> CreateBytes(
    flatbuffers::FlatBufferBuilder& builder,
    const std::string& bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

schema::Evacuation ToSchema(const domain_evacuation& item) {
  return {item.failure_domain, item.revision.epoch, item.revision.number,
          item.evacuated};
}

domain_evacuation FromSchema(const schema::Evacuation& row) {
  return {row.failure_domain(), row.evacuated(), {row.revision(), row.epoch()}};
}

std::vector<schema::EndedTarget> ToSchema(
    const std::vector<ended_target>& ended) {
  std::vector<schema::EndedTarget> rows;
  rows.reserve(ended.size());
  for (const ended_target& item : ended) {
    rows.emplace_back(item.machine,
                      static_cast<std::uint32_t>(item.revision.epoch),
                      item.revision.number);
  }
  return rows;
}

// The verifier checks only the alignment of a vector's length field, which may
// be weaker than that of its structs. A vector without rows is aligned for its
// length field only and is valid.
template <typename row>
bool IsAligned(const flatbuffers::Vector<const row*>* rows) {
  return rows == nullptr || rows->size() == 0 ||
         reinterpret_cast<std::uintptr_t>(rows->Data()) % alignof(row) == 0;
}

std::vector<ended_target> FromSchema(
    const flatbuffers::Vector<const schema::EndedTarget*>* rows) {
  std::vector<ended_target> ended;
  if (rows != nullptr) {
    for (const schema::EndedTarget* row : *rows) {
      ended.push_back({row->machine(), {row->revision(), row->epoch()}});
    }
  }
  return ended;
}

std::optional<mesh_message> DecodeAlignedMesh(std::string_view bytes);
std::optional<fleet_update> DecodeAlignedUpdate(std::string_view bytes,
                                                time_point now);

}  // namespace

struct mesh_encoder::state {
  flatbuffers::FlatBufferBuilder builder{kInitialBufferBytes};
};

mesh_encoder::mesh_encoder() : state_(std::make_unique<state>()) {}
mesh_encoder::~mesh_encoder() = default;

std::string_view mesh_encoder::Encode(const mesh_message& message) {
  flatbuffers::FlatBufferBuilder& builder = state_->builder;
  builder.Clear();
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> payload;
  if (!message.payload.empty()) {
    // The receiver may decode the payload in place, which requires alignment.
    builder.ForceVectorAlignment(message.payload.size(), 1, kAlignment);
    payload = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(message.payload.data()),
        message.payload.size());
  }
  flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>> members;
  if (!message.members.empty()) {
    members = builder.CreateVector(message.members);
  }
  flatbuffers::Offset<flatbuffers::Vector<const schema::PresentAgent*>>
      unlisted;
  if (!message.unlisted.empty()) {
    std::vector<schema::PresentAgent> rows;
    rows.reserve(message.unlisted.size());
    for (const present_agent& item : message.unlisted) {
      rows.emplace_back(item.machine, item.service.value);
    }
    unlisted = builder.CreateVectorOfStructs(rows);
  }
  flatbuffers::Offset<flatbuffers::Vector<const schema::Question*>> queries;
  if (!message.queries.empty()) {
    std::vector<schema::Question> rows;
    rows.reserve(message.queries.size());
    for (const flow_query& item : message.queries) {
      rows.emplace_back(item.flow.client.address, item.flow.service.address,
                        item.acknowledgement, item.flow.client.port,
                        item.flow.service.port,
                        static_cast<std::uint8_t>(item.result));
    }
    queries = builder.CreateVectorOfStructs(rows);
  }
  flatbuffers::Offset<flatbuffers::Vector<std::uint32_t>> flows;
  if (!message.flows.empty()) {
    flows = builder.CreateVector(message.flows);
  }
  flatbuffers::Offset<flatbuffers::Vector<const schema::EndedTarget*>> ended;
  if (!message.ended.empty()) {
    ended = builder.CreateVectorOfStructs(ToSchema(message.ended));
  }
  flatbuffers::Offset<flatbuffers::Vector<const schema::AnswerProfile*>>
      profiles;
  if (!message.profiles.empty()) {
    std::vector<schema::AnswerProfile> rows;
    rows.reserve(message.profiles.size());
    for (const answer_profile& item : message.profiles) {
      rows.emplace_back(item.route.address, item.bytes,
                        ToMilliseconds(item.service_time), item.count,
                        item.route.port);
    }
    profiles = builder.CreateVectorOfStructs(rows);
  }
  const schema::Evacuation evacuation = ToSchema(message.evacuation);
  const schema::Endpoint client = ToSchema(message.flow.client);
  const schema::Endpoint service_address = ToSchema(message.flow.service);
  schema::MeshBuilder table(builder);
  table.add_version(kMeshVersion);
  table.add_kind(static_cast<std::uint8_t>(message.kind));
  table.add_client(&client);
  table.add_service_address(&service_address);
  table.add_service(message.service.value);
  table.add_searching(message.searching);
  table.add_born_ms(message.target_start_ms);
  table.add_slots(message.slots);
  table.add_priority(message.policy.priority);
  table.add_aim_ms(ToMilliseconds(message.policy.latency_target));
  table.add_must_take(message.must_accept);
  table.add_waited_ms(ToMilliseconds(message.waited));
  table.add_wrong_service(message.wrong_service);
  table.add_sequence(message.sequence);
  table.add_open_flows(message.load.open_flows);
  table.add_busy_permille(message.load.busy_permille);
  table.add_members(members);
  table.add_unlisted(unlisted);
  table.add_questions(queries);
  table.add_settled(message.all_agents_known);
  table.add_payload(payload);
  table.add_round(message.round);
  table.add_flows(flows);
  table.add_complete(message.complete);
  table.add_absent(message.absent);
  table.add_known_for_ms(ToMilliseconds(message.known_for));
  table.add_pause_ms(ToMilliseconds(message.pause));
  table.add_timeout_ms(ToMilliseconds(message.policy.timeout));
  table.add_repeatable(message.policy.repeatable);
  table.add_ended(ended);
  table.add_part(message.part);
  table.add_part_count(message.part_count);
  table.add_sender_started_ms(message.sender_started_ms);
  if (message.evacuation.revision.IsSet()) {
    table.add_evacuation(&evacuation);
  }
  table.add_cold_for_ms(ToMilliseconds(message.cold_for));
  table.add_cold_flows_permille(message.cold_flows_permille);
  table.add_pace_permille(message.load.pace_permille);
  table.add_service_ms(ToMilliseconds(message.load.service_time));
  table.add_profiles(profiles);
  table.add_suspected(message.suspected);
  builder.Finish(table.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<mesh_message> DecodeMesh(std::string_view bytes) {
  if (IsBufferAligned(bytes)) {
    return DecodeAlignedMesh(bytes);
  }
  const aligned_copy copy(bytes);
  auto message = DecodeAlignedMesh(copy.View());
  if (message && !message->payload.empty()) {
    message->payload = bytes.substr(
        static_cast<std::size_t>(message->payload.data() - copy.View().data()),
        message->payload.size());
  }
  return message;
}

namespace {

std::optional<mesh_message> DecodeAlignedMesh(std::string_view bytes) {
  const auto* table = VerifyRoot<schema::Mesh>(bytes);
  if (table == nullptr ||
      table->kind() < static_cast<std::uint8_t>(mesh_kind::deliver) ||
      table->kind() > static_cast<std::uint8_t>(mesh_kind::evacuation) ||
      !IsAligned(table->unlisted()) || !IsAligned(table->ended()) ||
      !IsAligned(table->questions()) || !IsAligned(table->profiles())) {
    return std::nullopt;
  }
  mesh_message message;
  message.kind = static_cast<mesh_kind>(table->kind());
  message.flow = {FromSchema(table->client()),
                  FromSchema(table->service_address())};
  message.service = {table->service()};
  message.searching = table->searching();
  message.target_start_ms = table->born_ms();
  message.slots = table->slots();
  message.policy = {table->priority(), milliseconds(table->aim_ms()),
                    milliseconds(table->timeout_ms()), table->repeatable()};
  message.must_accept = table->must_take();
  message.waited = milliseconds(table->waited_ms());
  message.wrong_service = table->wrong_service();
  message.sequence = table->sequence();
  message.load = {table->open_flows(), table->busy_permille(),
                  table->pace_permille(), milliseconds(table->service_ms())};
  message.all_agents_known = table->settled();
  if (table->questions() != nullptr) {
    for (const schema::Question* row : *table->questions()) {
      const bool known =
          row->verdict() <= static_cast<std::uint8_t>(flow_query_result::holds);
      message.queries.push_back(
          {{{row->client_address(), row->client_port()},
            {row->service_address(), row->service_port()}},
           row->acknowledgement(),
           known ? static_cast<flow_query_result>(row->verdict())
                 : flow_query_result::unknown});
    }
  }
  if (table->unlisted() != nullptr) {
    for (const schema::PresentAgent* row : *table->unlisted()) {
      message.unlisted.push_back({row->machine(), {row->service()}});
    }
  }
  if (table->members() != nullptr) {
    message.members.assign(table->members()->begin(), table->members()->end());
  }
  if (table->flows() != nullptr) {
    message.flows.assign(table->flows()->begin(), table->flows()->end());
  }
  message.round = table->round();
  message.complete = table->complete();
  message.part = table->part();
  message.part_count = table->part_count();
  message.sender_started_ms = table->sender_started_ms();
  message.absent = table->absent();
  message.known_for = milliseconds(table->known_for_ms());
  message.pause = milliseconds(table->pause_ms());
  message.ended = FromSchema(table->ended());
  if (table->evacuation() != nullptr) {
    message.evacuation = FromSchema(*table->evacuation());
  }
  message.cold_for = milliseconds(table->cold_for_ms());
  message.cold_flows_permille = table->cold_flows_permille();
  message.suspected = table->suspected();
  if (table->profiles() != nullptr) {
    for (const schema::AnswerProfile* row : *table->profiles()) {
      message.profiles.push_back({{row->address(), row->port()},
                                  row->bytes(),
                                  milliseconds(row->service_ms()),
                                  row->count()});
    }
  }
  message.payload = ViewOf(table->payload());
  return message;
}

}  // namespace

std::string EncodeFleetUpdate(const fleet_update& update, time_point now) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<schema::Target>> rows;
  rows.reserve(update.targets.size());
  for (const fleet_target& item : update.targets) {
    rows.push_back(EncodeTarget(builder, item, now));
  }
  const auto targets = builder.CreateVector(rows);
  const auto ended = builder.CreateVectorOfStructs(ToSchema(update.ended));
  std::vector<schema::Evacuation> evacuation_rows;
  for (const domain_evacuation& item : update.evacuations) {
    evacuation_rows.push_back(ToSchema(item));
  }
  const auto evacuations = builder.CreateVectorOfStructs(evacuation_rows);
  // A receiver of the compressed text does not need the plain one.
  const bool is_compressed = !update.compressed_configuration.empty();
  const auto configuration = CreateBytes(
      builder, is_compressed ? std::string() : update.configuration);
  const auto compressed = CreateBytes(builder, update.compressed_configuration);
  schema::BeliefBuilder table(builder);
  table.add_version(kMeshVersion);
  table.add_base_revision(update.base_revision.number);
  table.add_base_epoch(update.base_revision.epoch);
  table.add_revision(update.revision.number);
  table.add_epoch(update.revision.epoch);
  table.add_unsettled(!update.settled);
  table.add_ignored_rows(update.has_ignored_rows);
  table.add_age_ms(ToMilliseconds(update.age));
  table.add_configuration_version(update.configuration_version);
  table.add_configuration_revision(update.configuration_revision.number);
  table.add_configuration_epoch(update.configuration_revision.epoch);
  table.add_holders_known_ms(ToMilliseconds(update.holders_known_for));
  table.add_history_ms(ToMilliseconds(update.history));
  table.add_configuration(configuration);
  table.add_compressed_configuration(compressed);
  table.add_configuration_bytes(
      static_cast<std::uint32_t>(update.configuration.size()));
  table.add_targets(targets);
  table.add_reader(update.reader);
  table.add_ended(ended);
  table.add_evacuations(evacuations);
  builder.Finish(table.Finish());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::optional<fleet_update> DecodeFleetUpdate(std::string_view bytes,
                                              time_point now) {
  return IsBufferAligned(bytes)
             ? DecodeAlignedUpdate(bytes, now)
             : DecodeAlignedUpdate(aligned_copy(bytes).View(), now);
}

namespace {

std::optional<fleet_update> DecodeAlignedUpdate(std::string_view bytes,
                                                time_point now) {
  const auto* table = VerifyRoot<schema::Belief>(bytes);
  if (table == nullptr || !IsAligned(table->ended()) ||
      !IsAligned(table->evacuations())) {
    return std::nullopt;
  }
  fleet_update update;
  update.base_revision = {table->base_revision(), table->base_epoch()};
  update.revision = {table->revision(), table->epoch()};
  update.settled = !table->unsettled();
  update.has_ignored_rows = table->ignored_rows();
  update.reader = table->reader();
  update.ended = FromSchema(table->ended());
  update.age = milliseconds(table->age_ms());
  update.configuration_version = table->configuration_version();
  update.configuration_revision = {table->configuration_revision(),
                                   table->configuration_epoch()};
  update.holders_known_for = milliseconds(table->holders_known_ms());
  update.history = milliseconds(table->history_ms());
  update.configuration = std::string(ViewOf(table->configuration()));
  update.compressed_configuration =
      std::string(ViewOf(table->compressed_configuration()));
  if (!update.compressed_configuration.empty()) {
    if (table->configuration_bytes() > kMaxConfigurationBytes) {
      return std::nullopt;
    }
    auto text = DecompressText(update.compressed_configuration,
                               table->configuration_bytes());
    if (!text) {
      return std::nullopt;
    }
    update.configuration = std::move(*text);
  }
  if (table->targets() != nullptr) {
    for (const schema::Target* row : *table->targets()) {
      update.targets.push_back(DecodeTarget(*row, now));
    }
  }
  if (table->evacuations() != nullptr) {
    for (const schema::Evacuation* row : *table->evacuations()) {
      update.evacuations.push_back(FromSchema(*row));
    }
  }
  return update;
}

}  // namespace
}  // namespace corianderplank
