#include "synchronizer_fixture.h"

#include <algorithm>
#include <utility>

#include "net/sleep_clock.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kPeerPort = 28801;
constexpr std::uint16_t kFleetStatePort = 28802;
constexpr std::uint16_t kDeliveryPort = 28803;
/// A port at which no entry answers.
constexpr std::uint16_t kUnservedPort = 28804;
constexpr int kSeeds = 3;
constexpr int kTargetNumber = 99;

std::string AddressOf(int number) {
  return "127.0.0." + std::to_string(number);
}

packet_settings MakeSettings(std::uint8_t number,
                             test_entry::peer_fetches fetches,
                             bool first_start) {
  packet_settings settings;
  settings.name = "entry-" + std::to_string(number);
  settings.address = ParseEndpoint(AddressOf(number) + ":1").address;
  settings.peer_port = kPeerPort;
  settings.delivery_port = kDeliveryPort;
  // An entry fetches from the port that it serves itself.
  settings.fleet_state_endpoint = {settings.address,
                                   fetches == test_entry::peer_fetches::served
                                       ? kFleetStatePort
                                       : kUnservedPort};
  settings.longest_flow = 60s;
  settings.first_start = first_start;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    settings.seeds.push_back(
        ParseEndpoint(AddressOf(seed) + ":" + std::to_string(kFleetStatePort)));
  }
  return settings;
}

}  // namespace

std::shared_ptr<const fleet_configuration> MakeConfiguration(
    std::uint64_t version,
    const source_revision& revision,
    std::size_t text_bytes) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = version;
  configuration->revision = revision;
  configuration->source = std::to_string(version);
  configuration->source.resize(
      std::max(configuration->source.size(), text_bytes), ' ');
  return configuration;
}

void test_store::PutConfiguration(std::uint64_t version,
                                  std::size_t text_bytes) {
  const std::lock_guard lock(mutex_);
  content_.configuration = MakeConfiguration(
      version, {++content_.revision, content_.epoch}, text_bytes);
}

void test_store::PutTarget(const std::string& name,
                           std::uint64_t report_number,
                           target_state reported) {
  const std::lock_guard lock(mutex_);
  fleet_target& target = content_.targets[name];
  target.id = TargetIdOf(name);
  target.address = ParseEndpoint(AddressOf(kTargetNumber) + ":8080");
  target.service = ServiceIdOf("service");
  target.failure_domain = kTargetDomain;
  target.target_start_ms = 1000;
  target.report_number = report_number;
  target.state = reported;
  target.revision = {++content_.revision, content_.epoch};
}

void test_store::RemoveTarget(const std::string& name) {
  const std::lock_guard lock(mutex_);
  fleet_target& target = content_.targets.at(name);
  target.removed = true;
  target.revision = {++content_.revision, content_.epoch};
}

void test_store::SetEvacuated(std::uint64_t failure_domain, bool evacuated) {
  const std::lock_guard lock(mutex_);
  content_.evacuations[failure_domain] = {
      failure_domain, evacuated, {++content_.revision, content_.epoch}};
}

test_store::content test_store::Copy() const {
  const std::lock_guard lock(mutex_);
  return content_;
}

void test_store::Restore(const content& copy) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t epoch = content_.epoch + 1;
  content_ = copy;
  content_.epoch = epoch;
  // The revisions in the copy are the same, in the new epoch.
  for (auto& [name, target] : content_.targets) {
    target.revision.epoch = epoch;
  }
  for (auto& [domain, row] : content_.evacuations) {
    row.revision.epoch = epoch;
  }
}

fleet_read_result test_store::Read(const content& content,
                                   const source_revision& after) {
  fleet_read_result result;
  result.status = content.revision < after.number ? read_status::history_lost
                                                  : read_status::complete;
  result.revision = {content.revision, content.epoch};
  if (content.configuration != nullptr &&
      content.configuration->revision.number > after.number) {
    result.configuration = content.configuration;
  }
  for (const auto& [name, target] : content.targets) {
    // A list has no rows of removed targets, changes do.
    if (target.revision.number > after.number &&
        (after.IsSet() || !target.removed)) {
      result.targets.push_back(target);
    }
  }
  for (const auto& [domain, row] : content.evacuations) {
    if (row.revision.number > after.number &&
        (after.IsSet() || row.evacuated)) {
      result.evacuations.push_back(row);
    }
  }
  return result;
}

void test_store_client::LagBehind(const test_store::content& copy) {
  const std::lock_guard lock(mutex_);
  lagging_copy_ = copy;
}

void test_store_client::CatchUp() {
  const std::lock_guard lock(mutex_);
  lagging_copy_.reset();
}

void test_store_client::ReadAll(read_callback callback) {
  Read({}, std::move(callback));
}

void test_store_client::ReadChanges(const source_revision& after,
                                    read_callback callback) {
  Read(after, std::move(callback));
}

void test_store_client::Read(const source_revision& after,
                             read_callback callback) {
  if (store_.IsSilent()) {
    return;
  }
  fleet_read_result result;
  if (reachable_) {
    const std::lock_guard lock(mutex_);
    result =
        test_store::Read(lagging_copy_ ? *lagging_copy_ : store_.Copy(), after);
    if (changes_too_large_ && after.IsSet()) {
      result = {};
      result.status = read_status::too_large;
    }
  }
  has_pending_reply_ = true;
  loop_.After(reply_delay_, [this, callback = std::move(callback),
                             result = std::move(result)] {
    has_pending_reply_ = false;
    callback(result);
  });
}

std::shared_ptr<const fleet_configuration>
test_store_client::ParseConfiguration(const std::string& text,
                                      const source_revision& revision) const {
  return MakeConfiguration(std::stoull(text), revision, text.size());
}

test_entry::test_entry(test_store& store,
                       std::uint8_t number,
                       peer_fetches fetches,
                       bool first_start)
    : settings_(MakeSettings(number, fetches, first_start)),
      client_(loop_, store),
      synchronizer_(loop_,
                    settings_,
                    client_,
                    counters_,
                    [this](std::shared_ptr<const fleet_snapshot> snapshot) {
                      OnSnapshot(std::move(snapshot));
                    }),
      thread_([this] {
        synchronizer_.Start();
        loop_.Run();
      }) {}

test_entry::~test_entry() {
  loop_.Stop();
  thread_.join();
}

void test_entry::OnSnapshot(std::shared_ptr<const fleet_snapshot> snapshot) {
  const std::lock_guard lock(mutex_);
  if (snapshot_ != nullptr &&
      snapshot->configuration->version < snapshot_->configuration->version) {
    has_gone_back_ = true;
  }
  snapshot_ = std::move(snapshot);
  if (freezes_after_version_ != 0 &&
      snapshot_->configuration->version >= freezes_after_version_) {
    // The running handler still sends the broadcast.
    loop_.Stop();
  }
}

std::shared_ptr<const fleet_snapshot> test_entry::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

void test_entry::Stop() {
  loop_.Post([this] {
    synchronizer_.PassOn();
    loop_.Stop();
  });
}

void test_entry::ReloadSettings() {
  loop_.Post([this] { synchronizer_.SetSeeds(settings_.seeds); });
}

void test_entry::RequestConfirmation() {
  loop_.Post([this] { synchronizer_.RequestConfirmation(); });
}

bool test_entry::GivesNewFlowsTo(const std::string& name) const {
  const auto snapshot = Snapshot();
  const time_point now = ClockWithSleep();
  return snapshot != nullptr &&
         std::any_of(snapshot->targets.begin(), snapshot->targets.end(),
                     [&](const fleet_target& target) {
                       return target.id == TargetIdOf(name) &&
                              target.AcceptsNewFlows(now);
                     });
}

std::uint64_t test_entry::Version() const {
  const auto snapshot = Snapshot();
  return snapshot == nullptr ? 0 : snapshot->configuration->version;
}

test_agent::test_agent(std::uint8_t number)
    : socket_(loop_,
              {ParseEndpoint(AddressOf(number) + ":1").address, kDeliveryPort},
              counters_,
              nullptr),
      thread_([this] {
        socket_.Receive(
            [this](const received_datagram& datagram) {
              if (auto message = DecodeMesh(datagram.bytes)) {
                message->payload = {};
                const std::lock_guard lock(mutex_);
                received_.push_back(std::move(*message));
              }
            },
            [] {});
        loop_.Run();
      }) {}

test_agent::~test_agent() {
  loop_.Stop();
  thread_.join();
}

void test_agent::SendTo(std::uint8_t entry, const mesh_message& message) {
  loop_.Post([this, entry, message] {
    mesh_encoder encoder;
    socket_.Send({ParseEndpoint(AddressOf(entry) + ":1").address, kPeerPort},
                 encoder.Encode(message));
    socket_.Flush();
  });
}

std::vector<mesh_message> test_agent::TakeReceived() {
  const std::lock_guard lock(mutex_);
  return std::exchange(received_, {});
}

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

}  // namespace corianderplank
