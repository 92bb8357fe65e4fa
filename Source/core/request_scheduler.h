/// @file
/// Orders the requests for one target by their chance to meet their latency
/// target, then by priority, then by age. Late requests get the slots that are
/// left.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/flow_packet.h"
#include "pace/target_pace.h"

namespace corianderplank {

/// Scheduling policy of a route's requests.
struct request_policy {
  std::uint32_t priority = 0;  ///< 0 is highest.
  /// Time from the client's request within which an answer has full value; 0 if
  /// not known.
  std::chrono::milliseconds latency_target{0};
  /// Time after which the client gives up; 0 if not known.
  std::chrono::milliseconds timeout{0};
  /// Clients repeat a request that failed, since it may run more than once.
  bool repeatable = false;
};

/// Queues requests for one target. A target serves its own queue first come,
/// first served, so it gets few more requests than it has slots and the others
/// wait here, where they can be reordered. Not thread-safe; all times are of
/// the monotonic clock.
class request_scheduler {
 public:
  /// @param slots number of requests that the target serves concurrently; 0 if
  ///     not known, in which case every request is admitted.
  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  /// Lets the target's answers decide how many requests it gets at a time; the
  /// slots stay the upper limit. Estimates of service times are by route then.
  void LearnPace() { learns_pace_ = true; }

  /// Reports which start of the target is meant; needed only if the pace is
  /// learned, after SetSlots.
  /// @param now current time of the monotonic clock.
  /// @param start_ms Unix time of the start in milliseconds; 0 if not known.
  /// @param ran_for how long the target has been running at least.
  void OnTargetStarted(time_point now,
                       std::int64_t start_ms,
                       std::chrono::milliseconds ran_for);

  /// Records that the target has failed a request, refused a flow or was
  /// absent.
  /// @param now current time of the monotonic clock.
  void OnTargetFailed(time_point now);

  /// @return what the target's answers have shown; no slots are known to it
  ///     unless the pace is learned.
  const target_pace& Pace() const { return pace_; }

  /// @return the latest change of the pace since the last call.
  std::optional<pace_change> TakePaceChange() { return pace_.TakeChange(); }

  /// Admits or queues a request whose first packet has arrived.
  /// @param now current time of the monotonic clock.
  /// @param flow flow of the request; must have no other request here.
  /// @param policy policy of the flow's route.
  /// @param waited time that the client has already waited.
  /// @return whether to forward the request now; otherwise it is queued.
  bool Admit(time_point now,
             const flow_address& flow,
             const request_policy& policy,
             std::chrono::milliseconds waited);

  /// Notes that a request is still arriving from its client. It occupies no
  /// slot until it has been there for a while: the target begins to work on it
  /// once it is complete.
  /// @param now current time of the monotonic clock.
  /// @param flow flow of the request, which was forwarded or is new.
  /// @return whether it is accepted as arriving; if not, since too many are,
  ///     nothing has changed.
  bool OnArriving(time_point now, const flow_address& flow);

  /// Removes an answered request. Records its service time, unless it was never
  /// forwarded or the timeout of forwarded requests has already removed it.
  /// @param now current time of the monotonic clock.
  /// @param flow flow of the request.
  /// @return time since the request was forwarded; std::nullopt if it was not,
  ///     or no longer occupies a slot.
  std::optional<std::chrono::milliseconds> Finish(time_point now,
                                                  const flow_address& flow);

  /// Removes a request that will not be answered; does nothing if unknown.
  /// @param flow flow of the request.
  void Cancel(const flow_address& flow);

  /// Removes the best queued request from the queue and marks it as forwarded.
  /// @param now current time of the monotonic clock.
  /// @return its flow; std::nullopt if none is queued or the target has no
  ///     capacity.
  std::optional<flow_address> StartNext(time_point now);

  /// @return whether all slots are occupied or requests are queued. Admit may
  ///     still forward a request, into a place beyond the slots. False if the
  ///     number of slots is not known.
  bool IsFull() const {
    return Places() != 0 && (!queued_.empty() || forwarded_.size() >= Places());
  }

  /// @param now current time of the monotonic clock.
  /// @return number of requests at the target plus queued ones that can still
  ///     meet their latency target: an upper limit of those ahead of a new
  ///     request that can meet its own, which may overtake some of the queued
  ///     ones. The agent reports its average as load.
  std::size_t CountAheadOfNew(time_point now) const;

  /// @return number of requests at the target; may include requests that have
  ///     timed out, until the next check for capacity.
  std::size_t ForwardedCount() const {
    return forwarded_.size() + arriving_.size();
  }
  /// @return number of queued requests.
  std::size_t QueuedCount() const { return queued_.size(); }

 private:
  struct queued_request {
    flow_address flow;
    request_policy policy;
    /// When the client began to wait.
    time_point began_at{};
  };

  struct forwarded_request {
    flow_address flow;
    time_point at{};
    /// Number of requests in progress with this one.
    std::uint32_t in_progress = 0;
  };

  /// Chance of a request to meet its latency target, best first. Compares the
  /// time that is left with estimates of the service time, which are limited to
  /// a share of the latency target:
  /// - likely: more than the upper estimate is left, or no latency target;
  /// - possible: more than the lower estimate is left, but not than the upper;
  /// - none: no more than the lower estimate is left.
  enum class chance : std::uint8_t { likely, possible, none };

  /// Removes forwarded requests that have timed out, if the number of slots is
  /// known. The counts of forwarded requests may include them until then.
  /// @param can_be_on_time whether the request can meet its latency target; if
  ///     so it may use the extra places beyond the slots.
  bool HasCapacity(time_point now, bool can_be_on_time);
  chance OnTimeChance(time_point now, const queued_request& item) const;
  bool Precedes(time_point now,
                const queued_request& left,
                const queued_request& right) const;

  /// @return number of requests to forward at a time; 0 if not known.
  std::uint32_t Places() const { return learns_pace_ ? pace_.Limit() : slots_; }
  void MarkForwarded(time_point now, const flow_address& flow);

  std::uint32_t slots_ = 0;
  bool learns_pace_ = false;
  target_pace pace_;
  std::vector<forwarded_request> forwarded_;
  /// Forwarded requests that are not complete yet, and when their latest packet
  /// arrived.
  std::vector<forwarded_request> arriving_;
  std::vector<queued_request> queued_;
  service_time_estimate service_time_;
};

}  // namespace corianderplank
