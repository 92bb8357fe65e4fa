/// @file
/// The set of running entries as one entry knows it, and the relay tree for
/// messages to all of them.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// Address of an entry's machine.
using member_address = std::uint32_t;

/// Part of a message's receivers: `head` gets the message and forwards it to
/// `rest`.
struct relay_branch {
  member_address head = 0;
  std::vector<member_address> rest;
};

/// Maximum number of receivers that one process sends a message to directly.
/// Each of them forwards it to at most as many, so 16 + 16 * 16 = 272 entries
/// are reached through one level of relays; more need another level. A value of
/// at least the square root of the largest fleet's entry count avoids it.
constexpr std::size_t kMaxFanOut = 16;

/// @param receivers all receivers of a message.
/// @return at most kMaxFanOut branches of about equal size; receivers are
///     assigned in turn, so the first ones become the heads.
std::vector<relay_branch> SplitReceivers(
    const std::vector<member_address>& receivers);

/// Membership table of the other entries.
class entry_membership {
 public:
  /// Records that a message arrived directly from a member.
  /// @param now current time of the monotonic clock.
  /// @param member address of the member.
  void OnMessageFrom(time_point now, member_address member);

  /// Records that another entry reported a member, and adds the member if it is
  /// unknown. The report extends the member's lifetime here but is not
  /// forwarded; otherwise stopped members would be kept alive by mutual
  /// reports.
  /// @param now current time of the monotonic clock.
  /// @param member address of the member.
  void OnReportedByPeer(time_point now, member_address member);

  /// Expires members with no message or report within their lifetime.
  /// @param now current time of the monotonic clock.
  void Expire(time_point now);

  /// @return the number of known members.
  std::size_t Count() const { return members_.size(); }

  /// @return all members. The order rotates by kMaxFanOut with each call, so
  ///     that other members become relays. RecentSenders advances the same
  ///     rotation.
  std::vector<member_address> All();

  /// @param now current time of the monotonic clock.
  /// @param requester the requesting entry, which is excluded.
  /// @param max_count maximum number of members.
  /// @return members that sent a message directly within the lifetime of a
  ///     member, in the rotating order of All.
  std::vector<member_address> RecentSenders(time_point now,
                                            member_address requester,
                                            std::size_t max_count);

 private:
  struct contact_times {
    time_point received_at{};
    time_point reported_at{};
  };

  std::unordered_map<member_address, contact_times> members_;
  std::size_t rotation_ = 0;
};

}  // namespace corianderplank
