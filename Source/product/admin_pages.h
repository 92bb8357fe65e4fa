/// @file
/// Contents of the admin port's pages.
#pragma once

#include <set>
#include <string>

#include "core/counters.h"
#include "core/document.h"
#include "product/event_ring.h"
#include "product/settings.h"

namespace corianderplank {

/// @param role the process's role.
/// @param name the process's name.
/// @param counted the counters.
/// @return the counters in Prometheus' text format.
std::string MetricsText(const std::string& role,
                        const std::string& name,
                        const counters& counted);

/// @param name the process's name.
/// @param counted the counters.
/// @return the counters that are not 0, as JSON.
std::string MetricsJson(const std::string& name, const counters& counted);

/// @param role the process's role.
/// @param settings the process's settings.
/// @param document the document in force, or null.
/// @param role_status the role's part, a JSON object.
/// @return the status as JSON.
std::string ProcessJson(const std::string& role,
                        const process_settings& settings,
                        const environment_document* document,
                        const std::string& role_status);

/// @param settings the process's settings.
/// @param events the events.
/// @param after number of the last event that the reader knows.
/// @return events and load intervals as JSON.
std::string EventsJson(const process_settings& settings,
                       const event_ring& events,
                       std::uint64_t after);

/// @param text endpoints, one a line.
/// @return the endpoints that are valid.
std::set<endpoint> ParseBlockList(const std::string& text);

}  // namespace corianderplank
