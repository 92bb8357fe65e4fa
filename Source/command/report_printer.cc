#include <array>
#include <cmath>
#include <ctime>
#include <sstream>

#include <nlohmann/json.hpp>

#include "command/report_summary.h"

namespace corianderplank {
namespace {

using json = nlohmann::ordered_json;

constexpr std::array kOutcomes = {"answered", "not_run", "outcome_unknown",
                                  "broken"};

std::string TimeText(std::int64_t time_ms) {
  const std::time_t seconds = time_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%S", &parts);
  char result[48];
  std::snprintf(result, sizeof(result), "%s.%03d", text,
                static_cast<int>(time_ms % 1000));
  return result;
}

std::uint64_t CountOf(const report_summary& summary,
                      const std::string& outcome) {
  if (outcome == "answered") {
    return summary.answered;
  }
  const auto found = summary.outcomes.find(outcome);
  return found == summary.outcomes.end() ? 0 : found->second;
}

std::string GapText(const report_gap& gap) {
  return gap.process + " was not heard from " + TimeText(gap.from_ms) +
         (gap.to_ms == 0 ? " on and did not come back"
                         : " until its restart at " + TimeText(gap.to_ms)) +
         "; what it counted in that time is lost";
}

json EventJson(const report_event& event) {
  json row;
  row["time_ms"] = event.time_ms;
  row["flow"] = event.flow;
  row["request_id"] = event.request_id;
  row["service"] = event.service;
  row["outcome"] = event.outcome;
  row["reason"] = event.reason;
  row["told_by"] = event.process;
  return row;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += letter;
    }
  }
  return escaped;
}

/// A line of values over seconds, drawn as SVG.
class plot {
 public:
  plot(std::int64_t first, std::int64_t last, double highest)
      : first_(first),
        span_(std::max<std::int64_t>(1, last - first)),
        highest_(std::max(highest, 1e-9)) {}

  std::string Line(const std::map<std::int64_t, double>& values,
                   const std::string& colour) const {
    std::ostringstream out;
    out << "<polyline fill='none' stroke='" << colour
        << "' stroke-width='1.5' points='";
    for (const auto& [second, value] : values) {
      out << X(second) << ',' << Y(value) << ' ';
    }
    out << "'/>";
    return out.str();
  }

  std::string Frame() const {
    std::ostringstream out;
    out << "<rect x='" << kLeft << "' y='" << kTop << "' width='" << kWidth
        << "' height='" << kHeight
        << "' fill='none' stroke='#999'/><text x='2' y='" << kTop + 10 << "'>"
        << std::round(highest_ * 100) / 100 << "</text><text x='2' y='"
        << kTop + kHeight << "'>0</text><text x='" << kLeft << "' y='"
        << kTop + kHeight + 16 << "'>" << TimeText(first_ * 1000)
        << " UTC</text><text x='" << kLeft + kWidth << "' y='"
        << kTop + kHeight + 16 << "' text-anchor='end'>+" << span_
        << " s</text>";
    return out.str();
  }

  static std::string Open() {
    return "<svg viewBox='0 0 760 210' width='760' height='210' "
           "font-size='11' font-family='sans-serif'>";
  }

 private:
  static constexpr double kLeft = 45;
  static constexpr double kTop = 10;
  static constexpr double kWidth = 700;
  static constexpr double kHeight = 170;

  double X(std::int64_t second) const {
    return kLeft + kWidth * static_cast<double>(second - first_) /
                       static_cast<double>(span_);
  }
  double Y(double value) const {
    return kTop + kHeight * (1 - value / highest_);
  }

  std::int64_t first_;
  std::int64_t span_;
  double highest_;
};

using series_map = std::map<std::string, std::map<std::int64_t, double>>;

/// One plot with a legend; empty when there is nothing to draw.
std::string DrawSeries(const series_map& all) {
  static constexpr std::array kColours = {"#1f6fb4", "#d1495b", "#2e933c",
                                          "#8d5a97", "#c98a1b", "#4a4a4a"};
  std::int64_t first = INT64_MAX;
  std::int64_t last = 0;
  double highest = 0;
  for (const auto& [name, values] : all) {
    for (const auto& [second, value] : values) {
      first = std::min(first, second);
      last = std::max(last, second);
      highest = std::max(highest, value);
    }
  }
  if (last == 0) {
    return "<p>Nothing to draw.</p>";
  }
  const plot drawn(first, last, highest);
  std::string lines = plot::Open() + drawn.Frame();
  std::string legend = "<p>";
  std::size_t index = 0;
  for (const auto& [name, values] : all) {
    const std::string colour = kColours[index++ % kColours.size()];
    lines += drawn.Line(values, colour);
    legend += "<span style='color:" + colour + "'>&#9632;</span> " +
              Escape(name) + " &nbsp; ";
  }
  return lines + "</svg>" + legend + "</p>";
}

std::string HtmlHead(const report_summary& summary) {
  std::ostringstream out;
  out << "<!doctype html><html lang='en'><meta charset='utf-8'>"
         "<title>corianderplank report</title><style>body{font-family:"
         "sans-serif;max-width:60em;margin:2em auto;color:#222}table{border-"
         "collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;"
         "text-align:left}td.n{text-align:right}.big td{font-size:1.4em}"
         "</style><h1>What happened to the traffic</h1><table class='big'>"
         "<tr>";
  for (const char* outcome : kOutcomes) {
    out << "<th>" << outcome << "</th>";
  }
  out << "</tr><tr>";
  for (const char* outcome : kOutcomes) {
    out << "<td class='n'>" << CountOf(summary, outcome) << "</td>";
  }
  out << "</tr></table>";
  return out.str();
}

std::string HtmlGaps(const report_summary& summary) {
  std::string html = "<h2>What this report cannot vouch for</h2><ul>";
  for (const report_gap& gap : summary.gaps) {
    html += "<li>" + Escape(GapText(gap)) + "</li>";
  }
  for (const std::string& address : summary.unreachable) {
    html += "<li>" + address + " could not be read</li>";
  }
  if (summary.dropped_events > 0) {
    html += "<li>" + std::to_string(summary.dropped_events) +
            " events fell out of the processes' memory</li>";
  }
  const bool none = summary.gaps.empty() && summary.unreachable.empty() &&
                    summary.dropped_events == 0;
  return html + (none ? "<li>nothing is missing</li></ul>" : "</ul>");
}

std::string HtmlTables(const report_summary& summary) {
  std::ostringstream out;
  out << "<h2>Flows broken and outcomes unknown</h2><table><tr><th>time (UTC)"
         "</th><th>flow</th><th>request</th><th>service</th><th>outcome</th>"
         "<th>reason</th></tr>";
  for (const report_event& event : summary.broken_or_unknown) {
    out << "<tr><td>" << TimeText(event.time_ms) << "</td><td>" << event.flow
        << "</td><td>" << event.request_id << "</td><td>"
        << Escape(event.service) << "</td><td>" << event.outcome << "</td><td>"
        << event.reason << "</td></tr>";
  }
  out << "</table><h2>Refusals and drops</h2><table><tr><th>service</th><th>"
         "failure domain</th><th>reason</th><th>count</th></tr>";
  for (const reason_count& item : summary.refusals) {
    out << "<tr><td>" << Escape(item.service) << "</td><td>"
        << Escape(item.failure_domain) << "</td><td>" << item.reason
        << "</td><td class='n'>" << item.count << "</td></tr>";
  }
  out << "</table><h2>Retries and moves</h2><table><tr><th>reason</th><th>"
         "count</th></tr>";
  for (const auto& [reason, count] : summary.retries) {
    out << "<tr><td>" << reason << "</td><td class='n'>" << count
        << "</td></tr>";
  }
  out << "</table><h2>Documents in force</h2><table><tr><th>time (UTC)</th>"
         "<th>process</th><th>revision</th><th>from</th></tr>";
  for (const report_revision& item : summary.revisions) {
    out << "<tr><td>" << TimeText(item.time_ms) << "</td><td>"
        << Escape(item.process) << "</td><td class='n'>" << item.revision
        << "</td><td>" << Escape(item.source) << "</td></tr>";
  }
  out << "</table></html>\n";
  return out.str();
}

}  // namespace

std::string ReportText(const report_summary& summary) {
  std::ostringstream out;
  for (const char* outcome : kOutcomes) {
    out << outcome << '=' << CountOf(summary, outcome) << ' ';
  }
  out << "\n\nflows broken and outcomes unknown:\n";
  for (const report_event& event : summary.broken_or_unknown) {
    out << "  " << TimeText(event.time_ms) << " flow " << event.flow
        << " request " << event.request_id << " of " << event.service << ": "
        << event.outcome << ", " << event.reason << '\n';
  }
  out << "\nrefusals and drops by service, failure domain and reason (of each "
         "process's whole life):\n";
  for (const reason_count& item : summary.refusals) {
    out << "  " << item.service << ' ' << item.failure_domain << ' '
        << item.reason << ": " << item.count << '\n';
  }
  out << "\nretries and moves:\n";
  for (const auto& [reason, count] : summary.retries) {
    out << "  " << reason << ": " << count << '\n';
  }
  out << "\nimbalance (highest over mean of the busy share, windows of 1 s):\n";
  for (const imbalance_summary& item : summary.imbalance) {
    out << "  " << item.service << ": mean " << item.mean
        << ", 99th percentile " << item.high << "; open feeds: mean "
        << item.feeds_mean << '\n';
  }
  out << "\ndocuments in force:\n";
  for (const report_revision& item : summary.revisions) {
    out << "  " << TimeText(item.time_ms) << ' ' << item.process
        << ": revision " << item.revision << " from " << item.source << '\n';
  }
  out << "\nwhat this report cannot vouch for:\n";
  for (const report_gap& gap : summary.gaps) {
    out << "  " << GapText(gap) << '\n';
  }
  for (const std::string& address : summary.unreachable) {
    out << "  " << address << " could not be read\n";
  }
  out << "  events that fell out of the processes' memory: "
      << summary.dropped_events << '\n';
  return out.str();
}

std::string ReportJson(const report_summary& summary) {
  json page;
  for (const char* outcome : kOutcomes) {
    page[outcome] = CountOf(summary, outcome);
  }
  page["broken_or_unknown"] = json::array();
  for (const report_event& event : summary.broken_or_unknown) {
    page["broken_or_unknown"].push_back(EventJson(event));
  }
  page["refusals"] = json::array();
  for (const reason_count& item : summary.refusals) {
    page["refusals"].push_back({{"service", item.service},
                                {"failure_domain", item.failure_domain},
                                {"reason", item.reason},
                                {"count", item.count}});
  }
  page["retries"] = summary.retries;
  page["imbalance"] = json::array();
  for (const imbalance_summary& item : summary.imbalance) {
    page["imbalance"].push_back({{"service", item.service},
                                 {"mean", item.mean},
                                 {"p99", item.high},
                                 {"feeds_mean", item.feeds_mean}});
  }
  page["revisions"] = json::array();
  for (const report_revision& item : summary.revisions) {
    page["revisions"].push_back({{"time_ms", item.time_ms},
                                 {"process", item.process},
                                 {"revision", item.revision},
                                 {"source", item.source}});
  }
  page["gaps"] = json::array();
  for (const report_gap& gap : summary.gaps) {
    page["gaps"].push_back({{"process", gap.process},
                            {"from_ms", gap.from_ms},
                            {"to_ms", gap.to_ms}});
  }
  page["unreachable"] = summary.unreachable;
  page["dropped_events"] = summary.dropped_events;
  return page.dump(2) + "\n";
}

std::string ReportHtml(const report_summary& summary) {
  series_map imbalance;
  for (const imbalance_summary& item : summary.imbalance) {
    imbalance[item.service] = item.by_second;
  }
  series_map refusals;
  for (const auto& [reason, seconds] : summary.refusal_seconds) {
    for (const auto& [second, count] : seconds) {
      refusals[reason][second] = static_cast<double>(count);
    }
  }
  return HtmlHead(summary) + HtmlGaps(summary) +
         "<h2>Imbalance over time</h2><p>Highest over mean of the busy share "
         "of slots, windows of 1 s; 1 is even.</p>" +
         DrawSeries(imbalance) +
         "<h2>Refusals, moves and unknown outcomes a second</h2>" +
         DrawSeries(refusals) + HtmlTables(summary);
}

}  // namespace corianderplank
