#include "synchronizer_fixture.h"

#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kPeerPort = 28801;
constexpr std::uint16_t kFleetStatePort = 28802;
constexpr std::uint16_t kDeliveryPort = 28803;
constexpr int kSeeds = 3;

std::string AddressOf(int number) {
  return "127.0.0." + std::to_string(number);
}

packet_settings MakeSettings(std::uint8_t number) {
  packet_settings settings;
  settings.name = "entry-" + std::to_string(number);
  settings.address = ParseEndpoint(AddressOf(number) + ":1").address;
  settings.peer_port = kPeerPort;
  settings.delivery_port = kDeliveryPort;
  settings.fleet_state_endpoint = {settings.address, kFleetStatePort};
  settings.longest_flow = 60s;
  settings.first_start = true;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    settings.seeds.push_back(
        ParseEndpoint(AddressOf(seed) + ":" + std::to_string(kFleetStatePort)));
  }
  return settings;
}

}  // namespace

std::shared_ptr<const fleet_configuration> MakeConfiguration(
    std::uint64_t version,
    std::uint64_t revision) {
  auto configuration = std::make_shared<fleet_configuration>();
  configuration->version = version;
  configuration->revision = revision;
  configuration->source = std::to_string(version);
  return configuration;
}

void test_store::PutConfiguration(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  content_.configuration = MakeConfiguration(version, ++content_.revision);
}

test_store::content test_store::Copy() const {
  const std::lock_guard lock(mutex_);
  return content_;
}

void test_store::Restore(const content& copy) {
  const std::lock_guard lock(mutex_);
  ++epoch_;
  content_ = copy;
}

fleet_read_result test_store::ReadAll() const {
  const std::lock_guard lock(mutex_);
  fleet_read_result result;
  result.status = read_status::complete;
  result.epoch = epoch_;
  result.revision = content_.revision;
  result.configuration = content_.configuration;
  return result;
}

fleet_read_result test_store::ReadChanges(std::uint64_t after) const {
  fleet_read_result result = ReadAll();
  if (result.revision < after) {
    result.status = read_status::history_lost;
  }
  if (result.configuration != nullptr &&
      result.configuration->revision <= after) {
    result.configuration = nullptr;
  }
  return result;
}

void test_store_client::ReadAll(read_callback callback) {
  loop_.Post(
      [this, callback = std::move(callback)] { callback(store_.ReadAll()); });
}

void test_store_client::ReadChanges(std::uint64_t after,
                                    read_callback callback) {
  loop_.Post([this, after, callback = std::move(callback)] {
    callback(store_.ReadChanges(after));
  });
}

std::shared_ptr<const fleet_configuration>
test_store_client::ParseConfiguration(const std::string& text,
                                      std::uint64_t revision) const {
  return MakeConfiguration(std::stoull(text), revision);
}

test_entry::test_entry(test_store& store, std::uint8_t number)
    : client_(loop_, store),
      synchronizer_(loop_,
                    MakeSettings(number),
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

std::uint64_t test_entry::Version() const {
  const auto snapshot = Snapshot();
  return snapshot == nullptr ? 0 : snapshot->configuration->version;
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
