#include "product/document_parser.h"

#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace corianderplank {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxWeight = 100;
constexpr std::int64_t kMaxSlots = 100000;
constexpr std::int64_t kMaxConnections = 10000000;
constexpr std::int64_t kMaxQueuePerSlot = 1000;
constexpr std::int64_t kMaxColdStartMs = 600000;
constexpr std::size_t kMaxClasses = 16;

/// Names and addresses that must not occur twice in a document.
struct uniqueness {
  std::set<std::string> services;
  std::set<std::string> targets;
  std::set<std::int64_t> ports;
  std::set<endpoint> addresses;
};

work_kind ReadWork(toml_section& section) {
  const std::string text = section.TextOr("work", "request");
  if (text == "feed") {
    return work_kind::feed;
  }
  if (text == "upload") {
    return work_kind::upload;
  }
  if (text != "request") {
    section.Reject("work", "request, feed or upload");
  }
  return work_kind::request;
}

traffic_class ReadClass(toml_section section) {
  traffic_class result;
  result.name = section.Text("name");
  result.work = ReadWork(section);
  result.weight =
      static_cast<std::uint32_t>(section.NumberOr("weight", 1, 1, kMaxWeight));
  result.max_share_permille = static_cast<std::uint32_t>(
      section.FractionOr("max_share", 1.0, 0.01, 1.0) * 1000);
  section.Finish();
  return result;
}

/// What a service's targets have unless they say otherwise. A document of
/// thousands of targets stays below the platform's limit by it.
struct target_defaults {
  std::optional<std::int64_t> slots;
  std::optional<std::int64_t> connections;
  std::uint16_t agent_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t backend_port = 0;
};

std::optional<std::int64_t> ReadDefault(toml_section& section,
                                        const std::string& key,
                                        std::int64_t highest) {
  if (!section.Has(key)) {
    return std::nullopt;
  }
  return section.Number(key, 1, highest);
}

target_defaults ReadDefaults(toml_section section) {
  target_defaults result;
  const auto port = [&](const char* key) {
    return static_cast<std::uint16_t>(section.NumberOr(key, 0, 1, kMaxPort));
  };
  result.slots = ReadDefault(section, "slots", kMaxSlots);
  result.connections = ReadDefault(section, "connections", kMaxConnections);
  result.agent_port = port("agent_port");
  result.control_port = port("control_port");
  result.backend_port = port("backend_port");
  section.Finish();
  return result;
}

std::uint32_t NumberOrDefault(toml_section& section,
                              const std::string& key,
                              const std::optional<std::int64_t>& fallback,
                              std::int64_t highest) {
  return static_cast<std::uint32_t>(
      fallback ? section.NumberOr(key, *fallback, 1, highest)
               : section.Number(key, 1, highest));
}

/// Reads an address, or makes it of the target's host and a default port.
endpoint ReadAddress(toml_section& section,
                     const std::string& key,
                     std::uint16_t default_port) {
  if (section.Has(key) || !section.Has("host") || default_port == 0) {
    return section.Address(key);
  }
  const endpoint made =
      ParseEndpoint(section.Text("host") + ":" + std::to_string(default_port));
  if (!made.IsValid()) {
    section.Reject("host", "an IPv4 address, \"127.0.0.1\"");
  }
  return made;
}

target ReadTarget(toml_section section,
                  const target_defaults& defaults,
                  uniqueness& seen) {
  target result;
  result.name = section.Text("name");
  result.id = TargetIdOf(result.name);
  result.failure_domain = section.Text("failure_domain");
  result.agent = ReadAddress(section, "agent", defaults.agent_port);
  result.control = ReadAddress(section, "control", defaults.control_port);
  result.backend = ReadAddress(section, "backend", defaults.backend_port);
  result.slots = NumberOrDefault(section, "slots", defaults.slots, kMaxSlots);
  result.connections = NumberOrDefault(section, "connections",
                                       defaults.connections, kMaxConnections);
  result.weight =
      static_cast<std::uint32_t>(section.NumberOr("weight", 1, 1, kMaxWeight));
  if (result.agent.IsValid() && !seen.addresses.insert(result.agent).second) {
    section.Reject(section.Has("agent") ? "agent" : "host",
                   "an address that no other target has");
  }
  if (!result.name.empty() && !seen.targets.insert(result.name).second) {
    section.Reject("name", "a name that no other target has");
  }
  section.Finish();
  return result;
}

service ReadService(toml_section section, uniqueness& seen) {
  service result;
  result.name = section.Text("name");
  result.id = ServiceIdOf(result.name);
  result.port = static_cast<std::uint16_t>(section.Number("port", 1, kMaxPort));
  result.queue_per_slot = static_cast<std::uint32_t>(
      section.NumberOr("queue_per_slot", 4, 0, kMaxQueuePerSlot));
  result.cold_start = std::chrono::milliseconds(
      section.NumberOr("cold_start_ms", 0, 0, kMaxColdStartMs));
  if (!result.name.empty() && !seen.services.insert(result.name).second) {
    section.Reject("name", "a name that no other service has");
  }
  if (!seen.ports.insert(result.port).second) {
    section.Reject("port", "a port that no other service has");
  }
  for (toml_section& item : section.Tables("class", true)) {
    result.classes.push_back(ReadClass(item));
  }
  if (result.classes.size() > kMaxClasses) {
    section.Reject("class",
                   "at most " + std::to_string(kMaxClasses) + " classes");
  }
  const target_defaults defaults =
      ReadDefaults(section.Table("target_defaults"));
  for (toml_section& item : section.Tables("target", true)) {
    result.targets.push_back(ReadTarget(item, defaults, seen));
  }
  section.Finish();
  return result;
}

instance ReadInstance(const nlohmann::json& row) {
  instance result;
  result.name = row.at("name").get<std::string>();
  const auto role = row.at("role").get<std::string>();
  result.role = role == "agent" ? instance_role::agent : instance_role::entry;
  result.service = ServiceIdOf(row.value("service", std::string()));
  result.failure_domain = row.value("failure_domain", std::string());
  result.data = ParseEndpoint(row.at("data").get<std::string>());
  result.control = ParseEndpoint(row.at("control").get<std::string>());
  result.leaving = row.value("state", std::string("live")) == "leaving";
  return result;
}

}  // namespace

parsed_document ParseDocument(const std::string& file,
                              const std::string& text,
                              revision_number revision) {
  parsed_document result;
  toml_file parsed(file, text);
  if (!parsed.Errors().empty()) {
    result.errors = parsed.Errors();
    return result;
  }
  toml_section root = parsed.Root();
  uniqueness seen;
  result.document.environment = root.Text("environment");
  for (toml_section& item : root.Tables("service", true)) {
    result.document.services.push_back(ReadService(item, seen));
  }
  root.Finish();
  result.document.revision = revision;
  result.document.checksum = HashName(text);
  result.document.source = text;
  result.errors = parsed.Errors();
  return result;
}

std::optional<instance_list> ParseInstances(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    instance_list result;
    result.version = json.at("version").get<std::uint64_t>();
    for (const nlohmann::json& row : json.at("instances")) {
      result.instances.push_back(ReadInstance(row));
    }
    return result;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corianderplank
