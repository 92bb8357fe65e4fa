#include "core/counters.h"

namespace corianderplank {

void counters::Add(result_code code, std::uint64_t amount) {
  const auto index = static_cast<std::size_t>(code);
  if (index < kCapacity) {
    values_[index].fetch_add(amount, std::memory_order_relaxed);
  }
}

std::uint64_t counters::Get(result_code code) const {
  const auto index = static_cast<std::size_t>(code);
  return index < kCapacity ? values_[index].load(std::memory_order_relaxed) : 0;
}

}  // namespace corianderplank
