#include "packet/decision_log.h"

#include "product/log.h"

namespace corianderplank {
namespace {

/// Limit per result code and second: as many lines as a person can read, at
/// less than 1 % of a small machine's processor.
constexpr std::uint32_t kMaxLinesPerSecond = 10;

}  // namespace

decision_log::decision_log() : rate_limiter_(kMaxLinesPerSecond) {}

void decision_log::Write(time_point now, const flow_decision& decision) {
  if (!rate_limiter_.Allow(now, decision.code)) {
    return;
  }
  if (decision.link) {
    const link_load& link = *decision.link;
    LogEvent(log_level::info, ResultCodeName(decision.code),
             {{"client", FormatEndpoint(decision.flow.client)},
              {"service", FormatEndpoint(decision.flow.service)},
              {"transfers", std::to_string(link.transfers)},
              {"backlog_bytes", std::to_string(link.backlog_bytes)},
              {"expected_bytes", std::to_string(link.expected_bytes)},
              {"drain_ms", std::to_string(link.drain_time.count())}});
    return;
  }
  LogEvent(log_level::info, ResultCodeName(decision.code),
           {{"client", FormatEndpoint(decision.flow.client)},
            {"service", FormatEndpoint(decision.flow.service)},
            {"machine", FormatAddress(decision.machine)},
            {"version", std::to_string(decision.configuration_version)},
            {"picture_age_ms", std::to_string(decision.snapshot_age.count())}});
}

void decision_log::WriteOmitted() {
  for (const omitted_lines& omitted : rate_limiter_.TakeOmitted()) {
    LogEvent(log_level::info, "lines_omitted",
             {{"of", std::string(ResultCodeName(omitted.kind))},
              {"count", std::to_string(omitted.count)}});
  }
}

}  // namespace corianderplank
