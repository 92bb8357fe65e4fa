#include "core/entry_membership.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Longer than two periods of the hello messages to the seeds, which are 2 s in
/// fleet_synchronizer.cc, so that one hello message may be lost.
constexpr std::chrono::milliseconds kMemberLifetime = 5000ms;

}  // namespace

std::vector<relay_branch> SplitReceivers(
    const std::vector<member_address>& receivers) {
  std::vector<relay_branch> branches(std::min(receivers.size(), kMaxFanOut));
  for (std::size_t index = 0; index < receivers.size(); ++index) {
    relay_branch& branch = branches[index % branches.size()];
    if (index < branches.size()) {
      branch.head = receivers[index];
    } else {
      branch.rest.push_back(receivers[index]);
    }
  }
  return branches;
}

void entry_membership::OnMessageFrom(time_point now, member_address member) {
  members_[member].received_at = now;
}

void entry_membership::OnReportedByPeer(time_point now, member_address member) {
  members_[member].reported_at = now;
}

void entry_membership::Expire(time_point now) {
  std::erase_if(members_, [&](const auto& item) {
    return now - std::max(item.second.received_at, item.second.reported_at) >
           kMemberLifetime;
  });
}

std::vector<member_address> entry_membership::All() {
  std::vector<member_address> all;
  all.reserve(members_.size());
  for (const auto& [member, seen] : members_) {
    all.push_back(member);
  }
  std::sort(all.begin(), all.end());
  if (!all.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(rotation_ % all.size());
    rotation_ += kMaxFanOut;
    std::rotate(all.begin(), all.begin() + first, all.end());
  }
  return all;
}

std::vector<member_address> entry_membership::RecentSenders(
    time_point now,
    member_address requester,
    std::size_t max_count) {
  std::vector<member_address> recent = All();
  std::erase_if(recent, [&](member_address member) {
    return member == requester ||
           now - members_.at(member).received_at > kMemberLifetime;
  });
  recent.resize(std::min(recent.size(), max_count));
  return recent;
}

}  // namespace corianderplank
