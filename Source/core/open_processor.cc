#include "core/open_processor.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Maximum wait for the fence reply of the previous agent.
constexpr auto kFenceTimeout = 400ms;
/// Wait before the next open that a refusal suggests to the caller.
constexpr std::chrono::milliseconds kOpenRetryAfter = 200ms;
constexpr std::size_t kMaxPendingResumes = 10000;

}  // namespace

void open_processor::OnOpen(time_point now,
                            const envelope& header,
                            const packet& value) {
  flow_record* known = state_.flows.Find(value.flow);
  if (known != nullptr && ReplyForKnownFlow(header, value, *known)) {
    return;
  }
  // ReplyForKnownFlow may have removed the flow.
  known = state_.flows.Find(value.flow);
  if (ForwardOpen(now, header, value)) {
    return;
  }
  if (!state_.daemon_lifecycle.IsServing()) {
    RefuseOpen(header, value, result_code::draining);
    return;
  }
  if (known != nullptr) {
    // The flow moved to another agent, but its last answers are still kept
    // here.
    RefuseOpen(header, value, result_code::fenced);
    return;
  }
  if (state_.flows.Size() >= state_.settings.connections) {
    RefuseOpen(header, value, result_code::connection_limit);
    return;
  }
  if (value.token) {
    Resume(now, header, value);
    return;
  }
  Accept(now, header, value, {});
}

bool open_processor::ReplyForKnownFlow(const envelope& header,
                                       const packet& value,
                                       flow_record& known) {
  if (known.state == flow_state::fenced) {
    return false;
  }
  const bool has_current_token =
      value.token && *value.token == state_.TokenOf(known);
  // Both tokens of the second comparison are absent if the flow began here and
  // its first open is repeated.
  if (has_current_token || value.token == known.resumed_from) {
    known.caller = header.caller;
    known.entry = header.entry;
    known.heard_at = state_.lease_now;
    SendOpened(header, known, value.attempt);
    return true;
  }
  if (!value.token) {
    state_.counted.Add(result_code::duplicate_request);
    return true;  // A delayed copy of the first open of the flow.
  }
  // The flow has since been at another agent and returns with that agent's
  // token. A fence reply stored here is of the agent that the flow came from
  // before, and does not cover the requests that the other agent started.
  // Without requests the flow is removed, so that it can be resumed anew;
  // otherwise it is fenced.
  if (known.requests.empty()) {
    requests_.Abandon(known);
    state_.flows.Remove(value.flow);
  } else {
    requests_.Fence(known, known.base);
  }
  return false;
}

bool open_processor::ForwardOpen(time_point now,
                                 const envelope& header,
                                 const packet& value) {
  const auto free_position =
      std::find(header.visited.begin(), header.visited.end(), target_id{});
  if (free_position == header.visited.end()) {
    // An open is forwarded at most twice.
    return false;
  }
  const flow_record* known = state_.flows.Find(value.flow);
  const bool cannot_accept = !state_.daemon_lifecycle.IsServing() ||
                             known != nullptr ||
                             state_.flows.Size() >= state_.settings.connections;
  requests_.UpdateLoad(now);
  const std::uint32_t load_with_open =
      state_.load_permille + 1000 / std::max(1U, state_.settings.slots);
  std::array<target_id, 3> excluded{header.visited[0], header.visited[1],
                                    target_id{}};
  if (value.token) {
    // The caller is leaving this target.
    excluded[2] = value.token->target;
  }
  sibling* chosen_sibling =
      state_.siblings.Better(now, load_with_open, cannot_accept, excluded);
  if (chosen_sibling == nullptr) {
    return false;
  }
  envelope forwarded = header;
  forwarded.revision = state_.revision;
  forwarded.control_port = state_.identity.control_port;
  forwarded.visited[free_position - header.visited.begin()] =
      state_.identity.target;
  forwarded.target = chosen_sibling->id;
  state_.counted.Add(cannot_accept ? result_code::redirected_for_drain
                                   : result_code::redirected_for_load);
  state_.effects.SendEnvelope(chosen_sibling->agent, forwarded);
  return true;
}

void open_processor::Resume(time_point now,
                            const envelope& header,
                            const packet& value) {
  const auto known_resume = pending_resumes_.find(value.flow);
  if (known_resume != pending_resumes_.end() &&
      known_resume->second.open.token == value.token) {
    return;
  }
  const sibling* previous_agent = state_.siblings.Find(value.token->target);
  if (previous_agent == nullptr ||
      pending_resumes_.size() >= kMaxPendingResumes) {
    // The previous agent is an earlier process of this target, is not listed,
    // or too many resumptions are pending.
    Accept(now, header, value, {});
    return;
  }
  pending_resume& resume = pending_resumes_[value.flow];
  resume.id = next_resume_id_++;
  resume.fence_deadline = now + kFenceTimeout;
  resume.header = header;
  // Both are views of the datagram, which is not kept until the fence reply.
  resume.header.inner = {};
  resume.open = value;
  resume.open.payload = {};
  fence_request request;
  request.flow = value.flow;
  request.token = *value.token;
  request.oldest_sequence = value.oldest_sequence;
  state_.effects.RequestFence(resume.id, previous_agent->control, request);
}

void open_processor::OnFenceReply(time_point now,
                                  std::uint64_t resume_id,
                                  const fence_reply& reply) {
  const auto found = std::find_if(
      pending_resumes_.begin(), pending_resumes_.end(),
      [&](const auto& item) { return item.second.id == resume_id; });
  if (found == pending_resumes_.end()) {
    return;
  }
  const pending_resume resumed = found->second;
  pending_resumes_.erase(found);
  Accept(now, resumed.header, resumed.open, reply);
}

void open_processor::Tick(time_point now) {
  std::vector<pending_resume> expired_resumes;
  std::erase_if(pending_resumes_, [&](const auto& item) {
    const bool expired = item.second.fence_deadline <= now;
    if (expired) {
      expired_resumes.push_back(item.second);
    }
    return expired;
  });
  for (const pending_resume& resumed : expired_resumes) {
    Accept(now, resumed.header, resumed.open, {});
  }
}

void open_processor::Accept(time_point now,
                            const envelope& header,
                            const packet& value,
                            const fence_reply& fence) {
  if (!state_.daemon_lifecycle.IsServing()) {
    RefuseOpen(header, value, result_code::draining);
    return;
  }
  if (state_.flows.Find(value.flow) != nullptr) {
    return;  // Opened again while the fence request was pending.
  }
  flow_record& flow = state_.flows.Insert(value.flow);
  flow.caller = header.caller;
  flow.entry = header.entry;
  flow.heard_at = state_.lease_now;
  flow.base = value.sequence;
  flow.resumed_from = value.token;
  flow.resume_fenced = fence.found;
  flow.resume_started = fence.started;
  flow.resume_oldest = value.oldest_sequence;
  if (value.token) {
    // Not reserved: the requests of a resumed flow may wait for a retry longer
    // than the lease of a reservation.
    flow.state = flow_state::open;
  } else {
    ++state_.reserved;
  }
  requests_.UpdateLoad(now);
  if (value.token) {
    const bool move_requested = OutcomeOf(value.code) == outcome_kind::retried;
    const result_code reason =
        move_requested ? value.code : result_code::resumed_for_silence;
    state_.counted.Add(reason);
    state_.effects.RecordEvent({flow.id, 0, reason});
  }
  SendOpened(header, flow, value.attempt);
}

void open_processor::SendOpened(const envelope& header,
                                const flow_record& flow,
                                std::uint16_t attempt) {
  packet opened;
  opened.kind = packet_kind::opened;
  opened.attempt = attempt;
  opened.fenced = flow.resume_fenced;
  opened.selective = flow.resume_started;
  opened.oldest_sequence = flow.resume_oldest;
  opened.sequence = flow.base;
  opened.service = state_.identity.service;
  opened.flow = flow.id;
  opened.token = state_.TokenOf(flow);
  envelope reply = state_.Header();
  reply.caller = header.caller;
  reply.visited = header.visited;
  state_.effects.SendToCaller(header.entry, reply, opened);
}

void open_processor::RefuseOpen(const envelope& header,
                                const packet& value,
                                result_code code) {
  state_.counted.Add(code);
  state_.effects.RecordEvent({value.flow, 0, code});
  packet refusal;
  refusal.kind = packet_kind::refused;
  refusal.service = state_.identity.service;
  refusal.flow = value.flow;
  refusal.attempt = value.attempt;
  refusal.code = code;
  refusal.time = kOpenRetryAfter;
  envelope reply = state_.Header();
  reply.caller = header.caller;
  reply.visited = header.visited;
  state_.effects.SendToCaller(header.entry, reply, refusal);
}

fence_reply open_processor::OnFenceRequest(const fence_request& request) {
  fence_reply reply;
  const result_code checked = state_.tokens.Check(request.flow, request.token);
  if (checked != result_code::answered) {
    state_.counted.Add(checked);
    return reply;
  }
  flow_record* flow = state_.flows.Find(request.flow);
  if (flow == nullptr || flow->serial != request.token.serial) {
    state_.counted.Add(result_code::unknown_flow);
    return reply;
  }
  reply.found = true;
  reply.started = requests_.Fence(*flow, request.oldest_sequence);
  return reply;
}

}  // namespace corianderplank
