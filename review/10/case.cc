// Another writer leaves an entry without the field `born` in the store. It
// names a service of the configuration and the address of a living target of
// another service. Counts resets of open flows that their target did not send.

#include "../standins-2/deployment.h"

int main(int argc, char** argv) {
  using namespace review;
  const Arguments arguments = Parse(argc, argv);
  Record record(arguments.record);
  int result = 2;
  {
    Deployment world(arguments.folder, record, KeyBytes::as_they_are, 3,
                     {"desk", "desk", "desk", "yard"});
    const std::set<std::string> services = {"desk", "yard"};
    world.store.Put("op/config",
                    Configuration(3, {{"127.198.0.1", 8443, "safe", "desk"},
                                      {"127.198.0.2", 8443, "upload", "yard"}}, services));
    world.Start();
    std::vector<FlowKey> flows;
    for (int i = 0; i < 60; ++i) {
      flows.push_back(world.clients.Open("127.198.0.1", 8443, 20, true));
      world.RunFor(0.02);
    }
    std::size_t turn = 0;
    const auto ask = [&] { world.clients.Again(flows[turn++ % flows.size()], 20); };
    world.RunFor(4, 0.02, ask);
    const std::size_t before = world.clients.Resets().size();
    if (arguments.trouble) {
      record.Line("another writer puts an entry without born");
      world.store.Put("servers/i-77",
                      "{\"Service\":\"yard\",\"Address\":\"" + SideIp(0) + ":" +
                          std::to_string(kAppPort) +
                          "\",\"Zone\":\"karaganda\",\"Version\":\"v1\",\"Concurrency\":4,"
                          "\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":4}");
    }
    world.RunFor(12, 0.02, ask);
    int broken = 0, open = 0;
    for (std::size_t i = before; i < world.clients.Resets().size(); ++i) {
      const Reset& reset = world.clients.Resets()[i];
      for (const auto& target : world.targets) {
        if (target->HasOpen(reset.key) && !target->HasReset(reset.key)) {
          ++broken;
          record.Line("FLOW %s: reset by the system, open at %s", Name(reset.key).c_str(), target->Id().c_str());
        }
      }
    }
    for (const FlowKey& flow : flows) {
      open += world.clients.IsOpen(flow) ? 1 : 0;
    }
    record.Line("open flows that got a reset which their target did not send: %d; flows still open %d of %zu", broken, open, flows.size());
    std::printf("open flows that got a reset which their target did not send: %d; flows still open: %d of %zu\n", broken, open, flows.size());
    result = broken > 0 ? 1 : 0;
  }
  std::fflush(nullptr);
  std::_Exit(result);
}
