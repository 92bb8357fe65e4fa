#include "packet/decision_log.h"

#include "product/log.h"

namespace corianderplank {
namespace {

/// Lines of a kind and second: what an engineer can read, and less than a
/// hundredth of a small machine's processor.
constexpr std::uint32_t kLinesPerSecond = 10;

}  // namespace

decision_log::decision_log() : budget_(kLinesPerSecond) {}

void decision_log::Write(time_point now, const flow_decision& decision) {
  if (!budget_.Allow(now, decision.code)) {
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
  for (const omitted_lines& item : budget_.TakeOmitted()) {
    LogEvent(log_level::info, "lines_omitted",
             {{"of", std::string(ResultCodeName(item.kind))},
              {"count", std::to_string(item.count)}});
  }
}

}  // namespace corianderplank
