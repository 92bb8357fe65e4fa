/// @file
/// corianderplank_agent: owns the flows of one backend server.

#include <exception>
#include <iostream>

#include "agent/agent_daemon.h"
#include "product/daemon_options.h"

int main(int argc, char** argv) {
  using namespace corianderplank;
  const auto settings = ReadDaemonOptions(argc, argv, "corianderplank_agent",
                                          /*is_agent=*/true);
  if (!settings.settings) {
    return settings.exit_code;
  }
  try {
    daemon_host shared("agent", *settings.settings);
    agent_daemon role(shared);
    shared.Run(role);
  } catch (const std::exception& error) {
    std::cerr << "corianderplank_agent: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
