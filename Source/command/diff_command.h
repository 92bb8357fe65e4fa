/// @file
/// `corianderplank diff`: compare two environment documents.
#pragma once

#include "command/command.h"

namespace corianderplank {

/// Prints what a change of document adds, removes, alters and moves.
class diff_command : public command {
 public:
  std::string Name() const override { return "diff"; }
  std::string Summary() const override {
    return "compare two environment documents";
  }
  exit_code Run(int argc, char** argv) override;
};

}  // namespace corianderplank
