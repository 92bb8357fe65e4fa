/// @file
/// Soak in virtual time: restarts, evacuations, suspensions and losses at the
/// same time, drawn from seeds. SOAK_SEEDS sets how many seeds are played.

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "planned_work.h"

namespace corianderplank {
namespace {

std::uint64_t SeedCount() {
  const char* const text = std::getenv("SOAK_SEEDS");
  return text == nullptr ? 12 : std::stoul(text);
}

/// Draws restarts, evacuations and suspensions and plays them.
/// @param read_delay time within which an entry knows of an evacuation.
void PlaySoak(planned_work& world,
              std::uint64_t seed,
              milliseconds read_delay) {
  world.LoseMessages(20);
  world.SetReadDelay(read_delay);
  world.StartVisits();
  std::mt19937_64 random(seed);
  // The end of an evacuation is known before the next one begins; otherwise an
  // entry may have reason to believe that both domains are evacuated.
  for (milliseconds at = 2000ms; at < 40000ms;
       at += milliseconds(17000 + random() % 4000)) {
    world.RestartAgents(at);
    world.RestartEntries(at + milliseconds(random() % 6000));
    world.Evacuate(at + milliseconds(random() % 3000),
                   milliseconds(6000 + random() % 5000),
                   random() % 2 == 0 ? kFailureDomain : kOtherFailureDomain);
    world.Freeze(at + milliseconds(random() % 8000),
                 milliseconds(300 + random() % 2000));
  }
  world.Run(64000ms);
  const std::size_t before = world.OtherDomainOpenings();
  world.Run(4000ms);
  CHECK(world.LateOpenings() == 0);
  CHECK(world.OtherDomainOpenings() > before);
  CHECK(world.OpenFlows() == kClients);
  CHECK(world.BrokenFlows() == 0);
  CHECK(world.Resets() == 0);
}

}  // namespace

// Guards against new flows that reach an evacuated failure domain since an
// entry or agent was restarted, suspended or missed the notice, against flows
// that an evacuation breaks or that are refused although a domain is open, and
// against a domain that stays closed afterwards.
TEST_CASE("soak: evacuations between restarts, suspensions and losses") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    planned_work world(seed, /*hands_over=*/true, /*two_domains=*/true);
    PlaySoak(world, seed, 2500ms);
    CHECK(world.RefusedVisits() == 0);
  }
}

// Guards against the same through entries that learn of an evacuation only
// after the bound. One that has missed the end of an evacuation may refuse
// flows when the other domain is evacuated: to its knowledge both are.
TEST_CASE("soak: evacuations that some entries miss") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    CAPTURE(seed);
    planned_work world(seed, /*hands_over=*/true, /*two_domains=*/true);
    PlaySoak(world, seed, 8000ms);
  }
}

}  // namespace corianderplank
