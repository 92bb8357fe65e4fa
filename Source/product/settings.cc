#include "product/settings.h"

#include <fstream>
#include <sstream>

namespace corianderplank {
namespace {

constexpr std::int64_t kMaxDrainMs = 3600000;
constexpr std::int64_t kMaxWatchMs = 600000;
constexpr std::int64_t kPermille = 1000;
constexpr std::int64_t kMaxSeed = INT64_MAX;

void ReadImpairment(toml_section section, process_settings& settings) {
  settings.impairment_enabled = section.NumberOr("enabled", 0, 0, 1) == 1;
  settings.impairment_seed =
      static_cast<std::uint64_t>(section.NumberOr("seed", 1, 0, kMaxSeed));
  const auto rate = [&](const char* key) {
    return static_cast<std::uint32_t>(section.NumberOr(key, 0, 0, kPermille));
  };
  settings.impairment.loss_permille = rate("loss_permille");
  settings.impairment.duplicate_permille = rate("duplicate_permille");
  settings.impairment.reorder_permille = rate("reorder_permille");
  section.Finish();
}

void CheckLogLevel(toml_section& root, const std::string& level) {
  if (level != "debug" && level != "info" && level != "warning" &&
      level != "error") {
    root.Reject("log_level", "debug, info, warning or error");
  }
}

}  // namespace

parsed_settings ParseSettings(const std::string& file,
                              const std::string& text,
                              bool is_agent) {
  parsed_settings result;
  toml_file parsed(file, text);
  toml_section root = parsed.Root();
  if (!parsed.Errors().empty()) {
    result.errors = parsed.Errors();
    return result;
  }
  process_settings& settings = result.settings;
  settings.name = root.Text("name");
  settings.environment = root.Text("environment");
  settings.failure_domain = root.Text("failure_domain");
  settings.data = root.Address("data");
  settings.control = root.Address("control");
  settings.admin = root.Address("admin");
  settings.platform = root.Address("platform");
  settings.peers = root.Addresses("peers");
  settings.log_level = root.TextOr("log_level", "info");
  CheckLogLevel(root, settings.log_level);
  settings.drain_limit = std::chrono::milliseconds(
      root.NumberOr("drain_limit_ms", 30000, 0, kMaxDrainMs));
  settings.watch_wait = std::chrono::milliseconds(
      root.NumberOr("watch_wait_ms", 60000, 100, kMaxWatchMs));
  if (is_agent) {
    settings.service = root.Text("service");
    settings.backend = root.Address("backend");
  }
  ReadImpairment(root.Table("impairment"), settings);
  root.Finish();
  result.errors = parsed.Errors();
  return result;
}

bool ReadFile(const std::string& path, std::string& text) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return false;
  }
  std::ostringstream out;
  out << in.rdbuf();
  text = out.str();
  return true;
}

}  // namespace corianderplank
