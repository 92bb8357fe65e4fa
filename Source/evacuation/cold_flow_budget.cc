#include "evacuation/cold_flow_budget.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Length of the window, with an allowance for packets that the target reads
/// later than others.
constexpr milliseconds kWindow = 1020ms;
constexpr std::uint32_t kPermille = 1000;
/// Openings that are remembered: more than the limit of any cold target that
/// needs one.
constexpr std::size_t kMaxOpenings = 4096;

}  // namespace

void cold_flow_budget::OnColdTarget(time_point now,
                                    milliseconds cold_for,
                                    std::uint32_t flows_permille) {
  if (cold_for <= 0ms || flows_permille == 0) {
    return;
  }
  // A target that bears less than one flow a second still gets that one, as
  // nothing else would warm it up.
  const std::uint32_t limit = std::max(1U, flows_permille / kPermille);
  flows_per_second_ =
      now < cold_until_ ? std::min(flows_per_second_, limit) : limit;
  cold_until_ = std::max(cold_until_, now + cold_for);
}

void cold_flow_budget::OnOpening(time_point now) {
  while (!openings_.empty() && (now - openings_.front() >= kWindow ||
                                openings_.size() >= kMaxOpenings)) {
    openings_.pop_front();
  }
  openings_.push_back(now);
}

milliseconds cold_flow_budget::Wait(time_point now) const {
  if (now >= cold_until_) {
    return 0ms;
  }
  time_point free_at = unknown_until_;
  if (openings_.size() >= flows_per_second_) {
    // The opening that has to leave the window before another one fits.
    free_at = std::max(
        free_at, openings_[openings_.size() - flows_per_second_] + kWindow);
  }
  return now < free_at ? std::chrono::ceil<milliseconds>(free_at - now) : 0ms;
}

}  // namespace corianderplank
