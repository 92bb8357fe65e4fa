#include "core/retry_budget.h"

#include <algorithm>

namespace corianderplank {

void retry_budget::OnFirstTry() {
  saved_ = std::min(reserve_, saved_ + retries_per_try_);
}

bool retry_budget::TryConsumeRetry() {
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

}  // namespace corianderplank
