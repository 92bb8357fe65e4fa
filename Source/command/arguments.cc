#include "command/arguments.h"

#include <iostream>
#include <sstream>

#include "product/document_parser.h"
#include "product/settings.h"

namespace corianderplank {
namespace {

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

std::optional<environment_document> LoadDocument(const std::string& path) {
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << path << ": cannot be read: accepted is a TOML file\n";
    return std::nullopt;
  }
  parsed_document parsed = ParseDocument(path, text, {});
  for (const config_error& error : parsed.errors) {
    std::cerr << FormatConfigError(error) << '\n';
  }
  if (!parsed.errors.empty()) {
    return std::nullopt;
  }
  return std::move(parsed.document);
}

std::vector<std::uint32_t> ParseAddresses(const std::string& text) {
  std::vector<std::uint32_t> addresses;
  for (const std::string& part : SplitAtCommas(text)) {
    const endpoint parsed = ParseEndpoint(part + ":1");
    if (!parsed.IsValid()) {
      return {};
    }
    addresses.push_back(parsed.address);
  }
  return addresses;
}

std::vector<endpoint> ParseEndpoints(const std::string& text) {
  std::vector<endpoint> endpoints;
  for (const std::string& part : SplitAtCommas(text)) {
    const endpoint parsed = ParseEndpoint(part);
    if (!parsed.IsValid()) {
      return {};
    }
    endpoints.push_back(parsed);
  }
  return endpoints;
}

}  // namespace corianderplank
