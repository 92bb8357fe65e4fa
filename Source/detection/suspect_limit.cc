#include "detection/suspect_limit.h"

#include <algorithm>

namespace corianderplank {
namespace {

/// Targets with less than 1/3 of a service's slots are spared at a time: more
/// that answer differently look like a change of the service, and the others
/// could not take their flows.
constexpr std::uint32_t kSparedDivisor = 3;

}  // namespace

bool suspect_limit::OnPause(time_point now,
                            machine_address machine,
                            std::chrono::milliseconds pause,
                            const std::vector<const fleet_target*>& targets) {
  std::uint32_t all_slots = 0;
  std::uint32_t spared_slots = 0;
  for (const fleet_target* item : targets) {
    const machine_address other = item->address.address;
    if (other != machine && !item->AcceptsNewFlows(now)) {
      continue;
    }
    const std::uint32_t slots = std::max(1U, item->slots);
    const auto found = suspects_.find(other);
    const bool is_spared =
        other == machine || (found != suspects_.end() && found->second.spared &&
                             now < found->second.until);
    all_slots += slots;
    spared_slots += is_spared ? slots : 0;
  }
  const bool spared = spared_slots * kSparedDivisor < all_slots;
  suspects_[machine] = {now + pause, spared};
  return spared;
}

bool suspect_limit::IsNeeded(time_point now, machine_address machine) const {
  const auto found = suspects_.find(machine);
  return found != suspects_.end() && !found->second.spared &&
         now < found->second.until;
}

void suspect_limit::Retain(const fleet_index& index) {
  std::erase_if(suspects_, [&](const auto& item) {
    return index.FindTarget(item.first) == nullptr;
  });
}

}  // namespace corianderplank
