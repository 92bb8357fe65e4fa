#include "command/explain_command.h"

#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "command/arguments.h"
#include "command/fleet_reader.h"

namespace corianderplank {
namespace {

using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds kTimeout{2000};

void PrintPage(const json& page) {
  std::cout << page.value("process", std::string("?")) << ":\n";
  if (page.contains("refused")) {
    std::cout << "  refuses: " << page["refused"].get<std::string>() << '\n';
    return;
  }
  for (const json& line : page.value("targets", json::array())) {
    std::cout << "  " << line.get<std::string>() << '\n';
  }
  std::cout << "  revision " << page.value("revision", 0)
            << "; the lower score of two weighted draws wins: "
            << page.value("chosen", std::string("?")) << '\n'
            << "  that agent may pass the open on to a less loaded sibling\n";
}

/// Prints what the named flow's events say, from the agents' admin ports.
std::size_t PrintEvents(const std::vector<endpoint>& addresses,
                        const std::string& flow) {
  std::size_t printed = 0;
  for (const fleet_page& page : ReadFleet(addresses, "/events", kTimeout)) {
    if (!page.body) {
      continue;
    }
    const json body = json::parse(*page.body);
    for (const json& event : body["events"]) {
      if (std::to_string(event["flow"].get<std::uint64_t>()) != flow) {
        continue;
      }
      ++printed;
      std::cout << "  " << event["time_ms"] << " "
                << body["process"].get<std::string>() << ": request "
                << event["request_id"] << " "
                << event["outcome"].get<std::string>() << " "
                << event["reason"].get<std::string>() << ", told by the "
                << event["source"].get<std::string>() << '\n';
    }
  }
  return printed;
}

}  // namespace

exit_code explain_command::Run(int argc, char** argv) {
  cxxopts::Options options(
      "corianderplank explain",
      "Shows where entries would place an open of a flow, and what happened "
      "to the flow.\nExample: corianderplank explain --admin 127.0.1.1:6002 "
      "--service tracking-gateway --flow 17\n");
  options.add_options()("admin", "admin ports, with commas",
                        cxxopts::value<std::string>()->default_value(""))(
      "service", "service's name",
      cxxopts::value<std::string>()->default_value(""))(
      "flow", "flow's number",
      cxxopts::value<std::string>()->default_value("0"))("json", "print JSON")(
      "help", "show this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto addresses = ParseEndpoints(arguments["admin"].as<std::string>());
  const auto service = arguments["service"].as<std::string>();
  const auto flow = arguments["flow"].as<std::string>();
  if (addresses.empty() || service.empty()) {
    std::cerr << "explain: --admin ADDRESS:PORT,... and --service NAME are "
                 "needed\n";
    return exit_code::usage;
  }
  bool explained = false;
  for (const fleet_page& page :
       ReadFleet(addresses, "/explain?service=" + service + "&flow=" + flow,
                 kTimeout)) {
    const json body = page.body ? json::parse(*page.body) : json::object();
    if (!body.contains("chosen") && !body.contains("refused")) {
      continue;  // Not an entry, or not reachable.
    }
    explained = true;
    if (arguments.count("json") > 0) {
      std::cout << body.dump(2) << '\n';
    } else {
      PrintPage(body);
    }
  }
  if (arguments.count("json") == 0 && flow != "0") {
    std::cout << "events of flow " << flow << ":\n";
    if (PrintEvents(addresses, flow) == 0) {
      std::cout << "  none: it was never refused, moved or broken here\n";
    }
  }
  return explained ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
