/// @file
/// Keeps an entry's fleet state up to date: either reads the platform on behalf
/// of all entries, or receives the updates of the entry that does.
#pragma once

#include <functional>
#include <memory>

#include "core/counters.h"
#include "core/fleet.h"
#include "net/event_loop.h"
#include "packet/fleet_source.h"
#include "packet/packet_settings.h"

namespace corianderplank {

/// Called on the control loop with each new fleet snapshot; never null.
using snapshot_callback =
    std::function<void(std::shared_ptr<const fleet_snapshot>)>;

/// Owns the fleet state and exchanges updates with other entries. All methods
/// must be called on the thread of the control loop.
class fleet_synchronizer {
 public:
  /// @param loop the control loop; must outlive this object.
  /// @param settings the entry's settings; copied.
  /// @param source source of configuration and targets; must outlive this
  ///     object.
  /// @param counters receives counts of failed reads and malformed messages;
  ///     must outlive this object.
  /// @param on_snapshot called with each new fleet snapshot, once there is a
  ///     configuration and a target list.
  /// @throws std::exception when an address cannot be bound.
  fleet_synchronizer(event_loop& loop,
                     const packet_settings& settings,
                     fleet_source& source,
                     counters& counters,
                     snapshot_callback on_snapshot);
  ~fleet_synchronizer();
  fleet_synchronizer(const fleet_synchronizer&) = delete;
  fleet_synchronizer& operator=(const fleet_synchronizer&) = delete;

  /// Starts reading the source and receiving messages. Call once.
  void Start();

  /// Replaces the seeds that this entry announces itself to.
  /// @param seeds endpoints of the seeds; may include this entry.
  void SetSeeds(const std::vector<endpoint>& seeds);

  /// Requests a read of the source that starts no earlier than this call. A
  /// read by a peer that starts later also satisfies the request.
  void RequestConfirmation();

  /// Passes on to the other seeds what only this one may know. Call right
  /// before a planned end.
  void PassOn();

  /// @return whether both a configuration and a target list are known.
  bool IsReady() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
