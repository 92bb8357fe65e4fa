#include "core/answer_stream.h"

#include <algorithm>

#include "core/packet.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Maximum number of fragments in transit.
constexpr std::size_t kFragmentWindow = 32;
/// A fragment is repeated after this time; the time doubles with each try.
constexpr std::chrono::microseconds kFirstRepeatTimeout = 60ms;
constexpr std::chrono::microseconds kMaxRepeatTimeout = 1s;
constexpr std::uint32_t kMaxTimeoutDoublings = 4;
constexpr std::uint32_t kSelectiveBits = 64;

}  // namespace

void answer_stream::AppendAnswer(std::string_view body) {
  do {
    const std::string_view part = body.substr(0, kMaxPayloadBytes);
    body.remove_prefix(part.size());
    AppendMessage(std::string(part), body.empty());
  } while (!closed_);
}

void answer_stream::AppendMessage(std::string message, bool last) {
  fragments_.push_back({std::move(message), {}, 0, false});
  closed_ = last;
}

void answer_stream::Acknowledge(std::uint32_t next_expected,
                                std::uint64_t selective) {
  for (std::uint32_t bit = 0; bit < kSelectiveBits; ++bit) {
    const std::uint32_t index = next_expected + 1 + bit;
    const bool received = ((selective >> bit) & 1) != 0;
    if (received && index >= first_index_ &&
        index - first_index_ < fragments_.size()) {
      fragments_[index - first_index_].acknowledged = true;
    }
  }
  while (!fragments_.empty() && first_index_ < next_expected) {
    fragments_.pop_front();
    ++first_index_;
  }
}

bool answer_stream::IsDue(time_point now, const fragment& item) const {
  if (item.acknowledged) {
    return false;
  }
  if (item.tries == 0) {
    return true;
  }
  const std::uint32_t doublings =
      std::min(item.tries - 1, kMaxTimeoutDoublings);
  const auto timeout =
      std::min(kFirstRepeatTimeout * (1U << doublings), kMaxRepeatTimeout);
  return now - item.sent_at >= timeout;
}

void answer_stream::SendDue(
    time_point now,
    const std::function<void(const due_answer_fragment&)>& send) {
  const std::size_t limit = std::min(fragments_.size(), kFragmentWindow);
  for (std::size_t offset = 0; offset < limit; ++offset) {
    fragment& item = fragments_[offset];
    if (!IsDue(now, item)) {
      continue;
    }
    const bool last = closed_ && offset + 1 == fragments_.size();
    const std::uint32_t tries = item.tries++;
    item.sent_at = now;
    send({first_index_ + static_cast<std::uint32_t>(offset), last, tries,
          item.payload});
  }
}

}  // namespace corianderplank
