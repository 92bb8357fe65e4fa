/// @file
/// State machine of a daemon: starting, serving, draining, stopped.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace corianderplank {

/// States of a daemon.
enum class lifecycle_state : std::uint8_t {
  starting,  ///< No document is in force yet.
  serving,   ///< Accepts new work.
  draining,  ///< Finishes its work and accepts no more.
  stopped,   ///< Has no work left; the process may exit.
};

/// The state machine. An event without a transition from the present state is
/// ignored.
class lifecycle {
 public:
  lifecycle();
  ~lifecycle();
  lifecycle(const lifecycle&) = delete;
  lifecycle& operator=(const lifecycle&) = delete;

  /// A valid document is in force.
  void OnReady();
  /// The daemon must accept no new work.
  void OnDrain();
  /// No reason to drain holds any more.
  void OnUndrain();
  /// All work is done, or the limit has passed.
  void OnEmpty();

  /// @return the state after the latest event; `starting` before the first.
  lifecycle_state State() const;
  /// @return whether the daemon accepts new work.
  bool IsServing() const { return State() == lifecycle_state::serving; }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

/// @param state the state to name.
/// @return name of the state, "unlisted" for an invalid value.
std::string_view LifecycleStateName(lifecycle_state state);

}  // namespace corianderplank
