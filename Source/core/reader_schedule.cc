#include "core/reader_schedule.h"

#include <algorithm>

namespace corianderplank {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxDoublings = 4;
/// Entries that share one attempt per second to reach a failing source; the one
/// that succeeds informs all.
constexpr std::size_t kPeersPerAttempt = 8;
/// Maximum delay of a requested read.
constexpr milliseconds kMaxRequestedJitter{100};

}  // namespace

milliseconds reader_schedule::DrawJitter(milliseconds range) {
  const std::uint64_t draw = MixHash(self_, ++draws_);
  const auto values = static_cast<std::uint64_t>(range.count()) + 1;
  return milliseconds(static_cast<std::int64_t>(draw % values));
}

bool reader_schedule::IsDue(time_point now) const {
  const bool requested = confirmed_at_ < requested_since_ &&
                         now >= confirmed_at_ + periods_.requested &&
                         now >= requested_at_ && failures_ == 0;
  return !in_flight_ && (requested || now >= due_at_);
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
    due_at_ = began_at_ + periods_.read_interval;
    return;
  }
  reading_ = false;
  const milliseconds delay =
      periods_.retry_delay * (1 << std::min(failures_++, kMaxDoublings));
  const auto groups = static_cast<std::int64_t>(1 + peers_ / kPeersPerAttempt);
  due_at_ = now + std::min(delay, periods_.peer_timeout * groups) +
            DrawJitter(periods_.takeover_jitter * groups) / 2;
}

void reader_schedule::OnPeerRead(time_point now,
                                 std::uint32_t peer,
                                 milliseconds age) {
  if (age >= periods_.peer_timeout) {
    return;
  }
  confirmed_at_ = std::max(confirmed_at_, now - age);
  if (reading_ && peer > self_) {
    return;
  }
  reading_ = false;
  due_at_ = std::max(due_at_, now - age + periods_.peer_timeout +
                                  DrawJitter(periods_.takeover_jitter));
}

void reader_schedule::OnConfirmationRequested(time_point now) {
  if (confirmed_at_ >= requested_since_) {
    requested_since_ = now;
    requested_at_ =
        now + DrawJitter(std::min(
                  periods_.requested_jitter * static_cast<std::int64_t>(peers_),
                  kMaxRequestedJitter));
  }
}

}  // namespace corianderplank
