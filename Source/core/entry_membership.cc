#include "core/entry_membership.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Two greetings to the seeds, and one that was lost.
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
  members_[member].heard_at = now;
}

void entry_membership::OnReportedByPeer(time_point now, member_address member) {
  members_[member].named_at = now;
}

void entry_membership::Expire(time_point now) {
  std::erase_if(members_, [&](const auto& item) {
    return now - std::max(item.second.heard_at, item.second.named_at) >
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
    const auto first = static_cast<std::ptrdiff_t>(turns_ % all.size());
    turns_ += kMaxFanOut;
    std::rotate(all.begin(), all.begin() + first, all.end());
  }
  return all;
}

std::vector<member_address> entry_membership::RecentSenders(
    time_point now,
    member_address asker,
    std::size_t most) {
  std::vector<member_address> heard = All();
  std::erase_if(heard, [&](member_address member) {
    return member == asker ||
           now - members_.at(member).heard_at > kMemberLifetime;
  });
  heard.resize(std::min(heard.size(), most));
  return heard;
}

}  // namespace corianderplank
