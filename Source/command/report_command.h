/// @file
/// `corianderplank report`: state what happened to the traffic.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Puts together what processes tell and what their logs kept.
class report_command : public command {
 public:
  std::string Name() const override { return "report"; }
  std::string Summary() const override {
    return "state what happened to the traffic";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
