/// @file
/// `corianderplank call`: one request, feed or upload.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Sends one piece of work and shows its outcome and reason.
class call_command : public command {
 public:
  std::string Name() const override { return "call"; }
  std::string Summary() const override {
    return "send one request, feed or upload";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
