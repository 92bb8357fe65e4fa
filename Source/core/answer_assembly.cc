#include "core/answer_assembly.h"

namespace corianderplank {
namespace {

/// Fragments that are kept ahead of the next expected one.
constexpr std::uint32_t kMaxAhead = 64;

}  // namespace

std::vector<std::string> answer_assembly::Add(std::uint32_t index,
                                              bool last,
                                              std::string_view payload) {
  std::vector<std::string> ready;
  if (index < next_expected_ || index - next_expected_ > kMaxAhead) {
    return ready;
  }
  if (last) {
    last_ = index;
  }
  early_.emplace(index, payload);
  auto next = early_.find(next_expected_);
  while (next != early_.end() && next->first == next_expected_) {
    ready.push_back(std::move(next->second));
    next = early_.erase(next);
    ++next_expected_;
  }
  return ready;
}

std::uint64_t answer_assembly::Selective() const {
  std::uint64_t bits = 0;
  for (const auto& [index, payload] : early_) {
    const std::uint32_t offset = index - next_expected_ - 1;
    if (offset < 64) {
      bits |= std::uint64_t{1} << offset;
    }
  }
  return bits;
}

}  // namespace corianderplank
