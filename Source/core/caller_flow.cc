#include "core/caller_flow.h"

#include <algorithm>
#include <iterator>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Retransmission delay of a request that the agent has confirmed.
constexpr milliseconds kConfirmedRetransmitDelay = 500ms;
/// Time without a packet after which an agent is unresponsive and the flow
/// searches for another target.
constexpr auto kUnresponsiveTimeout = 1200ms;
/// Number of times that a request is sent before its agent can count as
/// unresponsive.
constexpr int kUnresponsiveSends = 4;
/// Time to wait for the result of a cancelled request.
constexpr auto kCancelTimeout = 1500ms;
constexpr auto kPingPeriod = 8s;
constexpr int kMaxTries = 6;

bool IsPlannedMigration(result_code code) {
  return code == result_code::draining || code == result_code::fenced;
}

}  // namespace

caller_flow::caller_flow(service_id service,
                         flow_id flow,
                         caller_effects& effects,
                         retry_budget& budget,
                         counters& counters)
    : service_(service),
      flow_(flow),
      effects_(effects),
      budget_(budget),
      counters_(counters),
      jitter_(flow) {}

packet caller_flow::MakePacket(packet_kind kind) const {
  packet value;
  value.kind = kind;
  value.service = service_;
  value.flow = flow_;
  value.token = token_;
  value.attempt = search_.Attempt();
  value.oldest_sequence = OldestSequence();
  return value;
}

std::uint32_t caller_flow::OldestSequence() const {
  std::uint32_t oldest = next_sequence_;
  for (const pending_request& request : pending_) {
    if (request.token) {
      oldest = std::min(oldest, request.sequence);
    }
  }
  return oldest;
}

caller_flow::pending_list::iterator caller_flow::FindSequence(
    std::uint32_t sequence) {
  return std::find_if(pending_.begin(), pending_.end(),
                      [sequence](const pending_request& request) {
                        return request.token && request.sequence == sequence;
                      });
}

void caller_flow::Submit(time_point now, request_spec spec) {
  pending_request request;
  request.submitted_at = now;
  request.deadline = now + spec.timeout;
  request.next_position = spec.position;
  request.spec = std::move(spec);
  pending_.push_back(std::move(request));
  budget_.OnFirstTry();
  if (state_ == caller_state::broken) {
    Finish(now, std::prev(pending_.end()), result_code::no_target);
  } else if (state_ == caller_state::open) {
    SendUnsent(now);
  } else if (state_ == caller_state::opening && !search_.HasSentOpen()) {
    search_.Begin(now, result_code::answered);
    SendOpen(now);
  }
}

void caller_flow::SendOpen(time_point now) {
  if (search_.OnSend(now, jitter_)) {
    counters_.Add(result_code::open_repeated);
  }
  packet open = MakePacket(packet_kind::open);
  open.sequence = next_sequence_;
  open.code = search_.Reason();
  effects_.Send(open);
}

bool caller_flow::ConsumeRetryIfNeeded(time_point now,
                                       pending_request& request) {
  if (!request.needs_retry_budget) {
    return true;
  }
  if (!budget_.TryConsumeRetry()) {
    request.wait = std::min(request.wait * 2, kMaxRetryWait);
    request.next_send = now + request.wait;
    return false;
  }
  request.needs_retry_budget = false;
  counters_.Add(result_code::retried_after_refusal);
  return true;
}

void caller_flow::SendUnsent(time_point now) {
  for (pending_request& request : pending_) {
    if (request.token || request.next_send > now ||
        !ConsumeRetryIfNeeded(now, request)) {
      continue;
    }
    if (next_sequence_ - OldestSequence() >= kWindowSize) {
      return;
    }
    request.sequence = next_sequence_++;
    request.token = token_;
    request.sends = 0;
    ++request.tries;
    request.has_progress = false;
    request.heard_at = now;
    SendRequest(now, request);
  }
}

void caller_flow::SendRequest(time_point now, pending_request& request) {
  if (++request.sends > 1) {
    counters_.Add(result_code::request_repeated);
  }
  const milliseconds retransmit_delay = request.has_progress
                                            ? kConfirmedRetransmitDelay
                                            : RetransmitDelay(request.sends);
  request.next_send = now + jitter_.ApplyJitter(retransmit_delay);
  packet value = MakePacket(request.cancelling ? packet_kind::cancel
                                               : packet_kind::request);
  request.FillPacket(now, value);
  effects_.Send(value);
}

void caller_flow::SendAcknowledge(const pending_request& request) {
  packet value = MakePacket(packet_kind::acknowledge);
  value.token = request.token;
  value.sequence = request.sequence;
  value.fragment = request.assembly.NextExpected();
  value.selective = request.assembly.Selective();
  effects_.Send(value);
}

void caller_flow::OnPacket(time_point now, const packet& value) {
  if (value.kind == packet_kind::noted) {
    verdict_queue_.OnVerdictAcknowledged(value.request_id);
    return;
  }
  if (state_ == caller_state::closed) {
    if (value.kind != packet_kind::refused && value.token) {
      packet close = MakePacket(packet_kind::close);
      close.token = value.token;
      if (EndedWithoutAnswer(value)) {
        close.code = result_code::answer_timeout;
      }
      effects_.Send(close);
    }
    return;
  }
  const bool from_current_agent =
      value.token && token_ && *value.token == *token_;
  if (from_current_agent) {
    last_received_at_ = now;
  }
  switch (value.kind) {
    case packet_kind::opened:
      OnOpened(now, value);
      return;
    case packet_kind::progress: {
      const auto request = FindSequence(value.sequence);
      if (request != pending_.end()) {
        request->heard_at = now;
        request->has_progress = true;
        request->sends = 1;
      }
      return;
    }
    case packet_kind::answer:
      OnAnswer(now, value);
      return;
    case packet_kind::refused:
      OnRefused(now, value);
      return;
    case packet_kind::move:
      if (from_current_agent && state_ == caller_state::open) {
        StartResume(now, result_code::resumed_for_drain);
      } else if (!from_current_agent && value.token) {
        ReleaseUnusedToken(*value.token);
      }
      return;
    default:
      return;
  }
}

void caller_flow::OnOpened(time_point now, const packet& value) {
  const bool awaiting_token =
      state_ == caller_state::opening || state_ == caller_state::resuming;
  if (!awaiting_token && value.token && state_ == caller_state::open &&
      *value.token != *token_) {
    ReleaseUnusedToken(*value.token);
  }
  if (!awaiting_token || !value.token ||
      !search_.BelongsToSearch(value.attempt)) {
    return;
  }
  const std::optional<flow_token> old_token = token_;
  token_ = value.token;
  state_ = caller_state::open;
  search_.End();
  last_received_at_ = now;
  next_ping_ = now + kPingPeriod;
  if (old_token && *old_token != *token_) {
    MigrateRequests(now, value, *old_token);
  }
  if (state_ == caller_state::open) {
    SendUnsent(now);
  }
}

void caller_flow::ReleaseUnusedToken(const flow_token& token) {
  const bool used = std::any_of(
      pending_.begin(), pending_.end(), [&](const pending_request& request) {
        return request.token && *request.token == token;
      });
  if (!used) {
    packet close = MakePacket(packet_kind::close);
    close.token = token;
    effects_.Send(close);
  }
}

void caller_flow::MigrateRequests(time_point now,
                                  const packet& value,
                                  flow_token old_token) {
  for (auto request = pending_.begin(); request != pending_.end();) {
    const auto current = request++;
    if (!current->token || *current->token != old_token ||
        current->cancelling) {
      continue;
    }
    const std::uint32_t offset = current->sequence - value.oldest_sequence;
    // A request that the old agent has not reported on counts as started.
    const bool is_reported = value.fenced && offset < kWindowSize;
    const bool started = !is_reported || ((value.selective >> offset) & 1) != 0;
    const bool is_feed = current->spec.work == work_kind::feed;
    current->in_doubt |= started && !value.fenced && !is_feed;
    if (is_feed || !started) {
      current->ResetForResend(now);
    } else if (value.fenced) {
      // The old agent has started the request and still delivers its answer.
      current->next_send = now;
    } else if (current->IsRepeatable()) {
      current->ResetForResend(now);
    } else {
      Finish(now, current, result_code::target_lost);
      if (state_ == caller_state::closed) {
        return;
      }
    }
  }
}

bool caller_flow::EndedWithoutAnswer(const packet& value) const {
  return value.kind == packet_kind::answer &&
         std::find(unanswered_sequences_.begin(), unanswered_sequences_.end(),
                   value.sequence) != unanswered_sequences_.end();
}

void caller_flow::OnAnswer(time_point now, const packet& value) {
  const auto request = FindSequence(value.sequence);
  if (request == pending_.end()) {
    packet done = MakePacket(packet_kind::acknowledge);
    done.token = value.token;
    done.sequence = value.sequence;
    done.fragment = value.fragment + 1;
    if (EndedWithoutAnswer(value)) {
      done.code = result_code::answer_timeout;
    }
    effects_.Send(done);
    return;
  }
  if (!value.token || *value.token != *request->token) {
    return;
  }
  request->heard_at = now;
  request->has_progress = true;
  request->sends = 1;
  request->next_send = now + kConfirmedRetransmitDelay;
  const std::vector<std::string> ready =
      request->assembly.Add(value.fragment, value.last, value.payload);
  const bool is_feed = request->spec.work == work_kind::feed;
  for (const std::string& part : ready) {
    if (is_feed) {
      effects_.OnFeedMessage(request->spec.request_id, request->next_position++,
                             part);
    } else {
      request->answer += part;
    }
  }
  SendAcknowledge(*request);
  if (request->assembly.IsComplete()) {
    Finish(now, request, result_code::answered);
  }
}

void caller_flow::OnRefused(time_point now, const packet& value) {
  if (value.code == result_code::flow_gone) {
    if (token_ && token_->serial == value.position &&
        state_ == caller_state::open) {
      StartResume(now, result_code::resumed_for_silence);
    }
    return;
  }
  if (!value.token) {
    OnOpenRefused(now, value);
    return;
  }
  const auto request = FindSequence(value.sequence);
  if (request != pending_.end() && *request->token == *value.token) {
    OnRequestRefused(now, request, value);
  }
}

void caller_flow::OnOpenRefused(time_point now, const packet& value) {
  const bool awaiting_token =
      state_ == caller_state::opening || state_ == caller_state::resuming;
  if (awaiting_token) {
    search_.OnRefused(now, value.attempt, value.code,
                      jitter_.ApplyJitter(value.time));
  }
}

bool caller_flow::MayRetry(time_point now,
                           const pending_request& request) const {
  const bool tries_left =
      request.RetriesUntilDeadline() || request.tries < kMaxTries;
  return !request.cancelling && tries_left && request.deadline > now;
}

void caller_flow::OnRequestRefused(time_point now,
                                   pending_list::iterator request,
                                   const packet& value) {
  const outcome_kind outcome = OutcomeOf(value.code);
  const bool repeatable =
      outcome == outcome_kind::not_run || request->IsRepeatable();
  request->in_doubt |= outcome != outcome_kind::not_run;
  const bool final_code = value.code == result_code::cancelled ||
                          value.code == result_code::deadline_passed;
  if (!repeatable || final_code || !MayRetry(now, *request)) {
    Finish(now, request, value.code);
    return;
  }
  const flow_token refused_by = *request->token;
  if (IsPlannedMigration(value.code)) {
    --request->tries;
  } else {
    // Uploads and feeds wait first and consume a retry when they are sent
    // again.
    if (!request->RetriesUntilDeadline() && !budget_.TryConsumeRetry()) {
      Finish(now, request,
             outcome == outcome_kind::not_run ? result_code::retry_budget_spent
                                              : value.code);
      return;
    }
    if (!request->RetriesUntilDeadline()) {
      counters_.Add(result_code::retried_after_refusal);
    }
  }
  request->ResetForResend(now);
  if (!IsPlannedMigration(value.code)) {
    request->needs_retry_budget = request->RetriesUntilDeadline();
    request->wait = jitter_.ApplyJitter(request->RetryWait(value.time));
    request->next_send = now + request->wait;
  }
  if (state_ == caller_state::open && token_ && *token_ == refused_by) {
    StartResume(now, IsPlannedMigration(value.code)
                         ? result_code::resumed_for_drain
                         : result_code::retried_after_refusal);
  }
}

void caller_flow::StartResume(time_point now, result_code reason) {
  if (reason != result_code::retried_after_refusal) {
    counters_.Add(reason);
  }
  state_ = caller_state::resuming;
  search_.Begin(now, reason);
  SendOpen(now);
}

void caller_flow::SendDueVerdicts(time_point now) {
  verdict_queue_.SendDue(now, jitter_,
                         [this](std::uint64_t request_id, result_code code) {
                           packet value = MakePacket(packet_kind::verdict);
                           value.request_id = request_id;
                           value.code = code;
                           effects_.Send(value);
                         });
}

void caller_flow::Tick(time_point now) {
  SendDueVerdicts(now);
  if (state_ == caller_state::closed || state_ == caller_state::broken) {
    return;
  }
  if (state_ != caller_state::open) {
    TickTargetSearch(now);
  }
  bool is_unresponsive = false;
  for (auto request = pending_.begin(); request != pending_.end();) {
    const auto current = request++;
    is_unresponsive = is_unresponsive || IsUnresponsive(now, *current);
    if (now >= current->deadline) {
      TickDeadline(now, current);
    } else {
      TickRequest(now, current);
    }
    if (state_ == caller_state::closed) {
      return;
    }
  }
  if (state_ != caller_state::open) {
    return;
  }
  if (is_unresponsive) {
    StartResume(now, result_code::resumed_for_silence);
    return;
  }
  SendUnsent(now);
  if (now >= next_ping_) {
    next_ping_ = now + kPingPeriod;
    effects_.Send(MakePacket(packet_kind::ping));
  }
}

bool caller_flow::IsUnresponsive(time_point now,
                                 const pending_request& request) const {
  return request.token && token_ && *request.token == *token_ &&
         request.sends >= kUnresponsiveSends &&
         now - request.heard_at >= kUnresponsiveTimeout &&
         now - last_received_at_ >= kUnresponsiveTimeout;
}

void caller_flow::TickTargetSearch(time_point now) {
  if (search_.HasTimedOut(now)) {
    FailFlow(now);
  } else if (search_.IsDue(now)) {
    SendOpen(now);
  }
}

void caller_flow::TickRequest(time_point now, pending_list::iterator request) {
  if (!request->token || now < request->next_send) {
    return;
  }
  const bool sent_to_other_agent = !token_ || *request->token != *token_;
  const bool repeatable =
      request->spec.idempotent || request->spec.work != work_kind::request;
  if (sent_to_other_agent && repeatable &&
      now - request->heard_at >= kUnresponsiveTimeout) {
    request->in_doubt = true;
    request->ResetForResend(now);
    return;
  }
  SendRequest(now, *request);
}

void caller_flow::TickDeadline(time_point now, pending_list::iterator request) {
  if (!request->token) {
    const bool refused = state_ != caller_state::open;
    Finish(now, request,
           refused ? search_.RefusalCode() : result_code::deadline_passed);
    return;
  }
  if (!request->cancelling) {
    request->cancelling = true;
    request->sends = 0;
    request->has_progress = false;
    request->give_up_at = now + kCancelTimeout;
    SendRequest(now, *request);
    return;
  }
  if (now >= request->give_up_at) {
    Finish(now, request, result_code::answer_timeout);
  } else if (now >= request->next_send) {
    SendRequest(now, *request);
  }
}

void caller_flow::FailFlow(time_point now) {
  const bool had_token = token_.has_value();
  const result_code refusal = search_.RefusalCode();
  state_ = caller_state::broken;
  pending_list failed;
  failed.swap(pending_);
  while (!failed.empty()) {
    pending_.splice(pending_.begin(), failed, failed.begin());
    const auto request = pending_.begin();
    Finish(now, request, request->token ? result_code::target_lost : refusal);
  }
  if (had_token) {
    verdict_queue_.Add(now, 0, result_code::resume_failed);
    effects_.OnBroken(result_code::resume_failed);
  }
}

void caller_flow::Finish(time_point now,
                         pending_list::iterator request,
                         result_code code) {
  if (request->in_doubt && OutcomeOf(code) == outcome_kind::not_run) {
    code = result_code::backend_lost;
  }
  request_outcome outcome;
  outcome.request_id = request->spec.request_id;
  outcome.outcome = OutcomeOf(code);
  outcome.code = code;
  outcome.answer = std::move(request->answer);
  outcome.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      now - request->submitted_at);
  outcome.target = request->token ? request->token->target : target_id{};
  if (code != result_code::answered && request->token) {
    unanswered_sequences_.push_back(request->sequence);
    if (unanswered_sequences_.size() > kWindowSize) {
      unanswered_sequences_.pop_front();
    }
  }
  pending_.erase(request);
  if (code != result_code::answered) {
    verdict_queue_.Add(now, outcome.request_id, code);
  }
  effects_.OnOutcome(outcome);
}

void caller_flow::Close() {
  if (state_ == caller_state::closed) {
    return;
  }
  if (token_) {
    effects_.Send(MakePacket(packet_kind::close));
  }
  state_ = caller_state::closed;
}

}  // namespace corianderplank
