/// @file
/// State machine of a daemon: starting, serving, draining, stopped.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace corianderplank {

/// States of a daemon.
enum class lifecycle_state : std::uint8_t {
  starting,  ///< Has no document yet.
  serving,   ///< Takes new work.
  draining,  ///< Finishes what it has.
  stopped,   ///< Holds nothing; may exit.
};

/// The state machine; an event that does not fit the state changes nothing.
class lifecycle {
 public:
  lifecycle();
  ~lifecycle();
  lifecycle(const lifecycle&) = delete;
  lifecycle& operator=(const lifecycle&) = delete;

  /// A valid document is in force.
  void OnReady();
  /// No new work is wanted.
  void OnDrain();
  /// The backend server serves again after a drain.
  void OnUndrain();
  /// All work is done, or the limit has passed.
  void OnEmpty();

  /// @return the present state.
  lifecycle_state State() const;
  /// @return whether new work is taken.
  bool IsServing() const { return State() == lifecycle_state::serving; }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

/// @param state a state.
/// @return its name.
std::string_view LifecycleStateName(lifecycle_state state);

}  // namespace corianderplank
