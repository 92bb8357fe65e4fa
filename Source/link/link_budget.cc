#include "link/link_budget.h"

#include <algorithm>
#include <cmath>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A link that carries a window within a millisecond is filled only by hundreds
/// of transfers at a time; accounts for it would never change a decision.
constexpr std::uint64_t kNarrowBytesPerSecond = kWindowBytes * 1000;
/// A flow that has brought more than this without a pause is a bulk transfer.
/// Requests that a person waits for fit well into it; a link of 10 Mbit/s
/// carries it in 6 ms.
constexpr std::uint64_t kBulkBytes = 8000;
/// A transfer without a packet for longer has paused, and what comes next is
/// another one. Above the 200 ms after which a client repeats a lost packet.
constexpr milliseconds kPause = 300ms;
/// Part of the latency target that the transfer itself may take. One in ten of
/// the transfers is twice as large as the mean or more; the rest is for the
/// round trips of the opening and for the work at the target.
constexpr double kTransferPartOfTarget = 0.35;
/// An entry cannot know how often a client was refused elsewhere. One in three
/// flows, as clients try about three times, may take twice as long, so that few
/// clients are refused on each try while all links are full: late is better
/// than never.
constexpr std::size_t kFavouredDivisor = 3;
constexpr double kFavouredPartOfTarget = 2 * kTransferPartOfTarget;
/// Part of the link that bulk transfers may use; paced_queue paces them to it.
constexpr double kUsableShare = 0.9;
/// However much the other flows bring, bulk transfers get this share.
constexpr double kLeastBulkShare = 0.1;
/// Time over which the rate of the other flows is averaged.
constexpr double kAveragingSeconds = 0.5;

/// Least time between two walks over all transfers.
constexpr milliseconds kExpiryPeriod = 100ms;

double SecondsBetween(time_point begin, time_point end) {
  return std::max(0.0, std::chrono::duration<double>(end - begin).count());
}

}  // namespace

std::size_t link_budget::hash_of_flow::operator()(
    const flow_address& flow) const {
  return static_cast<std::size_t>(
      MixHash(MixHash(flow.client.address, flow.client.port),
              MixHash(flow.service.address, flow.service.port)));
}

link_budget::link_budget(std::uint64_t bytes_per_second)
    : bytes_per_second_(bytes_per_second),
      narrow_(bytes_per_second > 0 &&
              bytes_per_second < kNarrowBytesPerSecond) {}

link_admission link_budget::Admit(time_point now,
                                  const flow_address& flow,
                                  const request_policy& policy) {
  link_admission result;
  if (!narrow_) {
    return result;
  }
  const std::uint64_t expected = sizes_.Expected(flow.service);
  if (expected > kBulkBytes && policy.latency_target > 0ms) {
    result.load = LoadWith(now, flow);
    // With no other transfer there is nothing to wait for: wherever else the
    // client went, it would not be served earlier by a link like this one.
    const bool favoured = hash_of_flow()(flow) % kFavouredDivisor == 0;
    result.admitted =
        result.load.transfers == 0 ||
        result.load.drain_time <=
            policy.latency_target *
                (favoured ? kFavouredPartOfTarget : kTransferPartOfTarget);
  }
  if (result.admitted) {
    transfers_[flow] = {
        .started_at = now, .last_packet_at = now, .policy = policy};
  }
  return result;
}

link_load link_budget::LoadWith(time_point now,
                                const flow_address& flow) const {
  link_load load;
  load.expected_bytes = sizes_.Expected(flow.service);
  for (const auto& [other, item] : transfers_) {
    if (other == flow || item.finished || now - item.last_packet_at > kPause ||
        !IsBulk(other.service, item)) {
      continue;
    }
    ++load.transfers;
    // One that has brought as much as others do is not over: its next window
    // is on its way.
    const std::uint64_t expected = sizes_.Expected(other.service);
    load.backlog_bytes += std::max(
        kWindowBytes, expected - std::min(expected, item.payload_bytes));
  }
  const double seconds =
      static_cast<double>(load.backlog_bytes + load.expected_bytes) /
      BulkBytesPerSecond(now);
  load.drain_time = milliseconds(std::llround(seconds * 1000));
  return load;
}

void link_budget::OnPacket(time_point now,
                           const flow_packet& packet,
                           const request_policy& policy) {
  if (!narrow_) {
    return;
  }
  const flow_address flow = packet.FromClient();
  const auto [found, added] = transfers_.try_emplace(flow);
  transfer& item = found->second;
  if (added) {
    item.started_at = now;
  } else if (now - item.last_packet_at > kPause) {
    sizes_.Learn(flow.service, item.payload_bytes);
    item = transfer();
    item.started_at = now;
  }
  item.last_packet_at = now;
  item.policy = policy;
  item.payload_bytes += packet.payload_bytes;
  item.finished = item.finished || packet.finish || packet.reset;
  if (!IsBulk(flow.service, item)) {
    AddInteractive(now, packet.bytes.size());
  }
}

packet_rank link_budget::RankOf(const flow_address& flow) const {
  packet_rank rank;
  const auto found = transfers_.find(flow);
  if (found == transfers_.end()) {
    return rank;
  }
  const transfer& item = found->second;
  rank.bulk = item.payload_bytes > 0 && IsBulk(flow.service, item);
  rank.priority = item.policy.priority;
  rank.due_at = item.started_at + item.policy.latency_target;
  return rank;
}

bool link_budget::IsBulk(const endpoint& route, const transfer& item) const {
  return item.payload_bytes > kBulkBytes || sizes_.Expected(route) > kBulkBytes;
}

double link_budget::BulkBytesPerSecond(time_point now) const {
  const double capacity = static_cast<double>(bytes_per_second_);
  const double interactive =
      interactive_bytes_ *
      std::exp(-SecondsBetween(interactive_at_, now) / kAveragingSeconds) /
      kAveragingSeconds;
  return std::max(kLeastBulkShare * capacity,
                  kUsableShare * capacity - interactive);
}

void link_budget::AddInteractive(time_point now, std::size_t bytes) {
  interactive_bytes_ =
      interactive_bytes_ *
          std::exp(-SecondsBetween(interactive_at_, now) / kAveragingSeconds) +
      static_cast<double>(bytes);
  interactive_at_ = now;
}

void link_budget::Expire(time_point now) {
  if (now - expired_at_ < kExpiryPeriod) {
    return;
  }
  expired_at_ = now;
  for (auto item = transfers_.begin(); item != transfers_.end();) {
    if (now - item->second.last_packet_at > kPause) {
      sizes_.Learn(item->first.service, item->second.payload_bytes);
      item = transfers_.erase(item);
    } else {
      ++item;
    }
  }
}

}  // namespace corianderplank
