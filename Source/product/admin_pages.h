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

/// What the page of events is made of.
struct events_page {
  std::string role;
  process_settings settings;
  std::int64_t started_ms = 0;  ///< When the process started, since 1970.
  const event_ring* events = nullptr;
  const counters* counted = nullptr;
  const counters* verdicts = nullptr;
  const environment_document* document = nullptr;
};

/// @param page what to show.
/// @param after number of the last event that the reader knows.
/// @return events, load intervals and counters as JSON.
std::string EventsJson(const events_page& page, std::uint64_t after);

/// @param counted the counters.
/// @return the counters that are not 0, as a JSON object.
std::string CountersJson(const counters& counted);

/// @param events the events.
/// @param after_second the last second that is known already.
/// @return load intervals, a JSON array.
std::string IntervalsJson(const event_ring& events, std::int64_t after_second);

/// @param text endpoints, one a line.
/// @return the endpoints that are valid.
std::set<endpoint> ParseBlockList(const std::string& text);

}  // namespace corianderplank
