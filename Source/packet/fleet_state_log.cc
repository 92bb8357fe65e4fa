#include "packet/fleet_state_log.h"

#include <cstddef>

#include "product/log.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Targets whose changes are told in lines of their own: those that change
/// within a second of a release of a tenth of the largest fleet.
constexpr std::size_t kMaxLoggedChanges = 48;

std::string StateName(const fleet_target& item) {
  if (item.gone) {
    return "gone";
  }
  return item.state == target_state::ready ? "ready" : "draining";
}

}  // namespace

void LogTargetChanges(time_point now, fleet_belief& belief) {
  const std::vector<fleet_target> changes = belief.CollectChanges();
  const std::string age = std::to_string((now - belief.ConfirmedAt()) / 1ms);
  if (changes.size() > kMaxLoggedChanges) {
    LogEvent(log_level::info, "targets_changed",
             {{"targets", std::to_string(changes.size())},
              {"revision", std::to_string(belief.Revision())},
              {"picture_age_ms", age}});
    return;
  }
  for (const fleet_target& item : changes) {
    LogEvent(log_level::info, "target_changed",
             {{"target", FormatEndpoint(item.address)},
              {"state", StateName(item)},
              {"revision", std::to_string(item.revision)},
              {"picture_age_ms", age}});
  }
}

void LogConfiguration(const fleet_configuration& configuration,
                      const std::string& from) {
  LogEvent(log_level::info, "configuration_in_force",
           {{"version", std::to_string(configuration.version)},
            {"revision", std::to_string(configuration.revision)},
            {"source", from}});
}

void LogEndedTargets(const std::vector<ended_target>& ended,
                     const std::string& from) {
  for (const ended_target& fact : ended) {
    LogEvent(log_level::info, "target_ended",
             {{"machine", FormatEndpoint({fact.machine, 0})},
              {"revision", std::to_string(fact.revision)},
              {"source", from}});
  }
}

}  // namespace corianderplank
