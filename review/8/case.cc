// The operator moves a route to another service, and retires the old service in
// a later version. Open flows stay where they are. Counts resets of open flows
// that their target did not send.

#include "../standins-2/deployment.h"

int main(int argc, char** argv) {
  using namespace review;
  const Arguments arguments = Parse(argc, argv);
  Record record(arguments.record);
  int result = 2;
  {
    Deployment world(arguments.folder, record, KeyBytes::as_they_are, 3,
                     {"desk", "desk", "yard", "yard"});
    world.store.Put("op/config", Configuration(3, {{"127.198.0.1", 8443, "safe", "desk"}},
                                               {"desk", "yard"}));
    world.Start();
    std::vector<FlowKey> flows;
    for (int i = 0; i < 40; ++i) {
      flows.push_back(world.clients.Open("127.198.0.1", 8443, 20, true));
      world.RunFor(0.02);
    }
    std::size_t turn = 0;
    const auto ask = [&] { world.clients.Again(flows[turn++ % flows.size()], 20); };
    world.RunFor(4, 0.02, ask);
    const std::size_t before = world.clients.Resets().size();
    const std::vector<Route> moved = {{"127.198.0.1", 8443, "safe", "yard"}};
    world.store.Put("op/config", Configuration(8, moved, {"desk", "yard"}));
    record.Line("version 8 is acknowledged: the route leads to yard");
    world.RunFor(6, 0.02, ask);
    if (arguments.trouble) {
      world.store.Put("op/config", Configuration(9, moved, {"yard"}));
      record.Line("version 9 is acknowledged: desk is not named any more");
    }
    world.RunFor(10, 0.02, ask);
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
