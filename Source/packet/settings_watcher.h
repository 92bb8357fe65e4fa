/// @file
/// Reloads the settings file when it has changed and on SIGHUP.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "packet/packet_settings.h"

namespace corianderplank {

/// Called on the loop's thread with valid settings that differ from the
/// previous ones.
using settings_callback = std::function<void(const packet_settings&)>;

/// Watches the settings file of a running process. An invalid file is logged
/// and leaves the settings unchanged.
class settings_watcher {
 public:
  /// @param loop the loop; must outlive this object.
  /// @param path path of the settings file.
  /// @param settings the settings in force; copied.
  /// @param is_agent whether the file must contain the agent's settings rather
  ///     than the entry's.
  /// @param on_change called with each change.
  settings_watcher(event_loop& loop,
                   std::string path,
                   const packet_settings& settings,
                   bool is_agent,
                   settings_callback on_change);
  ~settings_watcher();
  settings_watcher(const settings_watcher&) = delete;
  settings_watcher& operator=(const settings_watcher&) = delete;

  /// Starts watching. Call once.
  void Start();

  /// Reads the file now, even if its modification time has not changed.
  void Reload();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
