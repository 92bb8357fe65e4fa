#include "packet/fleet_state_log.h"

#include <cstddef>

#include "product/log.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Maximum number of changes that are logged one line each: as many as occur
/// within a second while a tenth of the largest fleet is released.
constexpr std::size_t kMaxLoggedChanges = 48;

std::string StateName(const fleet_target& target) {
  if (target.removed) {
    return "gone";
  }
  return target.state == target_state::ready ? "ready" : "draining";
}

}  // namespace

std::string FormatRevision(const source_revision& revision) {
  const std::string number = std::to_string(revision.number);
  return revision.epoch == 0 ? number
                             : std::to_string(revision.epoch) + ":" + number;
}

void LogTargetChanges(time_point now, fleet_state& fleet) {
  const std::vector<fleet_target> changes = fleet.CollectChanges();
  const std::string age = std::to_string((now - fleet.ConfirmedAt()) / 1ms);
  if (changes.size() > kMaxLoggedChanges) {
    LogEvent(log_level::info, "targets_changed",
             {{"targets", std::to_string(changes.size())},
              {"revision", FormatRevision(fleet.Revision())},
              {"picture_age_ms", age}});
    return;
  }
  for (const fleet_target& target : changes) {
    LogEvent(log_level::info, "target_changed",
             {{"target", FormatEndpoint(target.address)},
              {"state", StateName(target)},
              {"revision", FormatRevision(target.revision)},
              {"picture_age_ms", age}});
  }
}

void LogConfiguration(const fleet_configuration& configuration,
                      const std::string& origin) {
  LogEvent(log_level::info, "configuration_in_force",
           {{"version", std::to_string(configuration.version)},
            {"revision", FormatRevision(configuration.revision)},
            {"source", origin}});
}

void LogEvacuation(const domain_evacuation& row,
                   const std::string& own_failure_domain,
                   const std::string& origin,
                   std::optional<std::chrono::milliseconds> age) {
  const bool is_own = HashName(own_failure_domain) == row.failure_domain;
  LogEvent(log_level::info,
           row.evacuated ? "evacuation_began" : "evacuation_ended",
           {{"failure_domain",
             is_own ? own_failure_domain : std::to_string(row.failure_domain)},
            {"revision", FormatRevision(row.revision)},
            {"source", origin},
            {"picture_age_ms", age ? std::to_string(age->count()) : ""}});
}

void LogEndedTargets(const std::vector<ended_target>& ended,
                     const std::string& origin) {
  for (const ended_target& target : ended) {
    LogEvent(log_level::info, "target_ended",
             {{"machine", FormatEndpoint({target.machine, 0})},
              {"revision", FormatRevision(target.revision)},
              {"source", origin}});
  }
}

}  // namespace corianderplank
