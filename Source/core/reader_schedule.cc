#include "core/reader_schedule.h"

#include <algorithm>

namespace corianderplank {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxDoublings = 4;
/// Peers among which one try to reach a failing source each second is enough:
/// whoever succeeds tells all.
constexpr std::size_t kPeersPerTry = 8;
/// A wanted read is put off no longer than that.
constexpr milliseconds kMaxWantedSpread{100};

}  // namespace

milliseconds reader_schedule::Draw(milliseconds range) {
  const std::uint64_t draw = MixHash(self_, ++draws_);
  const auto values = static_cast<std::uint64_t>(range.count()) + 1;
  return milliseconds(static_cast<std::int64_t>(draw % values));
}

bool reader_schedule::IsDue(time_point now) const {
  const bool wanted = confirmed_at_ < wanted_since_ &&
                      now >= confirmed_at_ + periods_.wanted &&
                      now >= wanted_at_ && failures_ == 0;
  return !in_flight_ && (wanted || now >= due_at_);
}

void reader_schedule::OnReadBegin(time_point now) {
  in_flight_ = true;
  began_at_ = now;
}

void reader_schedule::OnReadEnd(time_point now, bool succeeded) {
  in_flight_ = false;
  if (succeeded) {
    failures_ = 0;
    confirmed_at_ = std::max(confirmed_at_, began_at_);
    reading_ = true;
    due_at_ = began_at_ + periods_.reading;
    return;
  }
  reading_ = false;
  const milliseconds pause =
      periods_.retry * (1 << std::min(failures_++, kMaxDoublings));
  const auto sharers = static_cast<std::int64_t>(1 + peers_ / kPeersPerTry);
  due_at_ = now + std::min(pause, periods_.silence * sharers) +
            Draw(periods_.spread * sharers) / 2;
}

void reader_schedule::OnPeerRead(time_point now,
                                 std::uint32_t peer,
                                 milliseconds age) {
  if (age >= periods_.silence) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_, now - age);
  if (reading_ && peer > self_) {
    return;
  }
  reading_ = false;
  due_at_ =
      std::max(due_at_, now - age + periods_.silence + Draw(periods_.spread));
}

void reader_schedule::OnConfirmationRequested(time_point now) {
  if (confirmed_at_ >= wanted_since_) {
    wanted_since_ = now;
    wanted_at_ = now + Draw(std::min(periods_.wanted_spread *
                                         static_cast<std::int64_t>(peers_),
                                     kMaxWantedSpread));
  }
}

}  // namespace corianderplank
