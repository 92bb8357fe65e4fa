// Case 1: an entry of another writer, with fields missing, names the address
// of a target under another service. Are that target's flows kept?
#include "../standins/standins.h"

using namespace review;

int main(int, char** arguments) {
  deployment here(arguments[1]);
  here.Start();
  event_loop& loop = here.shared.loop;
  // Flows of both services, each with a request every 300 ms.
  for (int index = 0; index < 8; ++index) {
    here.user->Open(here.desk_address);
    here.user->Open(here.yard_address);
    loop.RunFor(millis(40));
  }
  loop.Every(millis(300), [&] {
    for (const auto& flow : here.user->Flows()) {
      here.user->Request(flow);
    }
  });
  loop.RunFor(millis(4000));
  int open_before = 0, answers_before = 0;
  for (const auto& flow : here.user->Flows()) {
    open_before += flow->state == flow_state::open ? 1 : 0;
    answers_before += flow->answers;
  }
  if (open_before < 16 || answers_before < 32) {
    here.Finish(false, "not run: the flows were not served at the start");
    return kNotRun;
  }
  const target& victim = *here.targets[0];
  int held_by_victim = 0;
  for (const auto& flow : here.user->Flows()) {
    held_by_victim +=
        victim.HoldsFlow(flow->local, flow->service) ? 1 : 0;
  }
  if (held_by_victim == 0) {
    here.Finish(false, "not run: no flow was opened at the target");
    return kNotRun;
  }
  if (WithTrouble()) {
    // Neither Version nor ColdRemainingMs nor Seq.
    here.platform->Put(
        "servers/x-inventory",
        "{\"Service\":\"yard\",\"Address\":\"" + Format(victim.App()) +
            "\",\"Zone\":\"a\",\"Concurrency\":4,\"State\":\"ready\"}");
    here.log.Line("another writer writes servers/x-inventory, with fields "
                  "missing, for %s",
                  Format(victim.App()).c_str());
  }
  loop.RunFor(millis(8000));
  int resets = 0, cut = 0;
  for (const auto& flow : here.user->Flows()) {
    int own = 0;
    for (const auto& item : here.targets) {
      own += item->ResetsSent(flow->local, flow->service);
    }
    const target* holder = here.HolderOf(*flow);
    if (flow->state == flow_state::reset && own == 0 && holder != nullptr) {
      ++resets;
      cut += flow->waiting ? 1 : 0;
      here.log.Line("FLOW: %s was reset although target %s holds it and lives",
                    Format(flow->local).c_str(), holder->Id().c_str());
    }
  }
  return here.Finish(
      resets > 0, std::to_string(resets) + " of 16 open flows (" +
                      std::to_string(held_by_victim) +
                      " at the named address) were reset although their "
                      "targets hold them and sent no reset; " +
                      std::to_string(cut) + " had a request in flight");
}
