#include "core/result_code.h"

#include <algorithm>

namespace corianderplank {
namespace {

constexpr result_code_entry kTable[] = {
    {result_code::answered, outcome_kind::answered, "answered",
     "The whole answer arrived."},
    {result_code::draining, outcome_kind::not_run, "draining",
     "The target is leaving and starts no new work."},
    {result_code::overloaded, outcome_kind::not_run, "overloaded",
     "The target's queue is full."},
    {result_code::deadline_passed, outcome_kind::not_run, "deadline_passed",
     "The deadline passed before the request started."},
    {result_code::cancelled, outcome_kind::not_run, "cancelled",
     "The caller cancelled the request before it started."},
    {result_code::connection_limit, outcome_kind::not_run, "connection_limit",
     "The target holds as many flows as its document allows."},
    {result_code::shed_by_backend, outcome_kind::not_run, "shed_by_backend",
     "The backend server refused the request before running it."},
    {result_code::backend_unreachable, outcome_kind::not_run,
     "backend_unreachable",
     "No connection to the backend server could be made."},
    {result_code::fenced, outcome_kind::not_run, "fenced",
     "The flow continues at another target; the request did not start here."},
    {result_code::no_target, outcome_kind::not_run, "no_target",
     "No target of the service can take the flow."},
    {result_code::open_timeout, outcome_kind::not_run, "open_timeout",
     "No target accepted the flow in time; the request was never sent."},
    {result_code::retry_budget_spent, outcome_kind::not_run,
     "retry_budget_spent",
     "The request was refused and the retry budget allows no further try."},
    {result_code::displaced, outcome_kind::not_run, "displaced",
     "Work of a weightier class took the request's place in the queue."},
    {result_code::backend_lost, outcome_kind::outcome_unknown, "backend_lost",
     "The connection to the backend server broke while the request ran."},
    {result_code::answer_timeout, outcome_kind::outcome_unknown,
     "answer_timeout", "No answer came before the deadline."},
    {result_code::target_lost, outcome_kind::outcome_unknown, "target_lost",
     "The target is gone and could not say whether the request ran."},
    {result_code::flow_gone, outcome_kind::outcome_unknown, "flow_gone",
     "The target no longer knows the flow."},
    {result_code::cancelled_while_running, outcome_kind::outcome_unknown,
     "cancelled_while_running",
     "The request was cancelled after it had started."},
    {result_code::resume_failed, outcome_kind::broken, "resume_failed",
     "The flow could not be continued at any target in time."},
    {result_code::flow_expired, outcome_kind::broken, "flow_expired",
     "The caller was silent for longer than the flow's lease."},
    {result_code::malformed, outcome_kind::dropped, "malformed",
     "The datagram could not be decoded."},
    {result_code::wrong_version, outcome_kind::dropped, "wrong_version",
     "The datagram has another protocol version."},
    {result_code::oversized, outcome_kind::dropped, "oversized",
     "The datagram is larger than the protocol allows."},
    {result_code::wrong_service, outcome_kind::dropped, "wrong_service",
     "The datagram names another service than the one it reached."},
    {result_code::unknown_target, outcome_kind::dropped, "unknown_target",
     "The token names a target that is not one of the service's."},
    {result_code::bad_token, outcome_kind::dropped, "bad_token",
     "The token's authentication code does not match."},
    {result_code::stale_incarnation, outcome_kind::dropped, "stale_incarnation",
     "The token was issued by an earlier process of the agent."},
    {result_code::below_window, outcome_kind::dropped, "below_window",
     "The sequence number was finished earlier."},
    {result_code::above_window, outcome_kind::dropped, "above_window",
     "The sequence number is too far ahead."},
    {result_code::reply_too_large, outcome_kind::dropped, "reply_too_large",
     "The refusal would have been larger than the datagram it answers."},
    {result_code::unknown_flow, outcome_kind::dropped, "unknown_flow",
     "The flow is not in the table."},
    {result_code::unexpected_kind, outcome_kind::dropped, "unexpected_kind",
     "The datagram is of a kind that its receiver does not take."},
    {result_code::duplicate_request, outcome_kind::dropped, "duplicate_request",
     "The request was received before."},
    {result_code::send_failed, outcome_kind::dropped, "send_failed",
     "The operating system did not take the datagram."},
    {result_code::unknown_service, outcome_kind::dropped, "unknown_service",
     "The service is not in the document in force."},
    {result_code::stale_datagram, outcome_kind::dropped, "stale_datagram",
     "The datagram had arrived long before the process woke up."},
    {result_code::malformed_message, outcome_kind::dropped, "malformed_message",
     "A message of another process of the system could not be decoded."},
    {result_code::open_repeated, outcome_kind::retried, "open_repeated",
     "An open was sent again for want of an answer."},
    {result_code::request_repeated, outcome_kind::retried, "request_repeated",
     "A request was sent again for want of an answer."},
    {result_code::answer_repeated, outcome_kind::retried, "answer_repeated",
     "A fragment was sent again for want of an acknowledgement."},
    {result_code::redirected_for_load, outcome_kind::retried,
     "redirected_for_load", "An open was passed on to a less loaded sibling."},
    {result_code::redirected_for_drain, outcome_kind::retried,
     "redirected_for_drain",
     "An open was passed on because the target is leaving."},
    {result_code::resumed_for_drain, outcome_kind::retried, "resumed_for_drain",
     "A flow moved because its target is leaving."},
    {result_code::resumed_for_silence, outcome_kind::retried,
     "resumed_for_silence", "A flow moved because its target was silent."},
    {result_code::retried_after_refusal, outcome_kind::retried,
     "retried_after_refusal",
     "A request that was not run was sent to another target."},
    {result_code::target_ejected, outcome_kind::retried, "target_ejected",
     "A target that left opens unanswered gets no opens for a while."},
    {result_code::target_readmitted, outcome_kind::retried, "target_readmitted",
     "An ejected target gets opens again."},
    {result_code::backend_retried, outcome_kind::retried, "backend_retried",
     "Idempotent work was sent to the backend server again."},
    {result_code::lower_revision, outcome_kind::document, "lower_revision",
     "The document is older than the one in force."},
    {result_code::same_revision_differs, outcome_kind::document,
     "same_revision_differs",
     "The document has the revision in force but other contents."},
    {result_code::other_environment, outcome_kind::document,
     "other_environment", "The document is for another environment."},
    {result_code::invalid_document, outcome_kind::document, "invalid_document",
     "The document does not pass its checks."},
    {result_code::platform_refused, outcome_kind::document, "platform_refused",
     "The platform refused a call."},
    {result_code::platform_unreachable, outcome_kind::document,
     "platform_unreachable", "The platform did not answer a call."},
    {result_code::single_source, outcome_kind::document, "single_source",
     "The process began to serve with a document from a single source."},
    {result_code::unknown_peer, outcome_kind::document, "unknown_peer",
     "A process that no list names offered a document or reported a load."},
    {result_code::flow_placed, outcome_kind::placement, "flow_placed",
     "An entry sent a flow's opening packet to a target."},
    {result_code::opening_copied, outcome_kind::placement, "opening_copied",
     "A client's copy of an opening packet was sent on."},
    {result_code::opening_moved_for_silence, outcome_kind::placement,
     "opening_moved_for_silence",
     "A target did not answer an opening packet in time; the next one got it."},
    {result_code::opening_moved_for_refusal, outcome_kind::placement,
     "opening_moved_for_refusal",
     "A target gave an opening packet back; the next one got it."},
    {result_code::search_started, outcome_kind::placement, "search_started",
     "An entry does not know which target holds a flow and asks."},
    {result_code::search_widened, outcome_kind::placement, "search_widened",
     "The next targets were asked for a flow."},
    {result_code::search_found, outcome_kind::placement, "search_found",
     "A target reported that it holds the flow."},
    {result_code::search_repeated, outcome_kind::placement, "search_repeated",
     "Targets that had not answered were asked again."},
    {result_code::holder_denied, outcome_kind::placement, "holder_denied",
     "A target does not hold a flow that it was asked for."},
    {result_code::reset_no_route, outcome_kind::placement, "reset_no_route",
     "A flow was opened at an address that has no route."},
    {result_code::reset_route_dropped, outcome_kind::placement,
     "reset_route_dropped", "A configuration dropped the flow's route."},
    {result_code::reset_no_target, outcome_kind::placement, "reset_no_target",
     "Every target that takes flows refused the flow, or there is none."},
    {result_code::reset_no_holder, outcome_kind::placement, "reset_no_holder",
     "Every target that could hold the flow denied it."},
    {result_code::dropped_no_configuration, outcome_kind::dropped,
     "dropped_no_configuration", "The process has no configuration yet."},
    {result_code::dropped_after_sleep, outcome_kind::dropped,
     "dropped_after_sleep",
     "The process was suspended and its fleet snapshot is not confirmed yet."},
    {result_code::dropped_no_route, outcome_kind::dropped, "dropped_no_route",
     "The address has no route in a fleet snapshot that may be outdated."},
    {result_code::dropped_no_target, outcome_kind::dropped, "dropped_no_target",
     "The service has no target in a fleet snapshot that may be outdated."},
    {result_code::dropped_unfound, outcome_kind::dropped, "dropped_unfound",
     "No target reported that it holds the flow, and one may."},
    {result_code::delivery_wrong_service, outcome_kind::dropped,
     "delivery_wrong_service",
     "An entry took an agent's target for another service's."},
    {result_code::returned_opening, outcome_kind::placement, "returned_opening",
     "A target gave back a packet that opens a flow."},
    {result_code::returned_packet, outcome_kind::placement, "returned_packet",
     "A target gave back a packet of a flow that it does not hold."},
    {result_code::flow_evicted, outcome_kind::placement, "flow_evicted",
     "A flow's record made room for another; it can be found again."},
    {result_code::history_lost, outcome_kind::placement, "history_lost",
     "The platform does not have the changes since the last read any more."},
    {result_code::read_failed, outcome_kind::placement, "read_failed",
     "A read of the platform ended without an answer or was refused."},
    {result_code::unreadable_entry, outcome_kind::placement, "unreadable_entry",
     "An entry of the platform's list names no target."},
    {result_code::opening_after_leave, outcome_kind::placement,
     "opening_after_leave",
     "An agent refused a new flow since its target or itself is leaving."},
    {result_code::request_held, outcome_kind::placement, "request_held",
     "A request waited at its agent since its target's slots were taken."},
    {result_code::reset_withheld, outcome_kind::placement, "reset_withheld",
     "A target that was asked around reset a flow that may be open elsewhere."},
    {result_code::opening_while_busy, outcome_kind::placement,
     "opening_while_busy",
     "An agent whose target has no free slot sent a new flow on."},
    {result_code::opening_moved_for_load, outcome_kind::placement,
     "opening_moved_for_load",
     "A target had no free slot for a new flow; the next one was asked."},
    {result_code::census_begun, outcome_kind::placement, "census_begun",
     "Many flows are searched for; all agents were asked for their lists."},
    {result_code::target_ended, outcome_kind::placement, "target_ended",
     "An agent reported that its target has ended, with all its flows."},
    {result_code::target_silent, outcome_kind::placement, "target_silent",
     "A target answered nothing; its agent looked whether it still listens."},
    {result_code::reset_target_ended, outcome_kind::placement,
     "reset_target_ended",
     "An agent found that its target has ended and reset the client's open "
     "flow."},
    {result_code::request_cut_by_target, outcome_kind::placement,
     "request_cut_by_target",
     "A target reset a flow after data and before any answer."},
    {result_code::opening_while_failing, outcome_kind::placement,
     "opening_while_failing",
     "An agent refused a new flow since its target fails its requests."},
    {result_code::request_held_while_failing, outcome_kind::placement,
     "request_held_while_failing",
     "A request that must not be repeated waited since its target fails."},
    {result_code::source_restored, outcome_kind::placement, "source_restored",
     "The platform was restored from an older copy; revisions were assigned "
     "again."},
    {result_code::outdated_read, outcome_kind::placement, "outdated_read",
     "A read of the platform was dropped since it precedes the known state."},
    {result_code::changes_too_large, outcome_kind::placement,
     "changes_too_large",
     "The changes since the last read are too large; the list was read "
     "instead."},
    {result_code::handover_received, outcome_kind::placement,
     "handover_received",
     "A restarted agent got the flows of the agent that ran in its place "
     "before."},
    {result_code::handover_missing, outcome_kind::placement, "handover_missing",
     "A restarted agent got no flows of an earlier agent; it asks its target."},
    {result_code::opening_while_evacuated, outcome_kind::placement,
     "opening_while_evacuated",
     "An agent refused a new flow since its failure domain is evacuated."},
    {result_code::opening_while_cold, outcome_kind::placement,
     "opening_while_cold",
     "An agent refused a new flow since its target is cold and had as many as "
     "it bears."},
    {result_code::evacuation_began, outcome_kind::placement, "evacuation_began",
     "A failure domain is evacuated: its targets get no new flows."},
    {result_code::evacuation_ended, outcome_kind::placement, "evacuation_ended",
     "The evacuation of a failure domain has ended."},
    {result_code::reset_link_full, outcome_kind::placement, "reset_link_full",
     "The entry's link cannot carry a new flow in time; the client got a "
     "reset."},
    {result_code::packet_paced, outcome_kind::placement, "packet_paced",
     "A packet of a bulk transfer waited for others on the entry's link."},
    {result_code::packet_dropped_for_link, outcome_kind::placement,
     "packet_dropped_for_link",
     "A packet was dropped since the entry's link could not carry it in time."},
    {result_code::target_suspected, outcome_kind::placement, "target_suspected",
     "A target's answers differ from those of its peers; it gets no new flows "
     "for a while."},
    {result_code::suspect_cleared, outcome_kind::placement, "suspect_cleared",
     "A suspected target answers like its peers again."},
    {result_code::pace_lowered, outcome_kind::placement, "pace_lowered",
     "A target slowed down; its agent forwards fewer requests at a time."},
    {result_code::pace_raised, outcome_kind::placement, "pace_raised",
     "A target's answers stay good; its agent forwards more requests at a "
     "time."},
    {result_code::reset_no_room, outcome_kind::placement, "reset_no_room",
     "No target could answer a new flow in time; the client got a reset."},
};

}  // namespace

std::span<const result_code_entry> ResultCodeTable() {
  return kTable;
}

const result_code_entry* FindResultCode(result_code code) {
  const auto* found =
      std::lower_bound(std::begin(kTable), std::end(kTable), code,
                       [](const result_code_entry& entry, result_code wanted) {
                         return entry.code < wanted;
                       });
  if (found == std::end(kTable) || found->code != code) {
    return nullptr;
  }
  return found;
}

std::string_view ResultCodeName(result_code code) {
  const result_code_entry* entry = FindResultCode(code);
  return entry == nullptr ? "unlisted" : entry->name;
}

std::string_view OutcomeName(outcome_kind outcome) {
  switch (outcome) {
    case outcome_kind::answered:
      return "answered";
    case outcome_kind::not_run:
      return "not_run";
    case outcome_kind::outcome_unknown:
      return "outcome_unknown";
    case outcome_kind::broken:
      return "broken";
    case outcome_kind::dropped:
      return "dropped";
    case outcome_kind::retried:
      return "retried";
    case outcome_kind::document:
      return "document";
    case outcome_kind::placement:
      return "placement";
  }
  return "unlisted";
}

outcome_kind OutcomeOf(result_code code) {
  const result_code_entry* entry = FindResultCode(code);
  return entry == nullptr ? outcome_kind::outcome_unknown : entry->outcome;
}

}  // namespace corianderplank
