/// @file
/// `corianderplank status`: show the fleet on one screen.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Prints one line a process: revision, state, load, drains, ejections.
class status_command : public command {
 public:
  std::string Name() const override { return "status"; }
  std::string Summary() const override {
    return "show the fleet on one screen";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
