/// @file
/// Settings of one process, read from a TOML file.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/identifiers.h"
#include "net/impairment.h"
#include "product/toml_reader.h"

namespace corianderplank {

/// Settings of a daemon. docs/CONFIGURATION.md describes each.
struct process_settings {
  std::string name;
  std::string environment;
  std::string failure_domain;
  endpoint data;     ///< UDP, for agents (entry) or entries (agent).
  endpoint control;  ///< TCP, for the system's own processes.
  endpoint admin;    ///< TCP, HTTP for operators.
  endpoint platform;
  std::vector<endpoint> peers;
  std::string log_level = "info";
  std::chrono::milliseconds drain_limit{30000};
  std::chrono::milliseconds watch_wait{60000};
  /// Agents only.
  std::string service;
  endpoint backend;
  /// Faults to rehearse; not enabled unless the table is there.
  bool impairment_enabled = false;
  std::uint64_t impairment_seed = 0;
  impairment_rates impairment;
};

/// Settings, or the reasons why there are none.
struct parsed_settings {
  process_settings settings;
  std::vector<config_error> errors;
};

/// @param file the file's name, for errors.
/// @param text its contents.
/// @param is_agent whether the agent's settings are needed.
/// @return the settings; they may be used only when there are no errors.
parsed_settings ParseSettings(const std::string& file,
                              const std::string& text,
                              bool is_agent);

/// @param path a file.
/// @param text receives its contents.
/// @return whether the file could be read.
bool ReadFile(const std::string& path, std::string& text);

}  // namespace corianderplank
