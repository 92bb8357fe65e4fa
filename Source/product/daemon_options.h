/// @file
/// Command line of the daemons.
#pragma once

#include <optional>
#include <string>

#include "product/settings.h"

namespace corianderplank {

/// What the command line of a daemon asks for.
struct daemon_command_line {
  std::string settings_path;
  bool check_only = false;
  /// Exit code of a process that does not go on; nothing when it does.
  std::optional<int> exit_code;
};

/// Reads the command line that all daemons share; prints help and errors.
/// @param argc count of arguments.
/// @param argv the arguments.
/// @param program the program's name.
/// @return the path, or an exit code: 0 after help, 2 for a bad command line.
daemon_command_line ParseDaemonCommandLine(int argc,
                                           char** argv,
                                           const std::string& program);

/// Settings to run with, or the exit code of a process that does not run.
struct daemon_options {
  std::optional<process_settings> settings;
  int exit_code = 0;
};

/// Reads command line and settings file, prints errors, starts the log.
/// @param argc count of arguments.
/// @param argv the arguments.
/// @param program the program's name.
/// @param is_agent whether the agent's settings are needed.
/// @return settings, or an exit code: 0 after help, 1 for bad settings, 2 for
///     a bad command line.
daemon_options ReadDaemonOptions(int argc,
                                 char** argv,
                                 const std::string& program,
                                 bool is_agent);

/// @return the version of the programs.
std::string ProgramVersion();

}  // namespace corianderplank
