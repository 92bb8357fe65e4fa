/// @file
/// Settings of the packet path's daemons.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/identifiers.h"
#include "product/toml_reader.h"

namespace corianderplank {

/// Settings of one process; docs/CONFIGURATION.md describes each.
struct packet_settings {
  std::string name;
  std::string failure_domain;
  std::string log_level = "info";
  /// The whole system starts for the first time.
  bool first_start = false;
  std::uint32_t address = 0;        ///< Of the process's machine.
  std::uint16_t packet_port = 0;    ///< Clients' side, on every machine.
  std::uint16_t delivery_port = 0;  ///< Entries and agents, on every machine.
  std::uint16_t peer_port = 0;      ///< Between entries, on every machine.
  endpoint readiness;               ///< HTTP.
  std::uint16_t metrics_port = 0;   ///< HTTP, own address; 0: none.
  std::chrono::milliseconds longest_flow{0};
  std::chrono::milliseconds stop_limit{0};
  std::vector<endpoint> seeds;  ///< Belief endpoints of some entries.
  /// Bytes a second of the machine's link; 0: not known.
  std::uint64_t link_bytes_per_second = 0;
  /// Entries only.
  endpoint fleet_state_endpoint;  ///< HTTP, for the other entries.
  endpoint platform;
  /// Agents only.
  std::string service;
  endpoint target;    ///< Where the target takes packets.
  endpoint outbound;  ///< Where the target sends its own.

  bool operator==(const packet_settings&) const = default;
};

/// Settings, or the reasons why there are none.
struct parsed_packet_settings {
  packet_settings settings;
  std::vector<config_error> errors;
};

/// @param file the file's name, for errors.
/// @param text its contents.
/// @param is_agent whether the agent's settings are needed.
/// @return the settings; they may be used only when there are no errors.
parsed_packet_settings ParsePacketSettings(const std::string& file,
                                           const std::string& text,
                                           bool is_agent);

/// Command line and settings file of a daemon.
struct packet_options {
  packet_settings settings;
  std::string path;
  /// Exit code of a process that does not run; nothing when it runs.
  int exit_code = 0;
  bool runs = false;
};

/// Reads command line and settings, prints errors, starts the log.
/// @param argc count of arguments.
/// @param argv the arguments.
/// @param program the program's name.
/// @param is_agent whether the agent's settings are needed.
/// @return settings, or an exit code: 0 after help, 1 for bad settings, 2 for a
///     bad command line.
packet_options ReadPacketOptions(int argc,
                                 char** argv,
                                 const std::string& program,
                                 bool is_agent);

}  // namespace corianderplank
