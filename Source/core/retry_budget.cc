#include "core/retry_budget.h"

#include <algorithm>

namespace corianderplank {

void retry_budget::OnFirstTry() {
  available_retries_ =
      std::min(max_retries_, available_retries_ + retries_per_try_);
}

bool retry_budget::TryConsumeRetry() {
  if (available_retries_ < 1) {
    return false;
  }
  available_retries_ -= 1;
  return true;
}

}  // namespace corianderplank
