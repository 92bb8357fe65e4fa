/// @file
/// Daemon of a packet agent. It has no fleet state to maintain, so a single
/// thread is sufficient.
#pragma once

#include <memory>

#include "core/flow_packet.h"
#include "packet/packet_settings.h"

namespace corianderplank {

/// Runs a packet agent until SIGTERM or SIGINT.
class packet_agent_daemon {
 public:
  /// @param options the agent's settings and the path of their file.
  /// @param format parser and builder of packets; must outlive this object.
  /// @throws std::exception when an address cannot be bound.
  packet_agent_daemon(const packet_options& options,
                      const packet_format& format);
  ~packet_agent_daemon();
  packet_agent_daemon(const packet_agent_daemon&) = delete;
  packet_agent_daemon& operator=(const packet_agent_daemon&) = delete;

  /// Runs on the calling thread. Returns when the process may exit.
  void Run();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
