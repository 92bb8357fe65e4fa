#include "link/route_sizes.h"

namespace corianderplank {
namespace {

/// Weight of the latest request in the mean.
constexpr double kLearningWeight = 0.1;

}  // namespace

std::size_t route_sizes::hash_of_route::operator()(
    const endpoint& route) const {
  return static_cast<std::size_t>(MixHash(route.address, route.port));
}

void route_sizes::Learn(const endpoint& route, std::uint64_t bytes) {
  // Bare acknowledgements, as after the end of an upload, say nothing about the
  // size of requests.
  if (bytes == 0) {
    return;
  }
  const auto [found, added] =
      mean_bytes_.try_emplace(route, static_cast<double>(bytes));
  if (!added) {
    found->second +=
        kLearningWeight * (static_cast<double>(bytes) - found->second);
  }
}

std::uint64_t route_sizes::Expected(const endpoint& route) const {
  const auto found = mean_bytes_.find(route);
  return found == mean_bytes_.end() ? 0
                                    : static_cast<std::uint64_t>(found->second);
}

}  // namespace corianderplank
