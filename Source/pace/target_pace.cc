#include "pace/target_pace.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::int64_t kPermille = 1000;
/// Routes that a target is observed for; beyond, the longest unused is dropped.
constexpr std::size_t kMaxRoutes = 16;
/// Divisors of the usual time of a route and of the recent slowness. Times of
/// single requests may vary as much as their mean, so the slowness is known to
/// a fifth, and half of a change shows after 11 answers. A slow phase of 50
/// answers moves the usual time by a third of the change.
constexpr std::uint64_t kUsualDivisor = 128;
constexpr std::uint64_t kSlownessDivisor = 16;
/// Divisor of the mix of requests: with fewer, targets would seem to differ by
/// the chance of which requests they get.
constexpr std::uint64_t kMixDivisor = 64;
/// A time of more than this share of the usual one is not good: a client that
/// accepts three or four service times would then be late if it had to wait
/// once.
constexpr std::int64_t kGoodPermille = 2000;
/// Longer times count as this, so that one lost packet does not look like a
/// slow target.
constexpr std::int64_t kMaxRelative = 5000;
/// Answers whose mean decides whether a trial begins, and whether it has
/// helped. With four in a row, the variation of single requests began 64 trials
/// at 50 healthy targets within 17 s.
constexpr std::uint32_t kTrialAnswers = 16;
/// Pause before the next trial after one that did not help, and before a pace
/// that a trial has lowered is raised; doubles up to the maximum.
constexpr milliseconds kFirstHold = 1000ms;
constexpr milliseconds kMaxHold = 8000ms;
/// A target that has run for this long is no longer new to its requests.
constexpr milliseconds kNewFor = 10000ms;

/// @return the mean of the samples so far, from `divisor` of them on smoothed.
std::int64_t Approach(std::int64_t value,
                      std::int64_t sample,
                      std::uint64_t samples,
                      std::uint64_t divisor) {
  return value + (sample - value) /
                     static_cast<std::int64_t>(std::min(samples, divisor));
}

}  // namespace

const char* NameOf(pace_state state) {
  switch (state) {
    case pace_state::starting:
      return "starting";
    case pace_state::recovering:
      return "recovering";
    case pace_state::steady:
      return "steady";
    case pace_state::on_trial:
      return "on_trial";
  }
  return "";
}

void target_pace::SetSlots(time_point now, std::uint32_t slots) {
  if (slots == slots_) {
    return;
  }
  const bool is_first = slots_ == 0;
  slots_ = slots;
  if (is_first) {
    SetLimit(now, FirstLimit(), pace_state::starting);
  } else {
    SetLimit(now, slots, pace_state::steady);
  }
}

std::uint32_t target_pace::FirstLimit() const {
  return (slots_ + 1) / 2;
}

void target_pace::OnStarted(time_point now,
                            std::int64_t start_ms,
                            milliseconds ran_for) {
  if (has_start_ && start_ms <= start_ms_) {
    return;
  }
  const bool is_restart = has_start_ && start_ms_ != 0;
  const bool is_first = !has_start_;
  has_start_ = true;
  start_ms_ = start_ms;
  if (is_first && ran_for > kNewFor) {
    SetLimit(now, slots_, pace_state::steady);
  } else if (is_restart) {
    raise_step_ = 1;
    SetLimit(now, FirstLimit(), pace_state::starting);
  }
}

target_pace::route_times& target_pace::FindOrInsert(const endpoint& route,
                                                    std::int64_t time_us) {
  const auto found = std::find_if(
      routes_.begin(), routes_.end(),
      [&](const route_times& item) { return item.route == route; });
  if (found != routes_.end()) {
    return *found;
  }
  if (routes_.size() == kMaxRoutes) {
    routes_.erase(
        std::min_element(routes_.begin(), routes_.end(),
                         [](const route_times& left, const route_times& right) {
                           return left.last_answer < right.last_answer;
                         }));
  }
  routes_.push_back({route, std::max<std::int64_t>(1, time_us), {}, 0, 0});
  return routes_.back();
}

void target_pace::OnAnswered(time_point now,
                             const endpoint& route,
                             microseconds service_time,
                             std::uint32_t in_progress) {
  const std::int64_t time_us = service_time.count();
  route_times& times = FindOrInsert(route, time_us);
  const std::int64_t relative =
      std::min(kMaxRelative, time_us * kPermille / times.usual_us);
  // What answers are compared with does not move while a trial compares them.
  if (state_ != pace_state::on_trial) {
    times.usual_us = std::max<std::int64_t>(
        1, Approach(times.usual_us, time_us, ++times.answers, kUsualDivisor));
  }
  times.last_answer = ++answers_;
  const auto rounded = std::chrono::duration_cast<milliseconds>(service_time);
  times.estimate.Add(rounded);
  overall_.Add(rounded);
  slowness_permille_ =
      Approach(slowness_permille_, relative, answers_, kSlownessDivisor);
  mix_usual_us_ =
      Approach(mix_usual_us_, times.usual_us, answers_, kMixDivisor);
  if (slots_ == 0) {
    return;
  }
  const bool is_good = relative <= kGoodPermille;
  if (state_ == pace_state::on_trial) {
    // Requests forwarded before the trial had more company.
    if (in_progress <= limit_) {
      trial_sum_ += relative;
      if (++trial_answers_ == kTrialAnswers) {
        EndTrial(now);
      }
    }
  } else if (state_ != pace_state::steady) {
    raise_step_ = is_good ? raise_step_ : 1;
    if (is_good) {
      Raise(now);
    }
  } else if (in_progress >= limit_ && limit_ > 1 && now >= hold_until_) {
    full_sum_ += relative;
    if (++full_answers_ == kTrialAnswers) {
      ConsiderTrial(now);
    }
  }
  if (state_ == pace_state::steady && is_good && limit_ < slots_ &&
      in_progress >= limit_ && now >= raise_after_ &&
      ++good_answers_ >= limit_) {
    Raise(now);
  }
}

void target_pace::Raise(time_point now) {
  good_answers_ = 0;
  const std::uint32_t limit = std::min(slots_, limit_ + raise_step_);
  if (limit == slots_) {
    raise_pause_ /= 2;
  }
  raise_step_ *= 2;
  SetLimit(now, limit, limit == slots_ ? pace_state::steady : state_);
}

void target_pace::ConsiderTrial(time_point now) {
  const std::int64_t slowness = full_sum_ / kTrialAnswers;
  full_sum_ = 0;
  full_answers_ = 0;
  if (slowness <= kGoodPermille) {
    return;
  }
  limit_before_ = limit_;
  slowness_before_ = slowness;
  trial_sum_ = 0;
  trial_answers_ = 0;
  SetLimit(now, limit_ - std::max(1U, limit_ / 4), pace_state::on_trial);
}

void target_pace::EndTrial(time_point now) {
  const std::int64_t slowness = trial_sum_ / kTrialAnswers;
  raise_step_ = 1;
  good_answers_ = 0;
  // The answers got faster by at least half of the share that was taken away;
  // at the full share the target loses nothing.
  const bool has_helped = 2 * slowness * limit_before_ <=
                          slowness_before_ * (limit_before_ + limit_);
  if (has_helped) {
    hold_ = 0ms;
    raise_pause_ = std::clamp(2 * raise_pause_, kFirstHold, kMaxHold);
    raise_after_ = now + raise_pause_;
    slowness_permille_ = slowness;
    SetLimit(now, limit_, pace_state::steady);
    return;
  }
  hold_ = std::clamp(2 * hold_, kFirstHold, kMaxHold);
  hold_until_ = now + hold_;
  SetLimit(now, limit_before_, pace_state::steady);
}

void target_pace::OnFailed(time_point now) {
  raise_step_ = 1;
  if (slots_ != 0) {
    SetLimit(now, std::max(1U, limit_ / 2), pace_state::recovering);
  }
}

void target_pace::SetLimit(time_point now,
                           std::uint32_t limit,
                           pace_state state) {
  if (limit != limit_ && limit_ != 0) {
    change_ = pace_change{
        limit_, limit, state, static_cast<std::uint32_t>(slowness_permille_),
        std::chrono::duration_cast<milliseconds>(now - state_began_at_)};
  }
  if (state != state_ || state_began_at_ == time_point{}) {
    state_began_at_ = now;
  }
  limit_ = limit;
  state_ = state;
}

microseconds target_pace::ServiceTime() const {
  return microseconds(mix_usual_us_ * slowness_permille_ / kPermille);
}

const service_time_estimate& target_pace::EstimateFor(
    const endpoint& route) const {
  const auto found = std::find_if(
      routes_.begin(), routes_.end(),
      [&](const route_times& item) { return item.route == route; });
  return found == routes_.end() ? overall_ : found->estimate;
}

std::optional<pace_change> target_pace::TakeChange() {
  std::optional<pace_change> change;
  std::swap(change, change_);
  return change;
}

}  // namespace corianderplank
