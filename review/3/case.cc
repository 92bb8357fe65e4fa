// Case 3: a target drains; then an entry of another writer, with fields
// missing, names the same address. Do new flows still reach the target later
// than DrainMs?
#include "../standins/standins.h"

using namespace review;

namespace {

constexpr millis kDrain{3000};           // DrainMs
constexpr millis kEntryAfterDrain{1000};  // when the other writer writes
constexpr millis kServesOn{15000};        // the target exits later

}  // namespace

int main(int, char** arguments) {
  deployment here(arguments[1]);
  here.Start();
  event_loop& loop = here.shared.loop;
  // Ten new flows a second, each with one request.
  loop.Every(millis(100), [&] {
    here.user->Open(here.desk_address);
  });
  loop.Every(millis(20), [&] {
    for (const auto& flow : here.user->Flows()) {
      if (flow->answers == 0) {
        here.user->Request(flow);
      }
    }
  });
  loop.RunFor(millis(3000));
  target& leaving = *here.targets[0];
  if (leaving.openings.empty()) {
    here.Finish(false, "not run: the target got no flow at the start");
    return kNotRun;
  }
  const steady::time_point acknowledged = leaving.Drain();
  loop.RunFor(kEntryAfterDrain);
  if (WithTrouble()) {
    // Neither Version nor ColdRemainingMs nor Seq.
    here.platform->Put(
        "servers/x-inventory",
        "{\"Service\":\"desk\",\"Address\":\"" + Format(leaving.App()) +
            "\",\"Zone\":\"a\",\"Concurrency\":4,\"State\":\"ready\"}");
    here.log.Line("another writer writes servers/x-inventory, with fields "
                  "missing, for %s",
                  Format(leaving.App()).c_str());
  }
  loop.RunUntil(kServesOn,
                [&] { return steady::now() > acknowledged + kServesOn; });
  int late = 0;
  double latest = 0;
  for (const opening_seen& seen : leaving.openings) {
    if (seen.at > acknowledged + kDrain) {
      ++late;
      latest = std::chrono::duration<double>(seen.at - acknowledged).count();
      here.log.Line("DRAIN: target %s took the flow of %s %.3f s after the "
                    "acknowledgement of its state",
                    leaving.Id().c_str(), Format(seen.client).c_str(), latest);
    }
  }
  return here.Finish(late > 0,
                     std::to_string(late) + " new flows reached the target "
                     "later than DrainMs after the store acknowledged that it "
                     "drains, the last one " + std::to_string(latest) +
                     " s after");
}
