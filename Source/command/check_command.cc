#include "command/check_command.h"

#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "product/document_parser.h"
#include "product/settings.h"

namespace corianderplank {
namespace {

void PrintJson(const parsed_document& parsed, bool valid) {
  nlohmann::ordered_json page;
  page["valid"] = valid;
  page["environment"] = parsed.document.environment;
  page["errors"] = nlohmann::json::array();
  for (const config_error& error : parsed.errors) {
    page["errors"].push_back({{"file", error.file},
                              {"line", error.line},
                              {"key", error.key},
                              {"value", error.value},
                              {"accepted", error.accepted}});
  }
  std::cout << page.dump(2) << '\n';
}

void PrintText(const std::string& path, const parsed_document& parsed) {
  for (const config_error& error : parsed.errors) {
    std::cerr << FormatConfigError(error) << '\n';
  }
  if (!parsed.errors.empty()) {
    return;
  }
  std::cout << path << ": valid, environment " << parsed.document.environment
            << '\n';
  for (const service& item : parsed.document.services) {
    std::cout << "  " << item.name << ": port " << item.port << ", "
              << item.targets.size() << " targets, " << item.classes.size()
              << " classes\n";
  }
}

}  // namespace

exit_code check_command::Run(int argc, char** argv) {
  cxxopts::Options options("corianderplank check",
                           "Checks an environment document; tells every error "
                           "at once.\nExample: corianderplank check "
                           "steppe.toml --environment steppe\n");
  options.add_options()("file", "the document", cxxopts::value<std::string>())(
      "environment", "the environment that it must be for",
      cxxopts::value<std::string>())("json", "print JSON")("help", "show this");
  options.parse_positional({"file"});
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return exit_code::success;
  }
  const auto path = arguments["file"].as<std::string>();
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << path << ": cannot be read: accepted is a TOML file\n";
    return exit_code::failure;
  }
  parsed_document parsed = ParseDocument(path, text, {});
  if (arguments.count("environment") > 0) {
    const auto wanted = arguments["environment"].as<std::string>();
    if (parsed.document.environment != wanted) {
      parsed.errors.push_back(
          {path, 1, "environment", parsed.document.environment, wanted});
    }
  }
  const bool valid = parsed.errors.empty();
  if (arguments.count("json") > 0) {
    PrintJson(parsed, valid);
  } else {
    PrintText(path, parsed);
  }
  return valid ? exit_code::success : exit_code::failure;
}

}  // namespace corianderplank
