/// @file
/// corianderplank: commands for operators, analysts and test callers.

#include <iostream>
#include <memory>
#include <vector>

#include "command/call_command.h"
#include "command/check_command.h"
#include "command/diff_command.h"
#include "command/explain_command.h"
#include "command/load_command.h"
#include "command/report_command.h"
#include "command/status_command.h"
#include "product/daemon_options.h"

namespace corianderplank {
namespace {

using command_list = std::vector<std::unique_ptr<command>>;

command_list MakeCommands() {
  command_list commands;
  commands.push_back(std::make_unique<check_command>());
  commands.push_back(std::make_unique<call_command>());
  commands.push_back(std::make_unique<load_command>());
  commands.push_back(std::make_unique<status_command>());
  commands.push_back(std::make_unique<explain_command>());
  commands.push_back(std::make_unique<diff_command>());
  commands.push_back(std::make_unique<report_command>());
  return commands;
}

void PrintHelp(const command_list& commands) {
  std::cout << "usage: corianderplank COMMAND [OPTIONS]\n\ncommands:\n";
  for (const auto& item : commands) {
    std::cout << "  " << item->Name()
              << std::string(12 - item->Name().size(), ' ') << item->Summary()
              << '\n';
  }
  std::cout << "\n'corianderplank COMMAND --help' shows options and an "
               "example. Exit codes: 0 good, 1 bad result, 2 wrong usage.\n";
}

exit_code RunNamed(const command_list& commands, int argc, char** argv) {
  const std::string name = argv[1];
  for (const auto& item : commands) {
    if (item->Name() != name) {
      continue;
    }
    try {
      return item->Run(argc - 1, argv + 1);
    } catch (const std::exception& error) {
      std::cerr << "corianderplank " << name << ": " << error.what() << '\n';
      return exit_code::usage;
    }
  }
  std::cerr << "corianderplank: COMMAND = " << name
            << ": accepted are the commands that --help lists\n";
  return exit_code::usage;
}

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  const command_list commands = MakeCommands();
  const std::string first = argc > 1 ? argv[1] : "--help";
  if (first == "--help" || first == "help") {
    PrintHelp(commands);
    return argc > 1 ? 0 : static_cast<int>(exit_code::usage);
  }
  if (first == "--version") {
    std::cout << ProgramVersion() << '\n';
    return 0;
  }
  return static_cast<int>(RunNamed(commands, argc, argv));
}
