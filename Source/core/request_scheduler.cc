#include "core/request_scheduler.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A request that has no answer after this time does not hold a place: the
/// target may have restarted or may wait for packets that were lost.
constexpr milliseconds kPlaceLifetime = 1000ms;
/// Share of its slots by which more is handed to a target, so that it never
/// waits for the next request to arrive. What is ahead can't be overtaken.
constexpr std::uint32_t kAheadDivisor = 4;
/// Share of the aim that a target's work takes at most in the order: behind a
/// slower target the newest requests go first all the same.
constexpr double kMostWork = 0.75;

}  // namespace

bool request_scheduler::HasCapacity(time_point now, bool in_time) {
  if (slots_ == 0) {
    return true;
  }
  std::erase_if(passed_, [&](const passed_request& item) {
    return now - item.at > kPlaceLifetime;
  });
  const std::uint32_t ahead =
      in_time ? std::max(1U, slots_ / kAheadDivisor) : 0;
  return passed_.size() < slots_ + ahead;
}

bool request_scheduler::Admit(time_point now,
                         const flow_address& flow,
                         const request_policy& policy,
                         milliseconds waited) {
  const ticket item{flow, policy, now - waited};
  const bool in_time = ChanceOf(now, item) != chance::none;
  const bool is_next = std::none_of(
      waiting_.begin(), waiting_.end(),
      [&](const ticket& other) { return GoesBefore(now, other, item); });
  if (is_next && HasCapacity(now, in_time)) {
    passed_.push_back({flow, now});
    return true;
  }
  waiting_.push_back(item);
  return false;
}

std::optional<milliseconds> request_scheduler::Finish(time_point now,
                                                 const flow_address& flow) {
  std::optional<milliseconds> took;
  const auto passed = std::find_if(
      passed_.begin(), passed_.end(),
      [&](const passed_request& item) { return item.flow == flow; });
  if (passed != passed_.end()) {
    took = std::chrono::duration_cast<milliseconds>(now - passed->at);
    work_.Add(*took);
  }
  Cancel(flow);
  return took;
}

void request_scheduler::Cancel(const flow_address& flow) {
  std::erase_if(passed_,
                [&](const passed_request& item) { return item.flow == flow; });
  std::erase_if(waiting_,
                [&](const ticket& item) { return item.flow == flow; });
}

request_scheduler::chance request_scheduler::ChanceOf(time_point now,
                                            const ticket& item) const {
  using fine_milliseconds = std::chrono::duration<double, std::milli>;
  if (item.policy.latency_target == 0ms) {
    return chance::good;
  }
  const fine_milliseconds left = item.policy.latency_target - (now - item.began_at);
  const fine_milliseconds most = kMostWork * item.policy.latency_target;
  if (std::min<fine_milliseconds>(work_.UpperEstimate(), most) < left) {
    return chance::good;
  }
  return std::min<fine_milliseconds>(work_.LowerEstimate(), most) < left ? chance::some
                                                                 : chance::none;
}

std::size_t request_scheduler::CountAheadOfNew(time_point now) const {
  const auto in_time = std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const ticket& item) { return ChanceOf(now, item) != chance::none; });
  return passed_.size() + static_cast<std::size_t>(in_time);
}

bool request_scheduler::GoesBefore(time_point now,
                              const ticket& left,
                              const ticket& right) const {
  const chance left_chance = ChanceOf(now, left);
  const chance right_chance = ChanceOf(now, right);
  if (left_chance != right_chance) {
    return left_chance < right_chance;
  }
  if (left.policy.priority != right.policy.priority) {
    return left.policy.priority < right.policy.priority;
  }
  return left.began_at < right.began_at;
}

std::optional<flow_address> request_scheduler::StartNext(time_point now) {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const auto best =
      std::min_element(waiting_.begin(), waiting_.end(),
                       [&](const ticket& left, const ticket& right) {
                         return GoesBefore(now, left, right);
                       });
  if (!HasCapacity(now, ChanceOf(now, *best) != chance::none)) {
    return std::nullopt;
  }
  const flow_address flow = best->flow;
  waiting_.erase(best);
  passed_.push_back({flow, now});
  return flow;
}

}  // namespace corianderplank
