// Case 4: the configuration grows by many routes, and the machines of the
// entries have links of 10 Mbit/s. Is it in force within ConfigApplyMs?
#include "../standins/standins.h"

using namespace review;

namespace {

// Figures of the site file; claim.txt quotes them.
constexpr int kUsualRoutes = 40;
constexpr int kMoreRoutes = 1648;  // big_config
constexpr int kGrowths = 4;
constexpr std::uint64_t kLinkBytesPerSecond = 1250000;
constexpr std::size_t kMaxValueBytes = 1048576;
constexpr millis kConfigApply{5000};

void AddIdleRoutes(configuration& config, int count) {
  const std::uint32_t first = ParseIp("127.250.64.0");
  for (int index = 0; index < count; ++index) {
    const auto number = static_cast<std::uint32_t>(config.routes.size());
    config.routes.push_back({"r-idle" + std::to_string(1000 + number),
                             {first + number, 8443},
                             "desk",
                             "safe"});
  }
}

}  // namespace

int main(int, char** arguments) {
  deployment here(arguments[1]);
  AddIdleRoutes(here.config, kUsualRoutes);
  here.Start(kLinkBytesPerSecond);
  event_loop& loop = here.shared.loop;
  const std::uint32_t added_ip = ParseIp("127.250.0.9");
  int refused = 0, sent = 0;
  for (int growth = 0; growth < kGrowths; ++growth) {
    // Without the disruption, each version adds one route only.
    const endpoint added{added_ip, static_cast<std::uint16_t>(9000 + growth)};
    here.config.routes.insert(
        here.config.routes.begin() + 2,
        {"r-added" + std::to_string(growth), added, "desk", "safe"});
    if (WithTrouble()) {
      AddIdleRoutes(here.config, kMoreRoutes);
    }
    if (here.config.Text().size() > kMaxValueBytes) {
      here.Finish(false, "not run: the configuration is too large");
      return kNotRun;
    }
    const steady::time_point acknowledged = here.Publish();
    loop.RunUntil(millis(20000), [&] {
      return steady::now() > acknowledged + kConfigApply + millis(200);
    });
    for (int round = 0; round < (growth + 1 < kGrowths ? 1 : 6); ++round) {
      const double age =
          std::chrono::duration<double>(steady::now() - acknowledged).count();
      std::vector<std::shared_ptr<client::flow>> flows;
      for (unsigned entry = 1; entry <= 3; ++entry) {
        flows.push_back(here.user->Open(added, {}, here.shared.Ip(entry)));
      }
      loop.RunFor(millis(1500));
      for (const auto& flow : flows) {
        ++sent;
        if (flow->state != flow_state::open) {
          ++refused;
          here.log.Line("CONFIG: a flow to the route of version %lld, sent "
                        "%.1f s after the acknowledgement, got %s",
                        here.config.version, age,
                        flow->state == flow_state::reset ? "a reset"
                                                         : "no answer");
        }
      }
    }
  }
  return here.Finish(
      refused > 0, std::to_string(refused) + " of " + std::to_string(sent) +
                       " flows to a route that is there were refused later "
                       "than ConfigApplyMs after its acknowledgement");
}
