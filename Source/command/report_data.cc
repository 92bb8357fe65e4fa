#include "command/report_data.h"

#include <algorithm>
#include <fstream>

#include <nlohmann/json.hpp>

namespace corianderplank {
namespace {

using json = nlohmann::json;

std::map<std::string, std::uint64_t> ReadCounters(const json& object) {
  std::map<std::string, std::uint64_t> counters;
  for (const auto& [name, value] : object.items()) {
    counters[name] = value.get<std::uint64_t>();
  }
  return counters;
}

std::int64_t NumberIn(const json& line, const char* key) {
  return std::stoll(line.value(key, std::string("0")));
}

void AddIntervals(const json& intervals,
                  const process_life& life,
                  std::vector<report_load>& loads) {
  for (const json& row : intervals) {
    report_load load;
    load.service = life.service;
    load.process = life.process;
    load.second = row.at("second").get<std::int64_t>();
    load.busy_slots = row.at("busy_slots").get<double>();
    load.slots = row.at("slots").get<std::uint32_t>();
    load.feeds = row.value("feeds", 0U);
    loads.push_back(load);
  }
}

}  // namespace

process_life& report_collector::LifeOf(const std::string& process) {
  const auto found = latest_.find(process);
  if (found != latest_.end()) {
    return data_.lives[found->second];
  }
  latest_[process] = data_.lives.size();
  data_.lives.emplace_back();
  data_.lives.back().process = process;
  return data_.lives.back();
}

bool report_collector::AddLog(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return false;
  }
  std::string line;
  while (std::getline(in, line)) {
    try {
      AddLogLine(line);
    } catch (const std::exception&) {
      // Output of another kind, or the cut last line of a killed process.
    }
  }
  return true;
}

void report_collector::AddLogLine(const std::string& text) {
  const json line = json::parse(text);
  const auto process = line.at("process").get<std::string>();
  const auto event = line.at("event").get<std::string>();
  if (event == "started") {
    latest_.erase(process);
  }
  process_life& life = LifeOf(process);
  life.last_told_ms = line.at("time_ms").get<std::int64_t>();
  if (event == "started") {
    life.role = line.value("role", std::string());
    life.service = line.value("service", std::string());
    life.failure_domain = line.value("failure_domain", std::string());
    life.started_ms = NumberIn(line, "started_ms");
  } else if (event == "stopped") {
    life.ended_well = true;
  } else if (event == "tally") {
    life.counters =
        ReadCounters(json::parse(line.at("counters").get<std::string>()));
    life.verdicts =
        ReadCounters(json::parse(line.at("verdicts").get<std::string>()));
    AddIntervals(json::parse(line.at("intervals").get<std::string>()), life,
                 data_.loads);
  } else if (event == "document_in_force") {
    data_.revisions.push_back(
        {life.last_told_ms, process,
         static_cast<std::uint64_t>(NumberIn(line, "revision")),
         line.value("source", std::string())});
  } else if (event == "outcome" || event == "verdict") {
    report_event ended;
    ended.time_ms = life.last_told_ms;
    ended.process = process;
    ended.service = line.value("service", life.service);
    ended.failure_domain = life.failure_domain;
    ended.source = event == "verdict" ? "caller" : "agent";
    ended.reason = line.at("reason").get<std::string>();
    ended.outcome = line.value("outcome", std::string("outcome_unknown"));
    ended.flow = std::stoull(line.at("flow").get<std::string>());
    ended.request_id = std::stoull(line.at("request_id").get<std::string>());
    data_.events.push_back(ended);
  }
}

void report_collector::AddLive(const endpoint& address,
                               const std::string* body) {
  if (body == nullptr) {
    data_.unreachable.push_back(FormatEndpoint(address));
    return;
  }
  const json page = json::parse(*body);
  const auto process = page.at("process").get<std::string>();
  const auto started = page.at("started_ms").get<std::int64_t>();
  process_life* known = nullptr;
  for (process_life& life : data_.lives) {
    if (life.process == process && life.started_ms == started) {
      known = &life;
    }
  }
  if (known == nullptr) {
    data_.lives.emplace_back();
    known = &data_.lives.back();
    known->process = process;
    known->started_ms = started;
  }
  known->live = true;
  known->role = page.at("role").get<std::string>();
  known->service = page.value("service", std::string());
  known->failure_domain = page.value("failure_domain", std::string());
  known->dropped_events = page.at("dropped").get<std::uint64_t>();
  known->counters = ReadCounters(page.at("counters"));
  known->verdicts = ReadCounters(page.at("verdicts"));
  // The process reports what its log has of this life, and more.
  std::erase_if(data_.events, [&](const report_event& event) {
    return event.process == process && event.time_ms >= started;
  });
  std::erase_if(data_.loads, [&](const report_load& load) {
    return load.process == process && load.second * 1000 >= started;
  });
  AddIntervals(page.at("intervals"), *known, data_.loads);
  for (const json& row : page.at("events")) {
    report_event event;
    event.time_ms = row.at("time_ms").get<std::int64_t>();
    event.process = process;
    event.service = row.at("service").get<std::string>();
    event.failure_domain = known->failure_domain;
    event.source = row.at("source").get<std::string>();
    event.outcome = row.at("outcome").get<std::string>();
    event.reason = row.at("reason").get<std::string>();
    event.flow = row.at("flow").get<std::uint64_t>();
    event.request_id = row.at("request_id").get<std::uint64_t>();
    data_.events.push_back(event);
  }
}

void report_collector::FindGaps() {
  for (const process_life& life : data_.lives) {
    if (life.live || life.ended_well) {
      continue;
    }
    report_gap gap{life.process, life.last_told_ms, 0};
    for (const process_life& next : data_.lives) {
      const bool later =
          next.process == life.process && next.started_ms > life.started_ms;
      if (later && (gap.to_ms == 0 || next.started_ms < gap.to_ms)) {
        gap.to_ms = next.started_ms;
      }
    }
    data_.gaps.push_back(gap);
  }
}

report_data report_collector::Take() {
  FindGaps();
  std::sort(data_.events.begin(), data_.events.end(),
            [](const report_event& left, const report_event& right) {
              return left.time_ms < right.time_ms;
            });
  return std::move(data_);
}

}  // namespace corianderplank
