#include "packet/packet_settings.h"

#include <algorithm>
#include <iostream>
#include <string_view>

#include "product/daemon_options.h"
#include "product/log.h"
#include "product/settings.h"

namespace corianderplank {
namespace {

constexpr int kInvalidSettingsExitCode = 1;
constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxSeconds = 86400;
constexpr double kMaxMbps = 1000000;
constexpr double kBytesPerMbit = 125000;
/// Agreement that targets are judged by their health.
constexpr std::string_view kHealthAgreement = "health";
constexpr const char* kPaceBySlots = "slots";
constexpr const char* kLearnedPace = "learned";

std::uint16_t ReadPort(toml_section& root, const char* key) {
  return static_cast<std::uint16_t>(root.Number(key, 1, kMaxPort));
}

std::chrono::milliseconds ReadSeconds(toml_section& root,
                                      const char* key,
                                      double lowest) {
  const std::chrono::duration<double> value(
      root.Fraction(key, lowest, kMaxSeconds));
  return std::chrono::round<std::chrono::milliseconds>(value);
}

void ReadEntry(toml_section& root, packet_settings& settings) {
  settings.fleet_state_endpoint = root.Address("belief");
  settings.platform = root.Address("platform");
}

void ReadAgent(toml_section& root, packet_settings& settings) {
  settings.service = root.Text("service");
  settings.target = root.Address("target");
  settings.outbound = root.Address("outbound");
  const std::vector<std::string> agreements = root.Texts("agreements");
  settings.watches_answers = std::find(agreements.begin(), agreements.end(),
                                       kHealthAgreement) != agreements.end();
  const std::string pace = root.TextOr("pace", kPaceBySlots);
  settings.learns_pace = pace == kLearnedPace;
  if (!settings.learns_pace && pace != kPaceBySlots) {
    root.Reject("pace", "slots or learned");
  }
}

packet_options ExitWith(int exit_code) {
  packet_options options;
  options.exit_code = exit_code;
  return options;
}

packet_options Load(const std::string& path, bool is_agent, bool check_only) {
  std::string text;
  if (!ReadFile(path, text)) {
    std::cerr << path
              << ": cannot be read: accepted is a readable settings file\n";
    return ExitWith(kInvalidSettingsExitCode);
  }
  parsed_packet_settings parsed = ParsePacketSettings(path, text, is_agent);
  for (const config_error& error : parsed.errors) {
    std::cerr << FormatConfigError(error) << '\n';
  }
  if (!parsed.errors.empty()) {
    return ExitWith(kInvalidSettingsExitCode);
  }
  if (check_only) {
    std::cout << path << ": settings are valid\n";
    return ExitWith(0);
  }
  StartLog(parsed.settings.name, parsed.settings.log_level);
  packet_options options;
  options.settings = std::move(parsed.settings);
  options.path = path;
  options.runs = true;
  return options;
}

}  // namespace

parsed_packet_settings ParsePacketSettings(const std::string& file,
                                           const std::string& text,
                                           bool is_agent) {
  parsed_packet_settings result;
  toml_file parsed(file, text);
  toml_section root = parsed.Root();
  if (!parsed.Errors().empty()) {
    result.errors = parsed.Errors();
    return result;
  }
  packet_settings& settings = result.settings;
  settings.name = root.Text("name");
  settings.failure_domain = root.Text("failure_domain");
  settings.log_level = root.TextOr("log_level", "info");
  settings.first_start = root.NumberOr("first_start", 0, 0, 1) == 1;
  const endpoint packets = root.Address("packets");
  settings.address = packets.address;
  settings.packet_port = packets.port;
  settings.delivery_port = ReadPort(root, "delivery_port");
  settings.peer_port = ReadPort(root, "peer_port");
  settings.readiness = root.Address("readiness");
  settings.metrics_port =
      static_cast<std::uint16_t>(root.NumberOr("metrics_port", 0, 0, kMaxPort));
  settings.seeds = root.Addresses("seeds");
  settings.link_bytes_per_second = static_cast<std::uint64_t>(
      root.FractionOr("link_mbps", 0, 0, kMaxMbps) * kBytesPerMbit);
  settings.longest_flow = ReadSeconds(root, "longest_flow_s", 1);
  settings.stop_limit = ReadSeconds(root, "stop_limit_s", 0);
  if (is_agent) {
    ReadAgent(root, settings);
  } else {
    ReadEntry(root, settings);
  }
  root.Finish();
  result.errors = parsed.Errors();
  return result;
}

packet_options ReadPacketOptions(int argc,
                                 char** argv,
                                 const std::string& program,
                                 bool is_agent) {
  const daemon_command_line line = ParseDaemonCommandLine(argc, argv, program);
  if (line.exit_code) {
    return ExitWith(*line.exit_code);
  }
  return Load(line.settings_path, is_agent, line.check_only);
}

}  // namespace corianderplank
