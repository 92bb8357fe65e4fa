/// @file
/// Entries' fleet synchronizers on loopback addresses and the store that they
/// read.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "packet/fleet_synchronizer.h"

namespace corianderplank {

/// A store with a revision counter and its whole history. Its methods may be
/// called on any thread.
class test_store {
 public:
  struct content {
    std::uint64_t revision = 1;
    std::shared_ptr<const fleet_configuration> configuration;
    std::map<std::string, fleet_target> targets;
  };

  void PutConfiguration(std::uint64_t version);

  /// Writes a target that listens at 127.0.0.99.
  /// @param name its name.
  /// @param report_number number of its report.
  /// @param reported the state that it reports.
  void PutTarget(const std::string& name,
                 std::uint64_t report_number,
                 target_state reported);

  /// @return a copy of the present content.
  content Copy() const;

  /// Goes on from an earlier copy, in a new epoch.
  void Restore(const content& copy);

  fleet_read_result ReadAll() const;
  fleet_read_result ReadChanges(const source_revision& after) const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t epoch_ = 1;
  content content_;
};

/// @return a configuration without routes whose text is its version.
std::shared_ptr<const fleet_configuration> MakeConfiguration(
    std::uint64_t version,
    const source_revision& revision);

/// One entry's access to the store.
class test_store_client : public fleet_source {
 public:
  test_store_client(event_loop& loop, test_store& store)
      : loop_(loop), store_(store) {}

  /// @param reachable whether reads reach the store; may be called on any
  ///     thread.
  void SetReachable(bool reachable) { reachable_ = reachable; }

  void ReadAll(read_callback callback) override;
  void ReadChanges(const source_revision& after,
                   read_callback callback) override;
  std::shared_ptr<const fleet_configuration> ParseConfiguration(
      const std::string& text,
      const source_revision& revision) const override;

 private:
  event_loop& loop_;
  test_store& store_;
  std::atomic<bool> reachable_{true};
};

/// An entry's synchronizer with a thread of its own.
class test_entry {
 public:
  /// @param store the store that it reads.
  /// @param number last byte of its loopback address; entries 1 to 3 are seeds.
  test_entry(test_store& store, std::uint8_t number);
  ~test_entry();
  test_entry(const test_entry&) = delete;
  test_entry& operator=(const test_entry&) = delete;

  /// Stops the entry for good once it has broadcast a configuration version.
  /// Its connections stay open and are not answered.
  /// @param version the version; call before it is written to the store.
  void FreezeAfterBroadcast(std::uint64_t version) {
    freezes_after_version_ = version;
  }

  /// Stops the entry for good at once, as FreezeAfterBroadcast does.
  void Freeze() { loop_.Stop(); }

  /// Applies the settings again, as after a reload.
  void ReloadSettings();

  /// @param reachable whether the entry's reads reach the store.
  void SetStoreReachable(bool reachable) { client_.SetReachable(reachable); }

  /// @return the latest snapshot; null before the first one.
  std::shared_ptr<const fleet_snapshot> Snapshot() const;

  /// @return version of the configuration in force; 0 without one.
  std::uint64_t Version() const;

  /// @param name name of a target.
  /// @return whether the entry gives it new flows.
  bool GivesNewFlowsTo(const std::string& name) const;

  /// @return whether an earlier snapshot had a later version than its
  /// successor.
  bool HasGoneBack() const { return has_gone_back_; }

 private:
  void OnSnapshot(std::shared_ptr<const fleet_snapshot> snapshot);

  packet_settings settings_;
  event_loop loop_;
  counters counters_;
  test_store_client client_;
  std::atomic<std::uint64_t> freezes_after_version_{0};
  std::atomic<bool> has_gone_back_{false};
  mutable std::mutex mutex_;
  std::shared_ptr<const fleet_snapshot> snapshot_;
  fleet_synchronizer synchronizer_;
  std::thread thread_;
};

/// @param condition evaluated every few milliseconds.
/// @param limit time after which the condition is given up.
/// @return whether the condition became true within the limit.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit);

}  // namespace corianderplank
