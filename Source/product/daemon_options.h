/// @file
/// Command line of the daemons.
#pragma once

#include <optional>
#include <string>

#include "product/settings.h"

namespace corianderplank {

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
