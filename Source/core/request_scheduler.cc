#include "core/request_scheduler.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A forwarded request without an answer stops occupying a slot after this
/// time: the target may have restarted or may wait for lost packets.
constexpr milliseconds kForwardedTimeout = 1000ms;
/// A target gets up to slots / 4, at least 1, more requests than it has slots,
/// so that it never waits for the next request to arrive. Requests forwarded
/// early can't be overtaken, so the number is kept small.
constexpr std::uint32_t kExtraSlotsDivisor = 4;
/// Upper limit of the service time that the ordering assumes, as a share of the
/// latency target. A request that has waited less than a quarter of its latency
/// target therefore counts as likely to be on time. This keeps new requests
/// ahead of those that have waited longer even if the target is slower than
/// that.
constexpr double kMaxServiceTimeShare = 0.75;
/// A request of which nothing has arrived for this long counts as complete: a
/// few round trips, less than a client takes to repeat a lost packet.
constexpr milliseconds kArrivalPause = 20ms;
/// Requests for each slot that may be arriving: as many as are complete at
/// about the same time must fit the target's own queue.
constexpr std::size_t kMaxArrivingPerSlot = 16;

}  // namespace

void request_scheduler::OnTargetStarted(time_point now,
                                        std::int64_t start_ms,
                                        milliseconds ran_for) {
  if (learns_pace_ && slots_ != 0) {
    pace_.SetSlots(now, slots_);
    pace_.OnStarted(now, start_ms, ran_for);
  }
}

void request_scheduler::OnTargetFailed(time_point now) {
  if (learns_pace_) {
    pace_.OnFailed(now);
  }
}

void request_scheduler::MarkForwarded(time_point now,
                                      const flow_address& flow) {
  forwarded_.push_back(
      {flow, now, static_cast<std::uint32_t>(forwarded_.size() + 1)});
}

bool request_scheduler::HasCapacity(time_point now, bool can_be_on_time) {
  const std::uint32_t places = Places();
  if (places == 0) {
    return true;
  }
  std::erase_if(arriving_, [&](const forwarded_request& item) {
    const bool is_complete = now - item.at > kArrivalPause;
    if (is_complete) {
      forwarded_.push_back({item.flow, item.at,
                            static_cast<std::uint32_t>(forwarded_.size() + 1)});
    }
    return is_complete;
  });
  std::erase_if(forwarded_, [&](const forwarded_request& item) {
    return now - item.at > kForwardedTimeout;
  });
  const std::uint32_t extra =
      can_be_on_time ? std::max(1U, places / kExtraSlotsDivisor) : 0;
  return forwarded_.size() < places + extra;
}

bool request_scheduler::Admit(time_point now,
                              const flow_address& flow,
                              const request_policy& policy,
                              milliseconds waited) {
  const queued_request item{flow, policy, now - waited};
  const bool can_be_on_time = OnTimeChance(now, item) != chance::none;
  const bool is_next = std::none_of(
      queued_.begin(), queued_.end(),
      [&](const queued_request& other) { return Precedes(now, other, item); });
  if (is_next && HasCapacity(now, can_be_on_time)) {
    MarkForwarded(now, flow);
    return true;
  }
  queued_.push_back(item);
  return false;
}

bool request_scheduler::OnArriving(time_point now, const flow_address& flow) {
  const auto is_same = [&](const forwarded_request& item) {
    return item.flow == flow;
  };
  const auto found = std::find_if(arriving_.begin(), arriving_.end(), is_same);
  if (found != arriving_.end()) {
    found->at = now;
    return true;
  }
  if (arriving_.size() >= slots_ * kMaxArrivingPerSlot) {
    return false;
  }
  std::erase_if(forwarded_, is_same);
  arriving_.push_back({flow, now});
  return true;
}

std::optional<milliseconds> request_scheduler::Finish(
    time_point now,
    const flow_address& flow) {
  std::optional<milliseconds> service_time;
  const auto is_same = [&](const forwarded_request& item) {
    return item.flow == flow;
  };
  auto forwarded = std::find_if(forwarded_.begin(), forwarded_.end(), is_same);
  bool was_forwarded = forwarded != forwarded_.end();
  if (!was_forwarded) {
    forwarded = std::find_if(arriving_.begin(), arriving_.end(), is_same);
    was_forwarded = forwarded != arriving_.end();
  }
  if (was_forwarded) {
    service_time =
        std::chrono::duration_cast<milliseconds>(now - forwarded->at);
    service_time_.Add(*service_time);
    if (learns_pace_) {
      pace_.OnAnswered(now, flow.service,
                       std::chrono::duration_cast<std::chrono::microseconds>(
                           now - forwarded->at),
                       forwarded->in_progress);
    }
  }
  Cancel(flow);
  return service_time;
}

void request_scheduler::Cancel(const flow_address& flow) {
  std::erase_if(forwarded_, [&](const forwarded_request& item) {
    return item.flow == flow;
  });
  std::erase_if(arriving_, [&](const forwarded_request& item) {
    return item.flow == flow;
  });
  std::erase_if(queued_,
                [&](const queued_request& item) { return item.flow == flow; });
}

request_scheduler::chance request_scheduler::OnTimeChance(
    time_point now,
    const queued_request& item) const {
  using fine_milliseconds = std::chrono::duration<double, std::milli>;
  if (item.policy.latency_target == 0ms) {
    return chance::likely;
  }
  const fine_milliseconds left =
      item.policy.latency_target - (now - item.began_at);
  const fine_milliseconds max_service_time =
      kMaxServiceTimeShare * item.policy.latency_target;
  const service_time_estimate& service_time =
      learns_pace_ ? pace_.EstimateFor(item.flow.service) : service_time_;
  if (std::min<fine_milliseconds>(service_time.UpperEstimate(),
                                  max_service_time) < left) {
    return chance::likely;
  }
  return std::min<fine_milliseconds>(service_time.LowerEstimate(),
                                     max_service_time) < left
             ? chance::possible
             : chance::none;
}

std::size_t request_scheduler::CountAheadOfNew(time_point now) const {
  const auto can_be_on_time = std::count_if(
      queued_.begin(), queued_.end(), [&](const queued_request& item) {
        return OnTimeChance(now, item) != chance::none;
      });
  return ForwardedCount() + static_cast<std::size_t>(can_be_on_time);
}

bool request_scheduler::Precedes(time_point now,
                                 const queued_request& left,
                                 const queued_request& right) const {
  const chance left_chance = OnTimeChance(now, left);
  const chance right_chance = OnTimeChance(now, right);
  if (left_chance != right_chance) {
    return left_chance < right_chance;
  }
  if (left.policy.priority != right.policy.priority) {
    return left.policy.priority < right.policy.priority;
  }
  return left.began_at < right.began_at;
}

std::optional<flow_address> request_scheduler::StartNext(time_point now) {
  if (queued_.empty()) {
    return std::nullopt;
  }
  const auto best = std::min_element(
      queued_.begin(), queued_.end(),
      [&](const queued_request& left, const queued_request& right) {
        return Precedes(now, left, right);
      });
  if (!HasCapacity(now, OnTimeChance(now, *best) != chance::none)) {
    return std::nullopt;
  }
  const flow_address flow = best->flow;
  queued_.erase(best);
  MarkForwarded(now, flow);
  return flow;
}

}  // namespace corianderplank
