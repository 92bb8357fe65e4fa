#include "core/document_store.h"

namespace corianderplank {

document_store::document_store(std::string environment, counters& counters)
    : environment_(std::move(environment)), counters_(counters) {}

revision_number document_store::Revision() const {
  return in_force_ == nullptr ? revision_number{} : in_force_->revision;
}

result_code document_store::Offer(environment_document candidate) {
  if (candidate.environment != environment_) {
    counters_.Add(result_code::other_environment);
    return result_code::other_environment;
  }
  if (candidate.revision < Revision()) {
    counters_.Add(result_code::lower_revision);
    return result_code::lower_revision;
  }
  if (candidate.revision == Revision() && in_force_ != nullptr) {
    if (candidate.checksum == in_force_->checksum) {
      return result_code::answered;
    }
    counters_.Add(result_code::same_revision_differs);
    return result_code::same_revision_differs;
  }
  in_force_ =
      std::make_shared<const environment_document>(std::move(candidate));
  return result_code::answered;
}

}  // namespace corianderplank
