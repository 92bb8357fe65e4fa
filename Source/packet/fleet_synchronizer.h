/// @file
/// Keeps an entry's belief up to date: reads the platform for a group of
/// entries, or hears from the one that does.
#pragma once

#include <functional>
#include <memory>

#include "core/counters.h"
#include "core/fleet.h"
#include "net/event_loop.h"
#include "packet/fleet_source.h"
#include "packet/packet_settings.h"

namespace corianderplank {

/// Called on the control loop with each new picture.
using snapshot_callback = std::function<void(std::shared_ptr<const fleet_view>)>;

/// Lives on the control loop.
class fleet_synchronizer {
 public:
  /// @param loop the control loop.
  /// @param settings the entry's settings.
  /// @param source where the platform publishes.
  /// @param counters counts failed reads.
  /// @param on_view called with each new picture.
  fleet_synchronizer(event_loop& loop,
                const packet_settings& settings,
                fleet_source& source,
                counters& counters,
                snapshot_callback on_view);
  ~fleet_synchronizer();
  fleet_synchronizer(const fleet_synchronizer&) = delete;
  fleet_synchronizer& operator=(const fleet_synchronizer&) = delete;

  /// Begins to read and to listen.
  void Start();

  /// @param seeds the seeds that are in force from now on.
  void SetSeeds(const std::vector<endpoint>& seeds);

  /// A confirmation is wanted that is younger than now.
  void WantConfirmation();

  /// @return whether there is a configuration and a list of targets.
  bool IsReady() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
