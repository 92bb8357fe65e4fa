/// @file
/// Which entries run, as one of them hears it, and how news reaches all of
/// them.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"

namespace corianderplank {

/// Address of an entry's machine.
using member_address = std::uint32_t;

/// Part of a message's receivers: `head` gets the message and passes it on to
/// `rest`.
struct relay_branch {
  member_address head = 0;
  std::vector<member_address> rest;
};

/// Receivers that one process sends a message to itself. Fewer than the square
/// root of the largest fleet's entries would need a third level.
constexpr std::size_t kMaxFanOut = 16;

/// @param receivers who gets a message.
/// @return at most kMaxFanOut branches of about one size, in the given order.
std::vector<relay_branch> SplitReceivers(
    const std::vector<member_address>& receivers);

/// The other entries.
class entry_membership {
 public:
  /// A member sent a message itself.
  /// @param now the present time.
  /// @param member the member.
  void OnMessageFrom(time_point now, member_address member);

  /// Another one named a member. It keeps the member here, but is not passed
  /// on: members that are gone would live on in what others say.
  /// @param now the present time.
  /// @param member the member.
  void OnReportedByPeer(time_point now, member_address member);

  /// Forgets members of which nothing was heard for their lifetime.
  /// @param now the present time.
  void Expire(time_point now);

  /// @return how many members are known.
  std::size_t Count() const { return members_.size(); }

  /// @return all members. The order turns with each call, so that a member
  ///     depends on another head each time.
  std::vector<member_address> All();

  /// @param now the present time.
  /// @param asker who wants to know.
  /// @param most how many are wanted at the most.
  /// @return members that were heard themselves, others at each call.
  std::vector<member_address> RecentSenders(time_point now,
                                            member_address asker,
                                            std::size_t most);

 private:
  struct sighting {
    time_point heard_at{};
    time_point named_at{};
  };

  std::unordered_map<member_address, sighting> members_;
  std::size_t turns_ = 0;
};

}  // namespace corianderplank
