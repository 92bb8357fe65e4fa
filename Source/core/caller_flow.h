/// @file
/// Caller side of a flow: opens it, sends requests, receives answers and
/// resumes the flow at another agent.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/packet.h"
#include "core/pending_request.h"
#include "core/retry_budget.h"
#include "core/retry_timing.h"
#include "core/target_search.h"
#include "core/verdict_queue.h"

namespace corianderplank {

/// Result of a request, an upload chunk or a feed.
struct request_outcome {
  std::uint64_t request_id = 0;
  outcome_kind outcome = outcome_kind::outcome_unknown;
  result_code code = result_code::answered;
  std::string answer;
  std::chrono::microseconds latency{0};
  /// Target that it had been sent to when it ended; 0 if it was waiting to be
  /// sent or sent again.
  target_id target;
};

/// Output interface of caller_flow: packets to send and events to report.
class caller_effects {
 public:
  virtual ~caller_effects() = default;

  /// Sends a packet to the service's address.
  /// @param value packet; its payload is valid only during the call.
  virtual void Send(const packet& value) = 0;

  /// Reports the result of a submitted request. Called exactly once for each
  /// request, except for those that are unfinished when the flow is closed.
  /// @param outcome result of the request.
  virtual void OnOutcome(const request_outcome& outcome) = 0;

  /// Delivers a feed message. The messages of a feed are delivered in order,
  /// without gaps or duplicates.
  /// @param request_id request_id of the feed's request_spec.
  /// @param position index of the message in the feed.
  /// @param message payload; valid only during the call.
  virtual void OnFeedMessage(std::uint64_t request_id,
                             std::uint64_t position,
                             std::string_view message) = 0;

  /// Reports that an open flow could not be resumed at any target.
  /// @param code reason for the failure.
  virtual void OnBroken(result_code code) = 0;
};

/// State of a flow at the caller.
enum class caller_state : std::uint8_t {
  opening,   ///< Waits for its first token.
  open,      ///< Has a token.
  resuming,  ///< Waits for the token of another agent.
  closed,    ///< Closed by the caller; replies to late packets with close.
  broken,    ///< No target was found within the search timeout.
};

/// One flow of a caller. Not thread-safe.
class caller_flow {
 public:
  /// @param service service to which the flow is opened.
  /// @param flow random number other than 0.
  /// @param effects receives packets and events; must outlive the flow.
  /// @param budget retry budget that all flows of the caller share; must
  ///     outlive the flow.
  /// @param counters counts retransmissions, retries and resumptions; must
  ///     outlive the flow.
  caller_flow(service_id service,
              flow_id flow,
              caller_effects& effects,
              retry_budget& budget,
              counters& counters);

  /// Adds a request and sends it as soon as the flow is open and its window has
  /// capacity. In a broken flow the request fails immediately.
  /// @param now current time of the monotonic clock.
  /// @param spec parameters of the request.
  void Submit(time_point now, request_spec spec);

  /// Closes the flow. Unfinished requests are abandoned without a result.
  void Close();

  /// Processes a received packet.
  /// @param now current time of the monotonic clock.
  /// @param value packet of this flow.
  void OnPacket(time_point now, const packet& value);

  /// Retransmits requests, opens and verdicts, cancels requests whose deadline
  /// has passed, sends pings and resumes the flow if its agent is unresponsive.
  /// @param now current time of the monotonic clock.
  void Tick(time_point now);

  caller_state State() const { return state_; }
  /// @return number of requests without a result; 0 for a closed flow.
  std::size_t UnfinishedCount() const {
    return state_ == caller_state::closed ? 0 : pending_.size();
  }
  /// @return whether a verdict has been neither acknowledged by an entry nor
  ///     dropped.
  bool HasPendingVerdicts() const { return !verdict_queue_.IsEmpty(); }
  /// @return target of the current token; 0 before the first token.
  target_id Target() const { return token_ ? token_->target : target_id{}; }

 private:
  using pending_list = std::list<pending_request>;

  packet MakePacket(packet_kind kind) const;
  std::uint32_t OldestSequence() const;
  pending_list::iterator FindSequence(std::uint32_t sequence);
  void SendOpen(time_point now);
  void SendRequest(time_point now, pending_request& request);
  void SendAcknowledge(const pending_request& request);
  /// Consumes a retry from the budget if the request needs one. If the budget
  /// is spent, doubles the request's wait up to kMaxRetryWait.
  /// @return whether the request may be sent now.
  bool ConsumeRetryIfNeeded(time_point now, pending_request& request);
  void SendUnsent(time_point now);
  void OnOpened(time_point now, const packet& value);
  /// Decides for each request sent with the old token whether it is sent again
  /// with the new one, still answered by the old agent, or failed.
  void MigrateRequests(time_point now,
                       const packet& value,
                       flow_token old_token);
  /// Closes a reservation that no pending request uses.
  void ReleaseUnusedToken(const flow_token& token);
  /// @return whether the packet answers a request that already ended without an
  ///     answer.
  bool EndedWithoutAnswer(const packet& value) const;
  void OnAnswer(time_point now, const packet& value);
  void OnRefused(time_point now, const packet& value);
  void OnOpenRefused(time_point now, const packet& value);
  void OnRequestRefused(time_point now,
                        pending_list::iterator request,
                        const packet& value);
  bool MayRetry(time_point now, const pending_request& request) const;
  void StartResume(time_point now, result_code reason);
  void TickTargetSearch(time_point now);
  void TickRequest(time_point now, pending_list::iterator request);
  void TickDeadline(time_point now, pending_list::iterator request);
  bool IsUnresponsive(time_point now, const pending_request& request) const;
  /// Marks the flow as broken and fails all pending requests.
  void FailFlow(time_point now);
  void SendDueVerdicts(time_point now);
  void Finish(time_point now, pending_list::iterator request, result_code code);

  service_id service_;
  flow_id flow_;
  caller_effects& effects_;
  retry_budget& budget_;
  counters& counters_;
  caller_state state_ = caller_state::opening;
  std::optional<flow_token> token_;
  target_search search_;
  std::uint32_t next_sequence_ = 1;
  jitter_source jitter_;
  /// Time of the last packet with the current token.
  time_point last_received_at_;
  time_point next_ping_;
  pending_list pending_;
  verdict_queue verdict_queue_;
  /// The latest kWindowSize sequence numbers that ended without an answer.
  std::deque<std::uint32_t> unanswered_sequences_;
};

}  // namespace corianderplank
