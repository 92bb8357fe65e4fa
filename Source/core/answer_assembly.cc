#include "core/answer_assembly.h"

namespace corianderplank {
namespace {

/// Fragments further ahead of the next expected one are dropped.
constexpr std::uint32_t kMaxFragmentsAhead = 64;

}  // namespace

std::vector<std::string> answer_assembly::Add(std::uint32_t index,
                                              bool last,
                                              std::string_view payload) {
  std::vector<std::string> in_order;
  if (index < next_expected_ || index - next_expected_ > kMaxFragmentsAhead) {
    return in_order;
  }
  if (last) {
    last_index_ = index;
  }
  out_of_order_.emplace(index, payload);
  auto next = out_of_order_.find(next_expected_);
  while (next != out_of_order_.end() && next->first == next_expected_) {
    in_order.push_back(std::move(next->second));
    next = out_of_order_.erase(next);
    ++next_expected_;
  }
  return in_order;
}

std::uint64_t answer_assembly::Selective() const {
  std::uint64_t bits = 0;
  for (const auto& [index, payload] : out_of_order_) {
    const std::uint32_t offset = index - next_expected_ - 1;
    if (offset < 64) {
      bits |= std::uint64_t{1} << offset;
    }
  }
  return bits;
}

}  // namespace corianderplank
