#include "command/report_command.h"

#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "command/arguments.h"
#include "command/fleet_reader.h"
#include "command/report_summary.h"

namespace corianderplank {
namespace {

constexpr std::chrono::milliseconds kTimeout{5000};

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "corianderplank report",
      "States what happened: flows broken, refusals, unknown outcomes, "
      "imbalance, documents in force, and what is missing.\nExample: "
      "corianderplank report --admin 127.0.1.1:6002 --html report.html "
      "logs/*.log\n");
  const auto text = [] {
    return cxxopts::value<std::string>()->default_value("");
  };
  options.add_options()("admin", "admin ports, with commas", text())(
      "logs", "log files", cxxopts::value<std::vector<std::string>>())(
      "since-ms", "start, in ms since 1970",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "until-ms", "end, in ms since 1970",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "html", "file for an HTML page", text())("json", "print JSON")(
      "help", "show this");
  options.parse_positional({"logs"});
  options.positional_help("[LOG ...]");
  return options;
}

bool Collect(const cxxopts::ParseResult& arguments,
             report_collector& collector) {
  if (arguments.count("logs") > 0) {
    for (const std::string& path :
         arguments["logs"].as<std::vector<std::string>>()) {
      if (!collector.AddLog(path)) {
        std::cerr << path << ": cannot be read: accepted is a log file\n";
        return false;
      }
    }
  }
  const auto addresses = ParseEndpoints(arguments["admin"].as<std::string>());
  for (const fleet_page& page : ReadFleet(addresses, "/events", kTimeout)) {
    collector.AddLive(page.address, page.body ? &*page.body : nullptr);
  }
  return true;
}

}  // namespace

exit_code report_command::Run(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  report_collector collector;
  if (!Collect(arguments, collector)) {
    return exit_code::usage;
  }
  const report_data data = collector.Take();
  if (data.lives.empty()) {
    std::cerr << "report: --admin ADDRESS:PORT,... or log files are needed\n";
    return exit_code::usage;
  }
  const report_summary summary =
      Summarise(data, arguments["since-ms"].as<std::int64_t>(),
                arguments["until-ms"].as<std::int64_t>());
  const auto html = arguments["html"].as<std::string>();
  if (!html.empty()) {
    std::ofstream(html) << ReportHtml(summary);
  }
  std::cout << (arguments.count("json") > 0 ? ReportJson(summary)
                                            : ReportText(summary));
  return exit_code::success;
}

}  // namespace corianderplank
