/// @file
/// What a change of document adds, removes, alters and moves.
#pragma once

#include <string>
#include <vector>

#include "core/document.h"

namespace corianderplank {

/// One difference between two documents.
struct document_difference {
  std::string what;     ///< "added", "removed" or "changed".
  std::string subject;  ///< Such as "target tracking-1 of tracking-gateway".
  std::string detail;   ///< Such as "slots 4 -> 5".
  bool moves_flows = false;  ///< The flows of the subject will move.
};

/// @param before the document in force.
/// @param after the document that shall be.
/// @return the differences, in the order of the documents.
std::vector<document_difference> CompareDocuments(
    const environment_document& before,
    const environment_document& after);

}  // namespace corianderplank
