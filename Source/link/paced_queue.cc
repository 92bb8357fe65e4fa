#include "link/paced_queue.h"

#include <algorithm>

namespace corianderplank {
namespace {

/// Share of the link at which bulk packets leave. What comes in has fewer bytes
/// than what goes out again with an envelope, so the rest keeps both directions
/// of the link free of queues, in which no order can be kept.
constexpr double kPacedShare = 0.9;
/// Unused capacity that may be made up for, in seconds: a few packets, so that
/// a burst does not delay an interactive packet noticeably.
constexpr double kBurstSeconds = 0.004;
/// Overhead of a datagram on the link: headers of IP and UDP.
constexpr std::size_t kHeaderBytes = 28;
/// Time in which the longest queue drains. A packet that waited longer would
/// meet its third copy, and clients repeat each lost one.
constexpr double kMaxQueueSeconds = 0.6;
constexpr std::size_t kMaxTalliedRoutes = 64;

}  // namespace

paced_queue::paced_queue(std::uint64_t bytes_per_second)
    : bytes_per_second_(kPacedShare * static_cast<double>(bytes_per_second)),
      available_bytes_(kBurstSeconds * bytes_per_second_) {}

pacing_verdict paced_queue::Offer(time_point now,
                                  const link_datagram& datagram) {
  Refill(now);
  if (!datagram.rank.bulk || (waiting_.empty() && available_bytes_ > 0)) {
    CountSent(datagram.flow.service, datagram.bytes.size());
    return pacing_verdict::send;
  }
  link_tally& tally = TallyOf(datagram.flow.service);
  if (HasCopy(datagram)) {
    tally.repeated_bytes += datagram.bytes.size();
    return pacing_verdict::repeated;
  }
  waiting_.emplace(
      queue_key{datagram.rank.priority, datagram.rank.due_at, ++arrivals_},
      waiting_datagram{datagram.to, datagram.flow,
                       std::hash<std::string_view>()(datagram.packet),
                       std::string(datagram.bytes)});
  waiting_bytes_ += datagram.bytes.size();
  tally.queued_bytes += datagram.bytes.size();
  if (static_cast<double>(waiting_bytes_) <=
      kMaxQueueSeconds * bytes_per_second_) {
    return pacing_verdict::queued;
  }
  const auto last = std::prev(waiting_.end());
  const std::size_t bytes = last->second.bytes.size();
  link_tally& last_tally = TallyOf(last->second.flow.service);
  last_tally.queued_bytes -= bytes;
  last_tally.dropped_bytes += bytes;
  waiting_bytes_ -= bytes;
  waiting_.erase(last);
  return pacing_verdict::dropped;
}

void paced_queue::SendDue(time_point now, const sender& send) {
  Refill(now);
  while (!waiting_.empty() && available_bytes_ > 0) {
    const auto first = waiting_.begin();
    const waiting_datagram& datagram = first->second;
    const std::size_t bytes = datagram.bytes.size();
    send(datagram.to, datagram.bytes);
    CountSent(datagram.flow.service, bytes);
    link_tally& tally = TallyOf(datagram.flow.service);
    tally.queued_bytes -= bytes;
    tally.paced_bytes += bytes;
    waiting_bytes_ -= bytes;
    waiting_.erase(first);
  }
}

std::optional<time_point> paced_queue::NextAt() const {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const std::chrono::duration<double> wait(std::max(0.0, 1 - available_bytes_) /
                                           bytes_per_second_);
  return refilled_at_ + std::chrono::duration_cast<time_point::duration>(wait);
}

void paced_queue::Refill(time_point now) {
  if (refilled_at_ != time_point{} && now > refilled_at_) {
    available_bytes_ = std::min(
        kBurstSeconds * bytes_per_second_,
        available_bytes_ +
            bytes_per_second_ *
                std::chrono::duration<double>(now - refilled_at_).count());
  }
  refilled_at_ = std::max(refilled_at_, now);
}

void paced_queue::CountSent(const endpoint& route, std::size_t bytes) {
  available_bytes_ -= static_cast<double>(bytes + kHeaderBytes);
  TallyOf(route).sent_bytes += bytes;
}

bool paced_queue::HasCopy(const link_datagram& datagram) const {
  const std::size_t hash = std::hash<std::string_view>()(datagram.packet);
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& item) {
    return item.second.flow == datagram.flow && item.second.packet_hash == hash;
  });
}

link_tally& paced_queue::TallyOf(const endpoint& route) {
  const auto found = tallies_.find(route);
  if (found != tallies_.end()) {
    return found->second;
  }
  return tallies_[tallies_.size() < kMaxTalliedRoutes ? route : endpoint()];
}

}  // namespace corianderplank
