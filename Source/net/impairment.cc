#include "net/impairment.h"

namespace corianderplank {

impairment::impairment(std::uint64_t seed, const impairment_rates& rates)
    : seed_(seed), rates_(rates) {}

impairment_verdict impairment::Judge(const endpoint& to) {
  const std::lock_guard lock(mutex_);
  if (blocked_.contains(to)) {
    return impairment_verdict::lose;
  }
  const std::uint64_t draw = MixHash(seed_, ++draws_) % 1000;
  std::uint64_t limit = rates_.loss_permille;
  if (draw < limit) {
    return impairment_verdict::lose;
  }
  limit += rates_.duplicate_permille;
  if (draw < limit) {
    return impairment_verdict::duplicate;
  }
  limit += rates_.reorder_permille;
  return draw < limit ? impairment_verdict::reorder : impairment_verdict::pass;
}

void impairment::Block(std::set<endpoint> peers) {
  const std::lock_guard lock(mutex_);
  blocked_ = std::move(peers);
}

bool impairment::IsBlocked(const endpoint& to) {
  const std::lock_guard lock(mutex_);
  return blocked_.contains(to);
}

}  // namespace corianderplank
