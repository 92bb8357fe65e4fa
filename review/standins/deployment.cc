// The small deployment that all scripts use.
#include <cstdlib>
#include <filesystem>

#include "standins.h"

namespace review {
namespace {

constexpr millis kReadyTimeout{10000};
// Time for the first lists and reports to reach all entries.
constexpr millis kSettleTime{2500};

}  // namespace

deployment::deployment(const std::string& record_path) : log(record_path) {
  shared.log = &log;
  const char* folder = std::getenv("CASE_FOLDER");
  if (folder == nullptr) {
    std::fprintf(stderr, "CASE_FOLDER is not set\n");
    std::exit(kNotRun);
  }
  shared.folder = folder;
  shared.Reserve();
  config.services = {"desk", "yard"};
  desk_address = {ParseIp("127.250.0.1"), 8443};
  yard_address = {ParseIp("127.250.0.2"), 8443};
  config.routes = {{"r-desk", desk_address, "desk", "safe"},
                   {"r-yard", yard_address, "yard", "unsafe"}};
}

void deployment::Start(std::uint64_t link_bytes_per_second) {
  log.Line("%s", WithTrouble() ? "with the disruption"
                               : "without the disruption (TROUBLE=0)");
  platform = std::make_unique<store>(shared);
  platform->LimitLinks(link_bytes_per_second);
  platform->Put("op/config", config.Text());
  ingress = std::make_unique<routers>(shared);
  system = std::make_unique<processes>(shared);
  system->seeds = {1, 2, 3};
  const struct {
    unsigned machine;
    const char* id;
    const char* service;
    const char* zone;
  } sides[] = {{11, "i-desk-1", "desk", "a"},
               {12, "i-desk-2", "desk", "b"},
               {13, "i-yard-1", "yard", "a"},
               {14, "i-yard-2", "yard", "b"}};
  for (const auto& side : sides) {
    targets.push_back(std::make_unique<target>(shared, *platform, side.machine,
                                               side.id, side.service,
                                               side.zone));
    targets.back()->Start();
    system->StartAgent(side.machine, side.zone, side.service, true);
  }
  const char* zones[] = {"a", "b", "c"};
  for (unsigned entry = 1; entry <= 3; ++entry) {
    system->StartEntry(entry, zones[entry - 1], *platform, true);
    ingress->Add(shared.Ip(entry));
  }
  ingress->Start();
  user = std::make_unique<client>(shared, *ingress, 21);
  shared.loop.RunFor(kSettleTime);
  const bool ready = shared.loop.RunUntil(
      kReadyTimeout, [&] { return ingress->InRotation().size() == 3; });
  for (const unsigned machine : {1U, 2U, 3U, 11U, 12U, 13U, 14U}) {
    if (!ready || !system->IsRunning(machine)) {
      log.Line("not run: the deployment did not become ready");
      std::printf("not run: the deployment did not become ready\n");
      system->EndAll();
      std::exit(kNotRun);
    }
  }
  log.Line("the deployment is ready");
}

steady::time_point deployment::Publish() {
  ++config.version;
  const std::string text = config.Text();
  platform->Put("op/config", text);
  log.Line("the store acknowledges configuration version %lld (%zu bytes)",
           config.version, text.size());
  return steady::now();
}

target* deployment::HolderOf(const client::flow& flow) {
  for (const auto& item : targets) {
    if (item->HoldsFlow(flow.local, flow.service)) {
      return item.get();
    }
  }
  return nullptr;
}

int deployment::Finish(bool broken, const std::string& what) {
  system->EndAll();
  log.Line("%s: %s", broken ? "broken" : "held", what.c_str());
  std::printf("%s: %s\n", broken ? "broken" : "held", what.c_str());
  return broken ? kBroken : kHeld;
}

}  // namespace review
