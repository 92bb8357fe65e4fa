/// @file
/// Daemon of a packet entry, with one control thread and one traffic thread.
#pragma once

#include <memory>

#include "core/flow_packet.h"
#include "net/event_loop.h"
#include "packet/fleet_source.h"
#include "packet/packet_settings.h"

namespace corianderplank {

/// Runs a packet entry until SIGTERM or SIGINT.
class packet_entry_daemon {
 public:
  /// @param control the control loop, which `source` uses too; must outlive
  /// this
  ///     object.
  /// @param options the entry's settings and the path of their file.
  /// @param format parser and builder of packets; must outlive this object.
  /// @param source source of configuration and targets; must outlive this
  ///     object.
  /// @throws std::exception when an address cannot be bound.
  packet_entry_daemon(event_loop& control,
                      const packet_options& options,
                      const packet_format& format,
                      fleet_source& source);
  ~packet_entry_daemon();
  packet_entry_daemon(const packet_entry_daemon&) = delete;
  packet_entry_daemon& operator=(const packet_entry_daemon&) = delete;

  /// Runs the control loop on the calling thread and the traffic loop on a
  /// second one. Returns when the process may exit.
  void Run();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
