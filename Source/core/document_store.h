/// @file
/// Decides which environment document is in force in a process.
#pragma once

#include <memory>
#include <string>

#include "core/counters.h"
#include "core/document.h"
#include "core/result_code.h"

namespace corianderplank {

/// Holds the document in force. Its revision never goes down.
class document_store {
 public:
  /// @param environment the only environment whose documents are taken.
  /// @param counters counts documents that are not taken.
  document_store(std::string environment, counters& counters);

  /// Offers a document that passed its checks.
  /// @param candidate the document.
  /// @return answered when it is in force from now on or was already;
  ///     lower_revision, same_revision_differs or other_environment if not.
  result_code Offer(environment_document candidate);

  /// @return the document in force, or null.
  std::shared_ptr<const environment_document> InForce() const {
    return in_force_;
  }
  /// @return its revision, 0 when there is none.
  revision_number Revision() const;

 private:
  std::string environment_;
  counters& counters_;
  std::shared_ptr<const environment_document> in_force_;
};

}  // namespace corianderplank
