/// @file
/// Golden files: every packet of whole sessions, in virtual time.

#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "virtual_world.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

std::string ReadGolden(const std::string& name) {
  std::ifstream in(std::string(GOLDEN_FOLDER) + "/" + name + "/expected.txt");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

std::string TextOf(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

void CompareWithGolden(const std::string& name, const virtual_world& world) {
  const std::string seen = TextOf(world.Trace());
  const std::string expected = ReadGolden(name);
  if (seen != expected) {
    std::ofstream(name + ".seen.txt") << seen;
  }
  CHECK_MESSAGE(seen == expected, "see ", name, ".seen.txt");
  CHECK(world.Violations().empty());
}

world_options TracedOptions() {
  world_options options;
  options.trace = true;
  options.entries = 2;
  options.agents = 2;
  options.reports = report_policy{};
  return options;
}

TEST_CASE("session of one request") {
  virtual_world world(TracedOptions());
  const flow_id flow = world.OpenFlow();
  request_spec spec;
  spec.timeout = 2s;
  world.Submit(flow, spec, 30ms, 2500);
  world.RunFor(200ms);
  world.CloseFlow(flow);
  world.RunFor(100ms);
  CompareWithGolden("request", world);
}

TEST_CASE("session of a feed that moves when its target drains") {
  virtual_world world(TracedOptions());
  const flow_id flow = world.OpenFlow();
  request_spec spec;
  spec.work = work_kind::feed;
  spec.timeout = 60s;
  spec.count = 8;
  world.Submit(flow, spec, 0ms);
  world.RunFor(160ms);
  for (std::size_t index = 0; index < 2; ++index) {
    if (world.Agent(index).Summary().flows > 0) {
      world.DrainAgent(index, drain_reason::signal, true);
    }
  }
  world.RunFor(600ms);
  world.CloseFlow(flow);
  world.RunFor(100ms);
  CompareWithGolden("feed", world);
}

TEST_CASE("session of an upload with a refusal on the way") {
  virtual_world world(TracedOptions());
  const flow_id flow = world.OpenFlow();
  request_spec spec;
  spec.work = work_kind::upload;
  spec.timeout = 10s;
  for (std::uint64_t chunk = 0; chunk < 3; ++chunk) {
    spec.position = chunk;
    world.Submit(flow, spec, 20ms);
  }
  world.RunFor(8ms);
  for (std::size_t index = 0; index < 2; ++index) {
    world.SetBackend(index, backend_mode::sheds);
  }
  world.RunFor(15ms);
  world.Submit(flow, spec, 20ms);
  world.RunFor(100ms);
  for (std::size_t index = 0; index < 2; ++index) {
    world.SetBackend(index, backend_mode::works);
  }
  world.RunFor(1s);
  world.CloseFlow(flow);
  world.RunFor(100ms);
  CompareWithGolden("upload", world);
}

}  // namespace
}  // namespace corianderplank
