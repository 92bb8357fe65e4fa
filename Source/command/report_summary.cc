#include "command/report_summary.h"

#include <algorithm>
#include <tuple>

#include "core/result_code.h"

namespace corianderplank {
namespace {

constexpr std::int64_t kMsPerSecond = 1000;
/// Mean busy share below which a second says nothing about balance.
constexpr double kIdleShare = 0.02;

outcome_kind OutcomeOfReason(const std::string& reason) {
  for (const result_code_entry& entry : ResultCodeTable()) {
    if (entry.name == reason) {
      return entry.outcome;
    }
  }
  return outcome_kind::dropped;
}

bool InRange(const report_summary& summary, std::int64_t time_ms) {
  return time_ms >= summary.since_ms &&
         (summary.until_ms == 0 || time_ms <= summary.until_ms);
}

void AddOutcomes(const report_data& data, report_summary& summary) {
  // A verdict that was repeated through several entries counts once.
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  for (const report_event& event : data.events) {
    if (event.source != "caller" || !InRange(summary, event.time_ms) ||
        !seen.emplace(event.flow, event.request_id).second) {
      continue;
    }
    ++summary.outcomes[event.outcome];
    if (event.outcome != "not_run") {
      summary.broken_or_unknown.push_back(event);
    }
  }
}

/// Ends that are known only from the log of a process without events.
void AddLoggedVerdicts(const report_data& data, report_summary& summary) {
  for (const process_life& life : data.lives) {
    if (life.live) {
      continue;
    }
    for (const auto& [reason, count] : life.verdicts) {
      const outcome_kind outcome = OutcomeOfReason(reason);
      if (outcome == outcome_kind::not_run) {
        summary.outcomes[std::string(OutcomeName(outcome))] += count;
      }
    }
  }
}

void AddRefusals(const report_data& data, report_summary& summary) {
  std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
      counts;
  for (const process_life& life : data.lives) {
    for (const auto& [reason, count] : life.counters) {
      const outcome_kind outcome = OutcomeOfReason(reason);
      if (outcome == outcome_kind::answered) {
        summary.answered += life.role == "agent" ? count : 0;
      } else if (outcome == outcome_kind::retried) {
        summary.retries[reason] += count;
      } else if (outcome != outcome_kind::document) {
        const std::string service =
            life.service.empty() ? "(" + life.role + ")" : life.service;
        counts[{service, life.failure_domain, reason}] += count;
      }
    }
  }
  for (const auto& [key, count] : counts) {
    const auto& [service, failure_domain, reason] = key;
    summary.refusals.push_back({service, failure_domain, reason, count});
  }
  for (const report_event& event : data.events) {
    if (event.source == "agent" && InRange(summary, event.time_ms)) {
      ++summary.refusal_seconds[event.reason][event.time_ms / kMsPerSecond];
    }
  }
}

/// @return highest over mean, 0 when the mean is 0.
double RatioOf(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  const double highest = *std::max_element(values.begin(), values.end());
  return sum <= 0 ? 0 : highest * static_cast<double>(values.size()) / sum;
}

/// Fewer feeds than targets say nothing about balance.
double FeedImbalance(const report_data& data,
                     const report_summary& summary,
                     const std::string& service) {
  std::map<std::int64_t, std::vector<double>> seconds;
  for (const report_load& load : data.loads) {
    if (load.service == service &&
        InRange(summary, load.second * kMsPerSecond)) {
      seconds[load.second].push_back(load.feeds);
    }
  }
  double total = 0;
  std::size_t counted = 0;
  for (const auto& [second, values] : seconds) {
    double feeds = 0;
    for (const double value : values) {
      feeds += value;
    }
    if (feeds >= static_cast<double>(values.size())) {
      total += RatioOf(values);
      ++counted;
    }
  }
  return counted == 0 ? 0 : total / static_cast<double>(counted);
}

void AddImbalance(const report_data& data, report_summary& summary) {
  std::map<std::string, std::map<std::int64_t, std::vector<double>>> shares;
  for (const report_load& load : data.loads) {
    if (load.slots > 0 && InRange(summary, load.second * kMsPerSecond)) {
      shares[load.service][load.second].push_back(load.busy_slots / load.slots);
    }
  }
  for (const auto& [service, seconds] : shares) {
    imbalance_summary item;
    item.service = service;
    std::vector<double> ratios;
    for (const auto& [second, values] : seconds) {
      double sum = 0;
      for (const double value : values) {
        sum += value;
      }
      if (sum < kIdleShare * static_cast<double>(values.size())) {
        continue;
      }
      const double ratio = RatioOf(values);
      item.by_second[second] = ratio;
      ratios.push_back(ratio);
      item.mean += ratio;
    }
    if (ratios.empty()) {
      continue;
    }
    std::sort(ratios.begin(), ratios.end());
    item.mean /= static_cast<double>(ratios.size());
    item.feeds_mean = FeedImbalance(data, summary, service);
    item.high = ratios[std::min(ratios.size() - 1, ratios.size() * 99 / 100)];
    summary.imbalance.push_back(std::move(item));
  }
}

}  // namespace

report_summary Summarise(const report_data& data,
                         std::int64_t since_ms,
                         std::int64_t until_ms) {
  report_summary summary;
  summary.since_ms = since_ms;
  summary.until_ms = until_ms;
  AddOutcomes(data, summary);
  AddLoggedVerdicts(data, summary);
  AddRefusals(data, summary);
  AddImbalance(data, summary);
  for (const report_revision& revision : data.revisions) {
    if (InRange(summary, revision.time_ms)) {
      summary.revisions.push_back(revision);
    }
  }
  summary.gaps = data.gaps;
  summary.unreachable = data.unreachable;
  for (const process_life& life : data.lives) {
    summary.dropped_events += life.dropped_events;
  }
  return summary;
}

}  // namespace corianderplank
