/// @file
/// `corianderplank check`: checks an environment document.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Prints every error of a document, or a summary of it.
class check_command : public command {
 public:
  std::string Name() const override { return "check"; }
  std::string Summary() const override {
    return "check an environment document";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
