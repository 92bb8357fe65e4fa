#include "command/status_command.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "command/arguments.h"
#include "command/fleet_reader.h"

namespace corianderplank {
namespace {

using json = nlohmann::ordered_json;

constexpr std::chrono::milliseconds kTimeout{2000};

/// Names of the drain reasons, in the order of their bits.
constexpr const char* kDrainReasons[] = {"signal", "document", "instance list",
                                         "backend", "failing"};

std::string DrainText(std::uint64_t reasons) {
  std::string text;
  for (std::size_t bit = 0; bit < std::size(kDrainReasons); ++bit) {
    if (((reasons >> bit) & 1) != 0) {
      text += text.empty() ? "" : ", ";
      text += kDrainReasons[bit];
    }
  }
  return text;
}

json ReadPages(const std::vector<endpoint>& addresses) {
  json rows = json::array();
  for (const fleet_page& page : ReadFleet(addresses, "/status", kTimeout)) {
    json row = page.body ? json::parse(*page.body) : json::object();
    row["admin"] = FormatEndpoint(page.address);
    row["reachable"] = page.body.has_value();
    rows.push_back(row);
  }
  return rows;
}

void PrintRow(const json& row, std::uint64_t highest) {
  if (!row["reachable"].get<bool>()) {
    std::printf("%-20s not reachable\n",
                row["admin"].get<std::string>().c_str());
    return;
  }
  const json& status = row["role_status"];
  const auto revision = row["revision"].get<std::uint64_t>();
  std::string note = revision < highest ? "behind; " : "";
  if (row["role"] == "agent") {
    note += DrainText(status.value("drain_reasons", 0));
    std::printf("%-16s %-6s %-18s rev %-6lu %-9s flows %-6lu load %4.1f%% %s\n",
                row["process"].get<std::string>().c_str(), "agent",
                row["failure_domain"].get<std::string>().c_str(), revision,
                status.value("state", std::string("?")).c_str(),
                status.value("flows", 0UL),
                status.value("load_permille", 0.0) / 10, note.c_str());
    return;
  }
  for (const json& ejected : status.value("ejected", json::array())) {
    note += "ejected " + ejected.get<std::string>() + "; ";
  }
  std::printf(
      "%-16s %-6s %-18s rev %-6lu forwarded %-10lu returned %-10lu %s\n",
      row["process"].get<std::string>().c_str(), "entry",
      row["failure_domain"].get<std::string>().c_str(), revision,
      status.value("forwarded", 0UL), status.value("returned", 0UL),
      note.c_str());
}

}  // namespace

exit_code status_command::Run(int argc, char** argv) {
  cxxopts::Options options(
      "corianderplank status",
      "Shows the fleet; exits with 1 when a process cannot be reached or is "
      "behind.\nExample: corianderplank status --admin "
      "127.0.1.1:6002,127.0.2.1:6002\n");
  options.add_options()("admin", "admin ports, with commas",
                        cxxopts::value<std::string>()->default_value(""))(
      "json", "print JSON")("help", "show this");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto addresses = ParseEndpoints(arguments["admin"].as<std::string>());
  if (addresses.empty()) {
    std::cerr << "status: --admin ADDRESS:PORT,... is needed\n";
    return exit_code::usage;
  }
  const json rows = ReadPages(addresses);
  std::uint64_t highest = 0;
  for (const json& row : rows) {
    highest = std::max(highest, row.value("revision", std::uint64_t{0}));
  }
  bool good = true;
  for (const json& row : rows) {
    good = good && row["reachable"].get<bool>() &&
           row["revision"].get<std::uint64_t>() == highest;
    if (arguments.count("json") == 0) {
      PrintRow(row, highest);
    }
  }
  if (arguments.count("json") > 0) {
    std::cout << json{{"highest_revision", highest}, {"processes", rows}}.dump(
                     2)
              << '\n';
  } else {
    std::cout << "highest revision " << highest << ", " << rows.size()
              << " processes" << (good ? "" : ", not all well") << '\n';
  }
  return good ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
