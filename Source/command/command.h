/// @file
/// A command of the command line program.
#pragma once

#include <iosfwd>
#include <string>

namespace corianderplank {

/// Exit codes of the command line program.
enum class exit_code : int {
  success = 0,
  failure = 1,  ///< The command ran and its result is bad.
  usage = 2,    ///< The command line is wrong.
};

/// One command, such as "check".
class command {
 public:
  virtual ~command() = default;
  /// @return its name.
  virtual std::string Name() const = 0;
  /// @return one line on what it does.
  virtual std::string Summary() const = 0;
  /// @param argc count of arguments, the command's name first.
  /// @param argv the arguments.
  /// @return the exit code.
  /// @throws std::exception when the command line is wrong.
  virtual exit_code Run(int argc, char** argv) = 0;
};

}  // namespace corianderplank
