/// @file
/// Numbered result codes, the same on the wire, in logs, metrics and reports.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace corianderplank {

/// What a caller may conclude from a code.
enum class outcome_kind : std::uint8_t {
  answered,         ///< The whole answer arrived.
  not_run,          ///< The request was not run and never will be.
  outcome_unknown,  ///< The request may or may not have run.
  broken,           ///< The flow could not be continued.
  dropped,          ///< A datagram was discarded; no outcome follows.
  retried,          ///< Work was sent again or elsewhere; no outcome follows.
  document,         ///< An environment document was not taken.
  placement,        ///< A decision on the packet path; no outcome follows.
};

/// Result codes; docs/RESULT-CODES.md is generated from the table.
enum class result_code : std::uint16_t {
  answered = 0,
  draining = 101,
  overloaded = 102,
  deadline_passed = 103,
  cancelled = 104,
  connection_limit = 105,
  shed_by_backend = 106,
  backend_unreachable = 107,
  fenced = 108,
  no_target = 109,
  open_timeout = 110,
  retry_budget_spent = 111,
  displaced = 112,
  backend_lost = 201,
  answer_timeout = 202,
  target_lost = 203,
  flow_gone = 204,
  cancelled_while_running = 205,
  resume_failed = 301,
  flow_expired = 302,
  malformed = 401,
  wrong_version = 402,
  oversized = 403,
  wrong_service = 404,
  unknown_target = 405,
  bad_token = 406,
  stale_incarnation = 407,
  below_window = 408,
  above_window = 409,
  reply_too_large = 410,
  unknown_flow = 411,
  unexpected_kind = 412,
  duplicate_request = 413,
  send_failed = 414,
  unknown_service = 415,
  stale_datagram = 416,
  malformed_message = 417,
  open_repeated = 501,
  request_repeated = 502,
  answer_repeated = 503,
  redirected_for_load = 504,
  redirected_for_drain = 505,
  resumed_for_drain = 506,
  resumed_for_silence = 507,
  retried_after_refusal = 508,
  target_ejected = 509,
  target_readmitted = 510,
  backend_retried = 511,
  lower_revision = 601,
  same_revision_differs = 602,
  other_environment = 603,
  invalid_document = 604,
  platform_refused = 605,
  platform_unreachable = 606,
  single_source = 607,
  unknown_peer = 608,
  flow_placed = 701,
  opening_copied = 702,
  opening_moved_for_silence = 703,
  opening_moved_for_refusal = 704,
  search_started = 705,
  search_widened = 706,
  search_found = 707,
  search_repeated = 708,
  holder_denied = 709,
  reset_no_route = 710,
  reset_route_dropped = 711,
  reset_no_target = 712,
  reset_no_holder = 713,
  dropped_no_configuration = 714,
  dropped_after_sleep = 715,
  dropped_no_route = 716,
  dropped_no_target = 717,
  dropped_unfound = 718,
  delivery_wrong_service = 719,
  returned_opening = 720,
  returned_packet = 721,
  flow_evicted = 722,
  history_lost = 723,
  read_failed = 724,
  unreadable_entry = 725,
  opening_after_leave = 726,
  request_held = 727,
  reset_withheld = 728,
  opening_while_busy = 729,
  opening_moved_for_load = 730,
  census_begun = 731,
  target_ended = 732,
  target_silent = 733,
  reset_target_ended = 734,
  request_cut_by_target = 735,
  opening_while_failing = 736,
  request_held_while_failing = 737,
  source_restored = 738,
  outdated_read = 739,
  changes_too_large = 740,
  handover_received = 741,
  handover_missing = 742,
  opening_while_evacuated = 743,
  opening_while_cold = 744,
  evacuation_began = 745,
  evacuation_ended = 746,
  reset_link_full = 750,
  packet_paced = 751,
  packet_dropped_for_link = 752,
  target_suspected = 755,
  suspect_cleared = 756,
  pace_lowered = 760,
  pace_raised = 761,
  reset_no_room = 770,
};

/// One row of the table of codes.
struct result_code_entry {
  result_code code;
  outcome_kind outcome;
  std::string_view name;
  std::string_view meaning;
};

/// @return every code in the order of its number.
std::span<const result_code_entry> ResultCodeTable();

/// @param code a code, also one that a peer made up.
/// @return its row, or nullptr when the number is not in the table.
const result_code_entry* FindResultCode(result_code code);

/// @param code a code.
/// @return its name, or "unlisted".
std::string_view ResultCodeName(result_code code);

/// @param outcome an outcome.
/// @return its name as reports print it.
std::string_view OutcomeName(outcome_kind outcome);

/// @param code a code.
/// @return its outcome; outcome_unknown when the number is not in the table.
outcome_kind OutcomeOf(result_code code);

}  // namespace corianderplank
