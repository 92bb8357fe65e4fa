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
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/mesh_message.h"
#include "net/udp_socket.h"
#include "packet/fleet_synchronizer.h"

namespace corianderplank {

/// Failure domain of all targets in a test_store.
constexpr std::uint64_t kTargetDomain = 77;

/// A store with a revision counter and its whole history. Its methods may be
/// called on any thread.
class test_store {
 public:
  struct content {
    std::uint64_t epoch = 1;
    std::uint64_t revision = 1;
    std::shared_ptr<const fleet_configuration> configuration;
    std::map<std::string, fleet_target> targets;
    std::map<std::uint64_t, domain_evacuation> evacuations;
  };

  /// @param version version of the configuration.
  /// @param text_bytes minimum size of its text.
  void PutConfiguration(std::uint64_t version, std::size_t text_bytes = 0);

  /// Writes a target that listens at 127.0.0.99.
  /// @param name its name.
  /// @param report_number number of its report.
  /// @param reported the state that it reports.
  void PutTarget(const std::string& name,
                 std::uint64_t report_number,
                 target_state reported);

  /// @param failure_domain a failure domain; that of the targets is
  ///     kTargetDomain.
  /// @param evacuated whether its evacuation begins or ends.
  void SetEvacuated(std::uint64_t failure_domain, bool evacuated);

  /// @param silent whether reads get no reply at all.
  void SetSilent(bool silent) { silent_ = silent; }
  bool IsSilent() const { return silent_; }

  /// Removes a target, as after its entry has expired.
  /// @param name its name.
  void RemoveTarget(const std::string& name);

  /// @return a copy of the present content.
  content Copy() const;

  /// Goes on from an earlier copy, in a new epoch.
  void Restore(const content& copy);

  /// @param content content of a store.
  /// @param after revision from which the changes are read; unset for all.
  /// @return the result of the read.
  static fleet_read_result Read(const content& content,
                                const source_revision& after);

 private:
  std::atomic<bool> silent_{false};
  mutable std::mutex mutex_;
  content content_;
};

/// @return a configuration without routes whose text is its version, padded to
/// a size.
std::shared_ptr<const fleet_configuration> MakeConfiguration(
    std::uint64_t version,
    const source_revision& revision,
    std::size_t text_bytes = 0);

/// One entry's access to the store.
class test_store_client : public fleet_source {
 public:
  test_store_client(event_loop& loop, test_store& store)
      : loop_(loop), store_(store) {}

  // These methods may be called on any thread.

  /// @param reachable whether reads reach the store.
  void SetReachable(bool reachable) { reachable_ = reachable; }

  /// @param too_large whether reads of changes fail for their size.
  void SetChangesTooLarge(bool too_large) { changes_too_large_ = too_large; }

  /// @param delay time for which replies are held back.
  void SetReplyDelay(std::chrono::milliseconds delay) { reply_delay_ = delay; }

  /// @return whether a reply is held back now.
  bool HasPendingReply() const { return has_pending_reply_; }

  /// Answers all further reads from an earlier copy, as a lagging replica does.
  void LagBehind(const test_store::content& copy);

  /// Answers further reads from the store again.
  void CatchUp();

  void ReadAll(read_callback callback) override;
  void ReadChanges(const source_revision& after,
                   read_callback callback) override;
  std::shared_ptr<const fleet_configuration> ParseConfiguration(
      const std::string& text,
      const source_revision& revision) const override;

 private:
  void Read(const source_revision& after, read_callback callback);

  event_loop& loop_;
  test_store& store_;
  std::atomic<bool> reachable_{true};
  std::atomic<bool> changes_too_large_{false};
  std::atomic<std::chrono::milliseconds> reply_delay_{};
  std::atomic<bool> has_pending_reply_{false};
  std::mutex mutex_;
  std::optional<test_store::content> lagging_copy_;
};

/// An entry's synchronizer with a thread of its own.
class test_entry {
 public:
  /// Whether an entry can fetch states from its peers; it receives their
  /// updates either way.
  enum class peer_fetches : std::uint8_t { served, unanswered };

  /// @param store the store that it reads.
  /// @param number last byte of its loopback address; entries 1 to 3 are seeds.
  /// @param fetches whether its fetches from peers are answered.
  /// @param first_start whether the whole system starts for the first time.
  test_entry(test_store& store,
             std::uint8_t number,
             peer_fetches fetches = peer_fetches::served,
             bool first_start = true);
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

  /// Ends the entry as planned: it passes on what only it knows, and stops.
  void Stop();

  /// Applies the settings again, as after a reload.
  void ReloadSettings();

  /// Makes the entry read the store, unless a peer does so first.
  void RequestConfirmation();

  /// @return how many reads the entry has dropped as outdated.
  std::uint64_t OutdatedReads() const {
    return counters_.Get(result_code::outdated_read);
  }

  /// @return where it serves its state to peers.
  endpoint FleetStateEndpoint() const { return settings_.fleet_state_endpoint; }

  /// @return the entry's access to the store.
  test_store_client& Client() { return client_; }

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

/// An agent's socket at a loopback address, for messages between it and seeds.
class test_agent {
 public:
  /// @param number last byte of its loopback address.
  explicit test_agent(std::uint8_t number);
  ~test_agent();
  test_agent(const test_agent&) = delete;
  test_agent& operator=(const test_agent&) = delete;

  /// @param entry last byte of the loopback address of the entry.
  /// @param message message to send; without a payload.
  void SendTo(std::uint8_t entry, const mesh_message& message);

  /// @return the messages that have arrived since the last call.
  std::vector<mesh_message> TakeReceived();

 private:
  event_loop loop_;
  counters counters_;
  udp_socket socket_;
  std::mutex mutex_;
  std::vector<mesh_message> received_;
  std::thread thread_;
};

/// @param condition evaluated every few milliseconds.
/// @param limit time after which the condition is given up.
/// @return whether the condition became true within the limit.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit);

}  // namespace corianderplank
