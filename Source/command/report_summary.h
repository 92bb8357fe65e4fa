/// @file
/// The answer to the analyst: what broke, what was refused, how uneven it was.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "command/report_data.h"

namespace corianderplank {

/// A refusal, retry or unknown outcome, counted by where and why.
struct reason_count {
  std::string service;
  std::string failure_domain;
  std::string reason;
  std::uint64_t count = 0;
};

/// Unevenness of one service.
struct imbalance_summary {
  std::string service;
  double mean = 0;
  double high = 0;  ///< 99th percentile.
  /// Mean over the seconds of highest over mean of the open feeds; 0 if none.
  double feeds_mean = 0;
  /// Highest over mean of the busy share, by second since 1970.
  std::map<std::int64_t, double> by_second;
};

/// The summary of a time range.
struct report_summary {
  std::int64_t since_ms = 0;
  std::int64_t until_ms = 0;
  std::uint64_t answered = 0;
  /// Ends that callers reported, by outcome; each piece of work counts once.
  std::map<std::string, std::uint64_t> outcomes;
  /// Those that were not not_run, one by one.
  std::vector<report_event> broken_or_unknown;
  std::vector<reason_count> refusals;
  /// Retries, redirects and moves by reason, of all processes.
  std::map<std::string, std::uint64_t> retries;
  std::vector<imbalance_summary> imbalance;
  std::vector<report_revision> revisions;
  std::vector<report_gap> gaps;
  std::vector<std::string> unreachable;
  std::uint64_t dropped_events = 0;
  /// Refusals a second by reason.
  std::map<std::string, std::map<std::int64_t, std::uint64_t>> refusal_seconds;
};

/// @param data what was collected.
/// @param since_ms start of the range, 0 for the first that is known.
/// @param until_ms end of the range, 0 for the last that is known.
/// @return the summary.
report_summary Summarise(const report_data& data,
                         std::int64_t since_ms,
                         std::int64_t until_ms);

/// @param summary a summary.
/// @return it as text.
std::string ReportText(const report_summary& summary);

/// @param summary a summary.
/// @return it as JSON.
std::string ReportJson(const report_summary& summary);

/// @param summary a summary.
/// @return it as one HTML page that needs nothing else.
std::string ReportHtml(const report_summary& summary);

}  // namespace corianderplank
