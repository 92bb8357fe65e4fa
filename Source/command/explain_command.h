/// @file
/// `corianderplank explain`: show where an open would go and why.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Asks entries where they would place an open.
class explain_command : public command {
 public:
  std::string Name() const override { return "explain"; }
  std::string Summary() const override {
    return "show where an open would go and why";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
