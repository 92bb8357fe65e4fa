#include "core/sibling_view.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Age from which a reported load is no reason to pass an open on.
constexpr auto kLoadLifetime = 10s;

/// Targets that left the document and can still be asked for their flows.
constexpr std::size_t kMaxFormer = 64;

std::uint32_t ExpectedPermille(const sibling& item) {
  return item.load_permille + (item.passed + 1) * 1000 / item.slots;
}

bool Contains(std::span<const target_id> visited, target_id id) {
  return std::find(visited.begin(), visited.end(), id) != visited.end();
}

}  // namespace

void sibling_view::Configure(const service& of,
                             target_id self,
                             const instance_list& instances) {
  std::vector<sibling> next;
  for (const target& item : of.targets) {
    if (item.id == self) {
      continue;
    }
    const auto known =
        std::find_if(siblings_.begin(), siblings_.end(),
                     [&](const sibling& old) { return old.id == item.id; });
    sibling entry = known == siblings_.end() ? sibling{} : *known;
    entry.id = item.id;
    entry.agent = item.agent;
    entry.control = item.control;
    entry.slots = std::max(1U, item.slots);
    entry.leaving = false;
    next.push_back(entry);
  }
  for (const instance& item : instances.instances) {
    if (item.role != instance_role::agent) {
      continue;
    }
    for (sibling& entry : next) {
      if (entry.id == TargetIdOf(item.name)) {
        entry.agent = item.data;
        entry.control = item.control;
        entry.leaving = item.leaving;
      }
    }
  }
  KeepFormer(next);
  siblings_ = std::move(next);
}

void sibling_view::KeepFormer(std::vector<sibling>& next) const {
  std::size_t kept = 0;
  for (const sibling& item : siblings_) {
    const bool listed =
        std::any_of(next.begin(), next.end(),
                    [&](const sibling& other) { return other.id == item.id; });
    if (!listed && ++kept <= kMaxFormer) {
      next.push_back(item);
      next.back().leaving = true;
    }
  }
}

bool sibling_view::OnLoad(time_point now,
                          const endpoint& from,
                          target_id id,
                          std::uint32_t load_permille,
                          bool serving) {
  for (sibling& item : siblings_) {
    if (item.id == id && item.agent == from) {
      item.load_permille = load_permille;
      item.serving = serving;
      item.passed = 0;
      item.reported = true;
      item.reported_at = now;
      return true;
    }
  }
  return false;
}

sibling* sibling_view::Better(time_point now,
                              std::uint32_t own_permille,
                              bool must_leave,
                              std::span<const target_id> visited) {
  sibling* best = nullptr;
  for (sibling& item : siblings_) {
    if (item.leaving || !item.serving || Contains(visited, item.id)) {
      continue;
    }
    const bool fresh = item.reported && now - item.reported_at < kLoadLifetime;
    if (!fresh && !must_leave) {
      continue;
    }
    if (best == nullptr || ExpectedPermille(item) < ExpectedPermille(*best)) {
      best = &item;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  if (!must_leave && ExpectedPermille(*best) >= own_permille) {
    return nullptr;
  }
  ++best->passed;
  return best;
}

const sibling* sibling_view::Find(target_id id) const {
  const auto found =
      std::find_if(siblings_.begin(), siblings_.end(),
                   [id](const sibling& item) { return item.id == id; });
  return found == siblings_.end() ? nullptr : &*found;
}

}  // namespace corianderplank
