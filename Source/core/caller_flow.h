/// @file
/// The caller's side of one flow: opens, requests, answers, resumption.
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

/// How a piece of work ended.
struct request_outcome {
  std::uint64_t request_id = 0;
  outcome_kind outcome = outcome_kind::outcome_unknown;
  result_code code = result_code::answered;
  std::string answer;
  std::chrono::microseconds latency{0};
  /// The target that ended it, 0 if none did.
  target_id target;
};

/// What a flow asks of its surroundings.
class caller_effects {
 public:
  virtual ~caller_effects() = default;

  /// @param value a packet for the service's address.
  virtual void Send(const packet& value) = 0;

  /// @param outcome the end of a piece of work; exactly one for each.
  virtual void OnOutcome(const request_outcome& outcome) = 0;

  /// @param request_id the feed.
  /// @param position the message's number.
  /// @param message the message; each one once and in order.
  virtual void OnFeedMessage(std::uint64_t request_id,
                             std::uint64_t position,
                             std::string_view message) = 0;

  /// @param code why the flow could not be continued.
  virtual void OnBroken(result_code code) = 0;
};

/// State of a caller's flow.
enum class caller_state : std::uint8_t {
  opening,   ///< Waits for a first token.
  open,      ///< Has a token.
  resuming,  ///< Waits for another agent's token.
  closed,    ///< Done; answers late packets with close.
  broken,    ///< Could not be continued.
};

/// One flow of a caller.
class caller_flow {
 public:
  /// @param service the service.
  /// @param flow a number drawn at random, not 0.
  /// @param effects receives what the flow decides.
  /// @param budget the caller's retries, shared by its flows.
  /// @param counters counts repeats, retries and moves.
  caller_flow(service_id service,
              flow_id flow,
              caller_effects& effects,
              retry_budget& budget,
              counters& counters);

  /// @param now the present time.
  /// @param spec the work.
  void Submit(time_point now, request_spec spec);

  /// Ends the flow; work that is not finished is given up silently.
  void Close();

  /// @param now the present time.
  /// @param value a packet for this flow.
  void OnPacket(time_point now, const packet& value);

  /// Repeats, expires, resumes.
  /// @param now the present time.
  void Tick(time_point now);

  /// @return the flow's state.
  caller_state State() const { return state_; }
  /// @return pieces of work without an outcome.
  std::size_t UnfinishedCount() const {
    return state_ == caller_state::closed ? 0 : pending_.size();
  }
  /// @return whether an entry has yet to note how work ended.
  bool HasPendingVerdicts() const { return !verdicts_.IsEmpty(); }
  /// @return the agent's target, 0 before the first token.
  target_id Target() const { return token_ ? token_->target : target_id{}; }

 private:
  using pending_list = std::list<pending_request>;

  packet Header(packet_kind kind) const;
  std::uint32_t OldestSequence() const;
  pending_list::iterator FindSequence(std::uint32_t sequence);
  void SendOpen(time_point now);
  void SendRequest(time_point now, pending_request& request);
  void SendAcknowledge(const pending_request& request);
  bool MayRepeat(time_point now, pending_request& request);
  void SendUnsent(time_point now);
  void OnOpened(time_point now, const packet& value);
  void MoveToToken(time_point now, const packet& value, flow_token old);
  void ReleaseUnused(const flow_token& token);
  bool EndedWithoutAnswer(const packet& value) const;
  void OnAnswer(time_point now, const packet& value);
  void OnRefused(time_point now, const packet& value);
  void OnOpenRefused(time_point now, const packet& value);
  void OnRequestRefused(time_point now,
                        pending_list::iterator request,
                        const packet& value);
  bool MayRetry(time_point now, const pending_request& request) const;
  void StartResume(time_point now, result_code reason);
  void TickOpening(time_point now);
  void TickRequest(time_point now, pending_list::iterator request);
  void TickDeadline(time_point now, pending_list::iterator request);
  bool IsSilent(time_point now, const pending_request& request) const;
  void GiveUp(time_point now);
  void TickVerdicts(time_point now);
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
  time_point heard_at_;
  time_point next_ping_;
  pending_list pending_;
  verdict_queue verdicts_;
  /// Latest sequence numbers that ended without an answer.
  std::deque<std::uint32_t> unanswered_;
};

}  // namespace corianderplank
