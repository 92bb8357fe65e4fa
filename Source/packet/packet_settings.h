/// @file
/// Settings of the packet daemons and their command lines.
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
  /// Whether the whole system starts for the first time, so that no older flows
  /// exist.
  bool first_start = false;
  /// IPv4 address of the process's machine.
  std::uint32_t address = 0;
  /// UDP port for client packets, the same on every machine.
  std::uint16_t packet_port = 0;
  /// UDP port between entries and agents, the same on every machine.
  std::uint16_t delivery_port = 0;
  /// UDP port between entries, the same on every machine.
  std::uint16_t peer_port = 0;
  endpoint readiness;              ///< HTTP endpoint of the readiness check.
  std::uint16_t metrics_port = 0;  ///< HTTP port at `address`; 0 disables it.
  std::chrono::milliseconds longest_flow{0};
  std::chrono::milliseconds stop_limit{0};
  std::vector<endpoint> seeds;  ///< Fleet state endpoints of some entries.
  /// Capacity of the machine's link in bytes per second; 0 if unknown.
  std::uint64_t link_bytes_per_second = 0;
  /// HTTP endpoint that serves the fleet state to other entries; entries only.
  endpoint fleet_state_endpoint;
  /// Endpoint of the platform's store; entries only.
  endpoint platform;
  /// Whether the target's answers are compared with those of its peers; agents
  /// only.
  bool watches_answers = false;
  /// Whether a target's answers decide how many requests it gets at a time,
  /// rather than its slots only; agents only.
  bool learns_pace = false;
  /// Name of the target's service; agents only.
  std::string service;
  /// Endpoint to which the agent delivers packets; agents only.
  endpoint target;
  /// Endpoint to which the target sends its packets; agents only.
  endpoint outbound;

  bool operator==(const packet_settings&) const = default;
};

/// Parsed settings, valid only if `errors` is empty.
struct parsed_packet_settings {
  packet_settings settings;
  std::vector<config_error> errors;
};

/// Parses and checks a settings file.
/// @param file name of the file, used in error messages only.
/// @param text contents of the file.
/// @param is_agent whether the agent's settings are required rather than the
///     entry's.
/// @return the settings, or the errors that make them unusable.
parsed_packet_settings ParsePacketSettings(const std::string& file,
                                           const std::string& text,
                                           bool is_agent);

/// Result of reading a daemon's command line and settings file.
struct packet_options {
  packet_settings settings;
  std::string path;
  /// Exit code of the process; meaningful only if `runs` is false.
  int exit_code = 0;
  /// Whether the daemon starts; `settings` and `path` are set only then.
  bool runs = false;
};

/// Reads the command line and the settings file, prints errors to standard
/// error and starts the log.
/// @param argc argument count, as passed to main.
/// @param argv arguments, as passed to main.
/// @param program name of the program in the help text and error messages.
/// @param is_agent whether the agent's settings are required rather than the
///     entry's.
/// @return the settings, or an exit code: 0 after printing help or the version
///     or checking the file, 1 for invalid settings, 2 for an invalid command
///     line.
packet_options ReadPacketOptions(int argc,
                                 char** argv,
                                 const std::string& program,
                                 bool is_agent);

}  // namespace corianderplank
