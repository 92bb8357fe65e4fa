#include "core/agent_completeness.h"

namespace corianderplank {

void agent_completeness::Set(machine_address machine, bool complete) {
  const auto [item, added] = complete_.try_emplace(machine, true);
  if (item->second != complete) {
    item->second = complete;
    incomplete_count_ += complete ? -1 : 1;
  }
}

bool agent_completeness::IsComplete(machine_address machine) const {
  const auto found = complete_.find(machine);
  return found == complete_.end() ? !IsMostlyIncomplete() : found->second;
}

void agent_completeness::Retain(const fleet_index& index) {
  std::erase_if(complete_, [&](const auto& item) {
    const bool removed = index.FindTarget(item.first) == nullptr;
    incomplete_count_ -= removed && !item.second ? 1 : 0;
    return removed;
  });
}

}  // namespace corianderplank
