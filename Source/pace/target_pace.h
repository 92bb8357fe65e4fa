/// @file
/// What a target can do at a time, and how long its requests take, as learned
/// from its answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/identifiers.h"
#include "pace/service_time_estimate.h"

namespace corianderplank {

/// Why the pace of a target is what it is.
enum class pace_state : std::uint8_t {
  starting,    ///< The target has just started and is raised by its answers.
  recovering,  ///< The same after failures or an absence.
  steady,      ///< The target gets as many requests as it has slots, or as
               ///< have proved to be as many as it can work on.
  on_trial,    ///< One step lower, to find out whether its answers get faster.
};

/// @param state state of a pace.
/// @return its name in logs.
const char* NameOf(pace_state state);

/// A change of a target's pace, with what it was decided on.
struct pace_change {
  std::uint32_t from = 0;  ///< Requests at a time before.
  std::uint32_t to = 0;    ///< Requests at a time from now on.
  pace_state state = pace_state::steady;
  /// Recent service times in thousandths of the usual ones of their routes.
  std::uint32_t slowness_permille = 0;
  /// Time since the state began.
  std::chrono::milliseconds age{0};
};

/// Learns a target's pace. Each request is compared with the usual time of its
/// own route, since routes differ. A target that starts or recovers gets half
/// of its slots and is raised with each good answer, by steps that double; a
/// failure halves its pace. If requests that fill the pace take twice the usual
/// time on average, one step less is tried; it stays if the answers got faster
/// in return, since a target that is merely slow loses capacity by it. Not
/// thread-safe; all times are of the monotonic clock.
class target_pace {
 public:
  /// @param now current time.
  /// @param slots number of requests that the target serves concurrently, at
  ///     least 1; the upper limit of the pace.
  void SetSlots(time_point now, std::uint32_t slots);

  /// Records which start of the target is meant. A target that has just started
  /// begins with half of its slots, also if the agent knew an earlier start. A
  /// start before the one known is ignored: entries learn of it one by one.
  /// @param now current time.
  /// @param start_ms Unix time of the start in milliseconds; 0 if not known.
  /// @param ran_for how long the target has been running at least.
  void OnStarted(time_point now,
                 std::int64_t start_ms,
                 std::chrono::milliseconds ran_for);

  /// Records an answer and adapts the pace.
  /// @param now current time.
  /// @param route address and port of the request's route.
  /// @param service_time time from forwarding the request to its answer.
  /// @param in_progress number of requests in progress when it was forwarded,
  ///     with it.
  void OnAnswered(time_point now,
                  const endpoint& route,
                  std::chrono::microseconds service_time,
                  std::uint32_t in_progress);

  /// Records that the target has failed a request or was absent.
  /// @param now current time.
  void OnFailed(time_point now);

  /// @return number of requests to forward at a time, at least 1; 0 if the
  ///     number of slots is not known.
  std::uint32_t Limit() const { return limit_; }

  /// @return expected service time of a request of the usual mix; 0 until the
  ///     first answer.
  std::chrono::microseconds ServiceTime() const;

  /// @param route address and port of a route.
  /// @return estimate for the route's requests, or for all requests if there
  ///     was none of this route.
  const service_time_estimate& EstimateFor(const endpoint& route) const;

  /// @return state of the pace.
  pace_state State() const { return state_; }

  /// @return the latest change since the last call; std::nullopt if none.
  std::optional<pace_change> TakeChange();

 private:
  struct route_times {
    endpoint route;
    std::int64_t usual_us = 0;
    service_time_estimate estimate;
    /// Answers that the usual time was learned from.
    std::uint64_t answers = 0;
    /// Number of the last answer among all of the target.
    std::uint64_t last_answer = 0;
  };

  route_times& FindOrInsert(const endpoint& route, std::int64_t time_us);
  /// @return requests at a time before the first answer of a target: half of
  ///     the slots leaves none idle for longer than that answer takes.
  std::uint32_t FirstLimit() const;
  void SetLimit(time_point now, std::uint32_t limit, pace_state state);
  void Raise(time_point now);
  void ConsiderTrial(time_point now);
  void EndTrial(time_point now);

  std::uint32_t slots_ = 0;
  std::uint32_t limit_ = 0;
  std::uint32_t raise_step_ = 1;
  pace_state state_ = pace_state::starting;
  time_point state_began_at_{};
  std::optional<pace_change> change_;
  bool has_start_ = false;
  std::int64_t start_ms_ = 0;
  std::uint64_t answers_ = 0;
  /// Recent service times in thousandths of the usual ones.
  std::int64_t slowness_permille_ = 0;
  /// Mean of the usual times of the requests answered, which follows the mix.
  std::int64_t mix_usual_us_ = 0;
  /// Good answers to requests that filled the pace, since it was raised.
  std::uint32_t good_answers_ = 0;
  /// Answers to requests that filled the pace, since the last decision about a
  /// trial, and the sum of their times in thousandths of the usual ones.
  std::uint32_t full_answers_ = 0;
  std::int64_t full_sum_ = 0;
  /// Of a trial: pace and slowness before, and answers since.
  std::uint32_t limit_before_ = 0;
  std::int64_t slowness_before_ = 0;
  std::int64_t trial_sum_ = 0;
  std::uint32_t trial_answers_ = 0;
  /// No trial before this time.
  time_point hold_until_{};
  std::chrono::milliseconds hold_{0};
  /// A pace that a trial has lowered is not raised before this time.
  time_point raise_after_{};
  std::chrono::milliseconds raise_pause_{0};
  service_time_estimate overall_;
  std::vector<route_times> routes_;
};

}  // namespace corianderplank
