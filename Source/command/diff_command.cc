#include "command/diff_command.h"

#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "command/arguments.h"
#include "command/document_difference.h"

namespace corianderplank {

exit_code diff_command::Run(int argc, char** argv) {
  cxxopts::Options options(
      "corianderplank diff",
      "Compares two documents; exits with 1 when they differ.\n"
      "Example: corianderplank diff steppe.toml steppe-next.toml\n");
  options.add_options()("before", "the document in force",
                        cxxopts::value<std::string>())(
      "after", "the document that shall be", cxxopts::value<std::string>())(
      "json", "print JSON")("help", "show this");
  options.parse_positional({"before", "after"});
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto before = LoadDocument(arguments["before"].as<std::string>());
  const auto after = LoadDocument(arguments["after"].as<std::string>());
  if (!before || !after) {
    return exit_code::usage;
  }
  const auto differences = CompareDocuments(*before, *after);
  nlohmann::ordered_json rows = nlohmann::json::array();
  for (const document_difference& item : differences) {
    rows.push_back({{"what", item.what},
                    {"subject", item.subject},
                    {"detail", item.detail},
                    {"moves_flows", item.moves_flows}});
    if (arguments.count("json") == 0) {
      std::cout << item.what << ' ' << item.subject << ": " << item.detail
                << (item.moves_flows ? " (moves flows)" : "") << '\n';
    }
  }
  if (arguments.count("json") > 0) {
    std::cout << rows.dump(2) << '\n';
  } else if (differences.empty()) {
    std::cout << "no difference\n";
  }
  return differences.empty() ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
