#include "product/daemon_options.h"

#include <iostream>

#include <cxxopts.hpp>

#include "product/log.h"

namespace corianderplank {
namespace {

constexpr int kBadSettings = 1;
constexpr int kBadCommandLine = 2;

daemon_options LoadSettings(const std::string& path,
                            bool is_agent,
                            bool check_only) {
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << path << ": cannot be read: accepted is a settings file\n";
    return {std::nullopt, kBadSettings};
  }
  const parsed_settings parsed = ParseSettings(path, text, is_agent);
  for (const config_error& error : parsed.errors) {
    std::cerr << FormatConfigError(error) << '\n';
  }
  if (!parsed.errors.empty()) {
    return {std::nullopt, kBadSettings};
  }
  if (check_only) {
    std::cout << path << ": settings are valid\n";
    return {std::nullopt, 0};
  }
  StartLog(parsed.settings.name, parsed.settings.log_level);
  return {parsed.settings, 0};
}

}  // namespace

std::string ProgramVersion() {
  return "corianderplank 0.1.0";
}

daemon_command_line ParseDaemonCommandLine(int argc,
                                           char** argv,
                                           const std::string& program) {
  cxxopts::Options options(program,
                           "Runs until SIGTERM; then finishes and exits.\n"
                           "Example: " +
                               program + " --settings settings.toml\n");
  options.add_options()("settings", "settings file (TOML)",
                        cxxopts::value<std::string>())(
      "check", "check the settings and exit")("help", "show this text")(
      "version", "show the version");
  daemon_command_line result;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      result.exit_code = 0;
    } else if (parsed.count("version") > 0) {
      std::cout << ProgramVersion() << '\n';
      result.exit_code = 0;
    } else if (parsed.count("settings") == 0) {
      std::cerr << program << ": --settings FILE is needed\n";
      result.exit_code = kBadCommandLine;
    } else {
      result.settings_path = parsed["settings"].as<std::string>();
      result.check_only = parsed.count("check") > 0;
    }
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << '\n';
    result.exit_code = kBadCommandLine;
  }
  return result;
}

daemon_options ReadDaemonOptions(int argc,
                                 char** argv,
                                 const std::string& program,
                                 bool is_agent) {
  const daemon_command_line line = ParseDaemonCommandLine(argc, argv, program);
  if (line.exit_code) {
    return {std::nullopt, *line.exit_code};
  }
  return LoadSettings(line.settings_path, is_agent, line.check_only);
}

}  // namespace corianderplank
