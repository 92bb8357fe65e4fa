/// @file
/// Tests of fleet_update_fetcher: large states cross slow links.

#include <doctest/doctest.h>

#include <string>

#include "core/counters.h"
#include "net/sleep_clock.h"
#include "paced_server.h"
#include "packet/fleet_update_fetcher.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const endpoint kPeer = ParseEndpoint("127.0.5.1:28811");
constexpr std::chrono::milliseconds kLimit{10000};

/// @return the configuration text that is fetched from the peer; empty if the
/// fetch fails.
std::string Fetch(const fleet_update& update, const response_pace& pace) {
  event_loop loop;
  counters counted;
  const paced_server peer(loop, kPeer,
                          EncodeFleetUpdate(update, ClockWithSleep()), pace);
  std::string configuration;
  fleet_update_fetcher fetcher(loop, kPeer.port, counted,
                               [&](const fleet_update& fetched) {
                                 configuration = fetched.configuration;
                                 loop.Stop();
                               });
  loop.Every(10ms, [&] {
    if (counted.Get(result_code::read_failed) != 0) {
      loop.Stop();
    }
  });
  loop.After(kLimit, [&] { loop.Stop(); });
  fetcher.Fetch(kPeer.address);
  loop.Run();
  return configuration;
}

fleet_update LargeUpdate() {
  fleet_update update;
  update.revision = 7;
  update.configuration_version = 3;
  // Text that cannot be compressed much.
  for (std::uint64_t number = 0; update.configuration.size() < 500000;
       ++number) {
    update.configuration += std::to_string(MixHash(number, 1));
  }
  return update;
}

// Guards against configurations that never reach entries with slow links, since
// each fetch is aborted before the text has arrived.
TEST_CASE("a fetch outlasts its timeout while bytes arrive") {
  const fleet_update update = LargeUpdate();
  CHECK(Fetch(update, {.part_bytes = 10000, .period = 50ms}) ==
        update.configuration);
}

TEST_CASE("a fetch from a peer that falls silent fails") {
  CHECK(Fetch(LargeUpdate(),
              {.part_bytes = 10000, .period = 50ms, .stalls_after = 100000})
            .empty());
}

}  // namespace
}  // namespace corianderplank
