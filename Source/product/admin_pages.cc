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

namespace {

json CountersObject(const counters& counted) {
  json object = json::object();
  for (const result_code_entry& entry : ResultCodeTable()) {
    const std::uint64_t value = counted.Get(entry.code);
    if (value > 0) {
      object[std::string(entry.name)] = value;
    }
  }
  return object;
}

json IntervalsArray(const event_ring& events, std::int64_t after_second) {
  json array = json::array();
  for (const load_interval& item : events.Intervals()) {
    if (item.second > after_second) {
      array.push_back({{"second", item.second},
                       {"busy_slots", item.busy_slots},
                       {"slots", item.slots},
                       {"feeds", item.feeds},
                       {"flows", item.flows}});
    }
  }
  return array;
}

std::string ServiceName(const environment_document* document, service_id id) {
  const service* of =
      document == nullptr ? nullptr : FindService(*document, id);
  return of == nullptr ? std::to_string(id.value) : of->name;
}

json EventRow(const recorded_event& item,
              const environment_document* document) {
  json row;
  row["number"] = item.number;
  row["time_ms"] = item.time_ms;
  row["source"] = item.source == event_source::caller ? "caller" : "agent";
  row["service"] = ServiceName(document, item.service);
  row["flow"] = item.event.flow.value;
  row["request_id"] = item.event.request_id;
  row["code"] = static_cast<int>(item.event.code);
  row["reason"] = ResultCodeName(item.event.code);
  row["outcome"] = OutcomeName(OutcomeOf(item.event.code));
  return row;
}

}  // namespace

std::string CountersJson(const counters& counted) {
  return CountersObject(counted).dump();
}

std::string IntervalsJson(const event_ring& events, std::int64_t after_second) {
  return IntervalsArray(events, after_second).dump();
}

std::string MetricsJson(const std::string& name, const counters& counted) {
  json page;
  page["process"] = name;
  page["counters"] = CountersObject(counted);
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

std::string EventsJson(const events_page& shown, std::uint64_t after) {
  json page;
  page["process"] = shown.settings.name;
  page["role"] = shown.role;
  page["service"] = shown.settings.service;
  page["failure_domain"] = shown.settings.failure_domain;
  page["started_ms"] = shown.started_ms;
  page["revision"] =
      shown.document == nullptr ? 0 : shown.document->revision.value;
  page["dropped"] = shown.events->Dropped();
  page["counters"] = CountersObject(*shown.counted);
  page["verdicts"] = CountersObject(*shown.verdicts);
  page["intervals"] = IntervalsArray(*shown.events, 0);
  page["events"] = json::array();
  for (const recorded_event& item : shown.events->EventsAfter(after)) {
    page["events"].push_back(EventRow(item, shown.document));
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
