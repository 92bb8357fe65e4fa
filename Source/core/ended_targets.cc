#include "core/ended_targets.h"

namespace corianderplank {
namespace {

constexpr int kMachineBits = 32;

}  // namespace

bool ended_targets::Record(time_point now, const ended_target& record) {
  const auto [found, added] = ends_.try_emplace(record.machine);
  if (!added && found->second.revision >= record.revision) {
    return false;
  }
  found->second = {record.revision, now};
  return true;
}

bool ended_targets::HasTargetEnded(std::uint32_t machine,
                                   const source_revision& revision) const {
  const auto found = ends_.find(machine);
  return found != ends_.end() && revision <= found->second.revision;
}

void ended_targets::Expire(time_point now) {
  std::erase_if(ends_, [&](const auto& item) {
    return now - item.second.recorded_at > lifetime_;
  });
}

std::vector<ended_target> ended_targets::All() const {
  std::vector<ended_target> all;
  all.reserve(ends_.size());
  for (const auto& [machine, end] : ends_) {
    all.push_back({machine, end.revision});
  }
  return all;
}

std::uint32_t ended_targets::Digest() const {
  std::uint64_t sum = 0;
  for (const auto& [machine, end] : ends_) {
    sum += MixHash(machine ^ (end.revision.epoch << kMachineBits),
                   end.revision.number);
  }
  return static_cast<std::uint32_t>(sum);
}

}  // namespace corianderplank
