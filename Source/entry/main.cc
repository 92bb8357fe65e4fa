/// @file
/// corianderplank_entry: forwards callers' packets to the owners of flows.

#include <exception>
#include <iostream>

#include "entry/entry_daemon.h"
#include "product/daemon_options.h"

int main(int argc, char** argv) {
  using namespace corianderplank;
  const auto settings = ReadDaemonOptions(argc, argv, "corianderplank_entry",
                                          /*is_agent=*/false);
  if (!settings.settings) {
    return settings.exit_code;
  }
  try {
    daemon_host shared("entry", *settings.settings);
    entry_daemon role(shared);
    shared.Run(role);
  } catch (const std::exception& error) {
    std::cerr << "corianderplank_entry: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
