/// @file
/// `corianderplank load`: a seeded open-loop load that checks every answer.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Opens flows at a rate, whatever the system does, and counts the outcomes.
class load_command : public command {
 public:
  std::string Name() const override { return "load"; }
  std::string Summary() const override {
    return "send a seeded load and check every answer";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
