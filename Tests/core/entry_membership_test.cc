/// @file
/// Tests of entry_membership: broadcasts reach every entry despite failed
/// relays, and stopped members expire everywhere.

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <vector>

#include "core/entry_membership.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;

/// Counts how often each receiver gets a relayed message.
void Relay(const std::vector<member_address>& receivers,
           const std::set<member_address>& failed,
           std::map<member_address, int>& received,
           std::size_t& most_sent) {
  const std::vector<relay_branch> branches = SplitReceivers(receivers);
  most_sent = std::max(most_sent, branches.size());
  for (const relay_branch& branch : branches) {
    if (!failed.contains(branch.head)) {
      ++received[branch.head];
      Relay(branch.rest, failed, received, most_sent);
    }
  }
}

TEST_CASE("every entry of 6, 59 and 920 gets a message once") {
  for (const member_address size : {6U, 59U, 920U}) {
    std::vector<member_address> receivers;
    for (member_address member = 1; member <= size; ++member) {
      receivers.push_back(member);
    }
    std::map<member_address, int> received;
    std::size_t most_sent = 0;
    Relay(receivers, {}, received, most_sent);
    CHECK(received.size() == size);
    CHECK(most_sent <= kMaxFanOut);
    for (const auto& [member, count] : received) {
      CHECK(count == 1);
    }
  }
}

TEST_CASE("receivers behind a failed relay get the next message") {
  entry_membership members;
  for (member_address member = 1; member <= 58; ++member) {
    members.OnMessageFrom(kStart, member);
  }
  for (member_address failed = 1; failed <= 58; ++failed) {
    std::map<member_address, int> received;
    std::size_t most_sent = 0;
    Relay(members.All(), {failed}, received, most_sent);
    Relay(members.All(), {failed}, received, most_sent);
    CHECK(received.size() == 57);
  }
}

TEST_CASE("mutual reports do not keep a stopped member alive") {
  entry_membership left;
  entry_membership right;
  left.OnMessageFrom(kStart, 9);
  right.OnMessageFrom(kStart, 9);
  // Two seeds exchange member reports for a minute.
  for (time_point now = kStart; now < kStart + 60s; now += 500ms) {
    left.Expire(now);
    right.Expire(now + 250ms);
    for (const member_address member : left.RecentSenders(now, 2, 256)) {
      right.OnReportedByPeer(now, member);
    }
    for (const member_address member : right.RecentSenders(now, 1, 256)) {
      left.OnReportedByPeer(now, member);
    }
  }
  CHECK(left.Count() == 0);
  CHECK(right.Count() == 0);
}

TEST_CASE("a requester gets all members in turn except itself") {
  entry_membership members;
  for (member_address member = 1; member <= 30; ++member) {
    members.OnMessageFrom(kStart, member);
  }
  std::set<member_address> returned;
  for (int call = 0; call < 30; ++call) {
    for (const member_address member : members.RecentSenders(kStart, 7, 10)) {
      returned.insert(member);
    }
  }
  CHECK(returned.size() == 29);
  CHECK_FALSE(returned.contains(7));
}

}  // namespace
}  // namespace corianderplank
