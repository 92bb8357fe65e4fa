/// @file
/// Tests of the packet daemons' settings: parsing, validation and reload.

#include <doctest/doctest.h>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "packet/settings_watcher.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const char* const kEntrySettings = R"(name = "entry-1"
failure_domain = "north"
packets = "10.0.0.1:8172"
delivery_port = 7720
peer_port = 7735
readiness = "10.0.0.1:8167"
belief = "10.0.0.1:8166"
platform = "10.0.9.1:8169"
seeds = ["10.0.0.1:8166", "10.0.0.2:8166"]
longest_flow_s = 60
stop_limit_s = 6
link_mbps = 10.5
)";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

TEST_CASE("ParsePacketSettings reads the settings of an entry") {
  const auto parsed = ParsePacketSettings("e.toml", kEntrySettings, false);
  REQUIRE(parsed.errors.empty());
  CHECK(parsed.settings.packet_port == 8172);
  CHECK(parsed.settings.seeds.size() == 2);
  CHECK(parsed.settings.stop_limit == 6s);
  CHECK(parsed.settings.link_bytes_per_second == 1312500);
  CHECK_FALSE(parsed.settings.first_start);
}

TEST_CASE("an agent watches answers if the health agreement is in force") {
  const std::string agent = Replace(
      kEntrySettings,
      "belief = \"10.0.0.1:8166\"\nplatform = \"10.0.9.1:8169\"\n",
      "service = \"a\"\ntarget = \"10.0.0.1:1\"\noutbound = \"10.0.0.1:2\"\n");
  const auto watches = [&](const std::string& agreements) {
    const auto parsed =
        ParsePacketSettings("a.toml", agent + agreements, /*is_agent=*/true);
    REQUIRE(parsed.errors.empty());
    return parsed.settings.watches_answers;
  };
  CHECK_FALSE(watches(""));
  CHECK_FALSE(watches("agreements = []\n"));
  CHECK_FALSE(watches("agreements = [\"base\", \"unhealthy\"]\n"));
  CHECK(watches("agreements = [\"base\", \"health\", \"drain\"]\n"));
  CHECK_FALSE(ParsePacketSettings("a.toml", agent + "agreements = \"health\"\n",
                                  /*is_agent=*/true)
                  .errors.empty());
}

TEST_CASE("errors name the file, the setting and the accepted values") {
  struct invalid_case {
    std::string from;
    std::string to;
    std::string expected;
  };
  const std::vector<invalid_case> cases = {
      {"7720", "70000", "delivery_port"},
      {"\"10.0.9.1:8169\"", "\"nowhere\"", "platform"},
      {"longest_flow_s = 60", "longest_flow_s = \"x\"", "longest_flow_s"},
      {"name =", "nam =", "nam"},
      {"stop_limit_s = 6\n", "", "stop_limit_s"},
  };
  for (const invalid_case& invalid : cases) {
    const auto parsed = ParsePacketSettings(
        "e.toml", Replace(kEntrySettings, invalid.from, invalid.to), false);
    REQUIRE_FALSE(parsed.errors.empty());
    const std::string text = FormatConfigError(parsed.errors.front());
    CHECK_MESSAGE(text.find("e.toml") != std::string::npos, text);
    CHECK_MESSAGE(text.find(invalid.expected) != std::string::npos, text);
    CHECK_MESSAGE(text.find("accepted") != std::string::npos, text);
  }
  CHECK_FALSE(ParsePacketSettings("e.toml", "= = =", false).errors.empty());
  CHECK_FALSE(
      ParsePacketSettings("e.toml", kEntrySettings, true).errors.empty());
}

// Guards against processes that do not start on a deployment whose bounds are
// fractions, or whole numbers written as such.
TEST_CASE("an agent's pace is by slots unless its answers decide") {
  const std::string agent = Replace(kEntrySettings, "belief", "target") +
                            "outbound = \"10.0.0.1:8162\"\nservice = \"s\"\n";
  const std::string text = Replace(agent, "platform = \"10.0.9.1:8169\"\n", "");
  CHECK_FALSE(ParsePacketSettings("a.toml", text, true).settings.learns_pace);
  const auto learned =
      ParsePacketSettings("a.toml", text + "pace = \"learned\"\n", true);
  CHECK(learned.errors.empty());
  CHECK(learned.settings.learns_pace);
  const auto wrong =
      ParsePacketSettings("a.toml", text + "pace = \"fast\"\n", true);
  REQUIRE(wrong.errors.size() == 1);
  CHECK(wrong.errors.front().key == "pace");
}

TEST_CASE("times in seconds may be fractions") {
  const auto fractions =
      ParsePacketSettings("e.toml",
                          Replace(Replace(kEntrySettings, "longest_flow_s = 60",
                                          "longest_flow_s = 60.0"),
                                  "stop_limit_s = 6", "stop_limit_s = 4.25"),
                          false);
  REQUIRE(fractions.errors.empty());
  CHECK(fractions.settings.longest_flow == 60s);
  CHECK(fractions.settings.stop_limit == 4250ms);
  for (const std::string invalid :
       {"nan", "inf", "-0.5", "1e300", "true", "\"6\""}) {
    CAPTURE(invalid);
    const std::string key = "stop_limit_s = ";
    const auto parsed = ParsePacketSettings(
        "e.toml", Replace(kEntrySettings, key + "6", key + invalid), false);
    CHECK(parsed.errors.size() == 1);
  }
}

// Guards against a conversion of NaN, which has no result.
TEST_CASE("a link's rate is a finite number") {
  for (const std::string invalid : {"nan", "-nan", "inf", "-1.0"}) {
    CAPTURE(invalid);
    const auto parsed = ParsePacketSettings(
        "e.toml", Replace(kEntrySettings, "10.5", invalid), false);
    CHECK(parsed.errors.size() == 1);
  }
}

/// Temporary settings file that the destructor removes.
struct settings_file {
  settings_file() {
    char name[] = "/tmp/packet-settings-XXXXXX";
    const int descriptor = ::mkstemp(name);
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    path = name;
    Write(kEntrySettings);
  }
  ~settings_file() { ::unlink(path.c_str()); }
  void Write(const std::string& text) const { std::ofstream(path) << text; }

  std::string path;
};

TEST_CASE("SIGHUP reloads the file; invalid settings are ignored") {
  settings_file file;
  event_loop loop;
  int changes = 0;
  packet_settings current =
      ParsePacketSettings("e.toml", kEntrySettings, false).settings;
  settings_watcher watcher(loop, file.path, current, false,
                           [&](const packet_settings& changed) {
                             ++changes;
                             current = changed;
                             // Any further change would be handled before.
                             loop.After(80ms, [&] { loop.Stop(); });
                           });
  watcher.Start();
  loop.After(20ms, [] { std::raise(SIGHUP); });
  loop.After(60ms, [&] {
    CHECK(changes == 0);
    file.Write("stop_limit_s = -1");
    std::raise(SIGHUP);
  });
  loop.After(120ms, [&] {
    CHECK(changes == 0);
    file.Write(Replace(kEntrySettings, "stop_limit_s = 6", "stop_limit_s = 9"));
    std::raise(SIGHUP);
  });
  // Stopping at a fixed time would race with the last signal on a busy machine.
  loop.After(10s, [&] { loop.Stop(); });
  loop.Run();
  CHECK(changes == 1);
  CHECK(current.stop_limit == 9s);
}

TEST_CASE("a changed file is reloaded without a signal") {
  settings_file file;
  event_loop loop;
  packet_settings current =
      ParsePacketSettings("e.toml", kEntrySettings, false).settings;
  settings_watcher watcher(loop, file.path, current, false,
                           [&](const packet_settings& changed) {
                             current = changed;
                             loop.Stop();
                           });
  watcher.Start();
  loop.After(50ms, [&] {
    file.Write(
        Replace(kEntrySettings, "stop_limit_s = 6", "stop_limit_s = 10"));
  });
  loop.After(10s, [&] { loop.Stop(); });
  loop.Run();
  CHECK(current.stop_limit == 10s);
}

}  // namespace
}  // namespace corianderplank
