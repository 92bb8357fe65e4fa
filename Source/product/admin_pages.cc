#include "product/admin_pages.h"

#include <sstream>

#include <nlohmann/json.hpp>

namespace corianderplank {

using json = nlohmann::ordered_json;

std::string MetricsText(const std::string& role,
                        const std::string& name,
                        const counters& counted) {
  std::ostringstream out;
  out << "# HELP corianderplank_results_total Results by code.\n"
         "# TYPE corianderplank_results_total counter\n";
  for (const result_code_entry& entry : ResultCodeTable()) {
    out << "corianderplank_results_total{role=\"" << role << "\",process=\""
        << name << "\",outcome=\"" << OutcomeName(entry.outcome)
        << "\",reason=\"" << entry.name << "\",code=\""
        << static_cast<int>(entry.code) << "\"} " << counted.Get(entry.code)
        << '\n';
  }
  return out.str();
}

std::string MetricsJson(const std::string& name, const counters& counted) {
  json page;
  page["process"] = name;
  page["counters"] = json::object();
  for (const result_code_entry& entry : ResultCodeTable()) {
    const std::uint64_t value = counted.Get(entry.code);
    if (value > 0) {
      page["counters"][std::string(entry.name)] = value;
    }
  }
  return page.dump();
}

std::string ProcessJson(const std::string& role,
                        const process_settings& settings,
                        const environment_document* document,
                        const std::string& role_status) {
  json page;
  page["process"] = settings.name;
  page["role"] = role;
  page["environment"] = settings.environment;
  page["failure_domain"] = settings.failure_domain;
  page["service"] = settings.service;
  page["revision"] = document == nullptr ? 0 : document->revision.value;
  page["checksum"] = document == nullptr ? 0 : document->checksum;
  page["role_status"] = json::parse(role_status);
  return page.dump();
}

std::string EventsJson(const process_settings& settings,
                       const event_ring& events,
                       std::uint64_t after) {
  json page;
  page["process"] = settings.name;
  page["service"] = settings.service;
  page["failure_domain"] = settings.failure_domain;
  page["dropped"] = events.Dropped();
  page["events"] = json::array();
  for (const recorded_event& item : events.EventsAfter(after)) {
    json row;
    row["number"] = item.number;
    row["time_ms"] = item.time_ms;
    row["flow"] = item.event.flow.value;
    row["request_id"] = item.event.request_id;
    row["code"] = static_cast<int>(item.event.code);
    row["reason"] = ResultCodeName(item.event.code);
    row["outcome"] = OutcomeName(OutcomeOf(item.event.code));
    page["events"].push_back(row);
  }
  page["intervals"] = json::array();
  for (const load_interval& item : events.Intervals()) {
    page["intervals"].push_back({{"second", item.second},
                                 {"busy_slots", item.busy_slots},
                                 {"slots", item.slots},
                                 {"feeds", item.feeds},
                                 {"flows", item.flows}});
  }
  return page.dump();
}

std::set<endpoint> ParseBlockList(const std::string& text) {
  std::set<endpoint> result;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    const endpoint parsed = ParseEndpoint(line);
    if (parsed.IsValid()) {
      result.insert(parsed);
    }
  }
  return result;
}

}  // namespace corianderplank
