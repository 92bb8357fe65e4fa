/// @file
/// Documents, settings, histogram, metrics and the event ring.

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "product/admin_pages.h"
#include "product/document_parser.h"
#include "product/event_ring.h"
#include "product/latency_histogram.h"
#include "product/settings.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

std::string Read(const std::string& path) {
  std::string text;
  REQUIRE(ReadFile(path, text));
  return text;
}

void CompareErrors(const std::string& name) {
  const std::string folder = std::string(CHECK_FOLDER) + "/" + name;
  const parsed_document parsed =
      ParseDocument("input.toml", Read(folder + "/input.toml"), {});
  std::string seen;
  for (const config_error& error : parsed.errors) {
    seen += FormatConfigError(error) + "\n";
  }
  const std::string expected = Read(folder + "/expected.txt");
  if (seen != expected) {
    std::ofstream(name + ".seen.txt") << seen;
  }
  CHECK_MESSAGE(seen == expected, "see ", name, ".seen.txt");
}

TEST_CASE("each error of a document is told with place and remedy") {
  CompareErrors("valid");
  CompareErrors("all_errors");
  CompareErrors("syntax");
}

TEST_CASE("a document becomes values") {
  const std::string text =
      Read(std::string(CHECK_FOLDER) + "/valid/input.toml");
  const parsed_document parsed = ParseDocument("file", text, {12});
  REQUIRE(parsed.errors.empty());
  const environment_document& document = parsed.document;
  CHECK(document.environment == "steppe");
  CHECK(document.revision.value == 12);
  CHECK(document.source == text);
  const service* of = FindService(document, ServiceIdOf("tracking-gateway"));
  REQUIRE(of != nullptr);
  CHECK(of->classes[1].work == work_kind::feed);
  CHECK(of->classes[1].max_share_permille == 500);
  const target* item = FindTarget(*of, TargetIdOf("tracking-1"));
  REQUIRE(item != nullptr);
  CHECK(item->agent == ParseEndpoint("127.0.2.1:6000"));
  CHECK(item->slots == 4);
}

TEST_CASE("targets take what they leave out from their service") {
  const std::string text = R"(environment = "e"
[[service]]
name = "s"
port = 1
[[service.class]]
name = "c"
[service.target_defaults]
agent_port = 6000
control_port = 6001
backend_port = 8000
slots = 4
connections = 2000
[[service.target]]
name = "a"
failure_domain = "d"
host = "127.0.2.1"
[[service.target]]
name = "b"
failure_domain = "d"
host = "127.0.2.2"
backend = "127.0.2.2:9000"
slots = 7
)";
  const parsed_document parsed = ParseDocument("file", text, {1});
  REQUIRE(parsed.errors.empty());
  const auto& targets = parsed.document.services[0].targets;
  CHECK(targets[0].agent == ParseEndpoint("127.0.2.1:6000"));
  CHECK(targets[0].control == ParseEndpoint("127.0.2.1:6001"));
  CHECK(targets[0].slots == 4);
  CHECK(targets[1].backend == ParseEndpoint("127.0.2.2:9000"));
  CHECK(targets[1].slots == 7);
  const parsed_document bad =
      ParseDocument("file",
                    text +
                        "[[service.target]]\nname = \"c\"\nfailure_domain = "
                        "\"d\"\nhost = \"127.0.2.2\"\n",
                    {1});
  REQUIRE(bad.errors.size() == 1);
  CHECK(bad.errors[0].key == "service[0].target[2].host");
}

TEST_CASE("instance lists are read and malformed ones refused") {
  const auto list = ParseInstances(
      R"({"version":3,"instances":[{"name":"a","role":"agent","service":"s",
      "data":"127.0.0.1:1","control":"127.0.0.1:2","state":"leaving"}]})");
  REQUIRE(list);
  CHECK(list->version == 3);
  CHECK(list->instances[0].leaving);
  CHECK(list->instances[0].role == instance_role::agent);
  CHECK_FALSE(ParseInstances("{"));
  CHECK_FALSE(ParseInstances(R"({"version":"x","instances":[]})"));
}

TEST_CASE("settings are checked, unknown keys among them") {
  const std::string good =
      "name = \"a\"\nenvironment = \"e\"\nfailure_domain = \"d\"\n"
      "data = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:2\"\n"
      "admin = \"127.0.0.1:3\"\nplatform = \"127.0.0.1:4\"\n";
  CHECK(ParseSettings("f", good, false).errors.empty());
  const auto agent = ParseSettings("f", good, true);
  REQUIRE(agent.errors.size() == 2);
  CHECK(agent.errors[0].key == "service");
  CHECK(agent.errors[1].key == "backend");
  const auto bad =
      ParseSettings("f", good + "colour = 1\nlog_level = \"loud\"\n", false);
  REQUIRE(bad.errors.size() == 2);
  CHECK(bad.errors[0].key == "log_level");
  CHECK(bad.errors[1].key == "colour");
  CHECK(bad.errors[1].line == 8);
}

TEST_CASE("quantiles are within two percent") {
  latency_histogram histogram;
  CHECK(histogram.Quantile(0.5).count() == 0);
  for (int value = 1; value <= 10000; ++value) {
    histogram.Add(std::chrono::microseconds(value));
  }
  CHECK(histogram.Count() == 10000);
  CHECK(histogram.Quantile(0.5).count() >= 5000);
  CHECK(histogram.Quantile(0.5).count() <= 5150);
  CHECK(histogram.Quantile(0.99).count() >= 9900);
  CHECK(histogram.Quantile(0.99).count() <= 10200);
}

TEST_CASE("the event ring is bounded and says what it dropped") {
  event_ring ring;
  for (std::uint64_t number = 0; number < 20100; ++number) {
    recorded_event event;
    event.time_ms = static_cast<std::int64_t>(number);
    ring.Add(event);
  }
  CHECK(ring.Dropped() == 100);
  CHECK(ring.EventsAfter(0).size() == 20000);
  CHECK(ring.EventsAfter(20099).size() == 1);
}

TEST_CASE("every result code has a counter and a row in the docs") {
  counters counted;
  counted.Add(result_code::overloaded, 3);
  const std::string text = MetricsText("agent", "a", counted);
  const std::string docs = Read(RESULT_CODES_PAGE);
  for (const result_code_entry& entry : ResultCodeTable()) {
    const std::string name(entry.name);
    const std::string number = std::to_string(static_cast<int>(entry.code));
    CHECK(text.find("reason=\"" + name + "\"") != std::string::npos);
    const std::string row = "| " + number + " | " +
                            std::string(OutcomeName(entry.outcome)) + " | `" +
                            name + "` | " + std::string(entry.meaning) + " |";
    CHECK_MESSAGE(docs.find(row) != std::string::npos, "missing: ", row);
  }
  CHECK(text.find("reason=\"overloaded\",code=\"102\"} 3") !=
        std::string::npos);
}

}  // namespace
}  // namespace corianderplank
