/// @file
/// Reliable delivery of one answer as numbered fragments within a send window.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "core/identifiers.h"

namespace corianderplank {

/// A fragment that is due to be sent.
struct due_answer_fragment {
  std::uint32_t index = 0;
  bool last = false;
  /// How often it was sent before.
  std::uint32_t tries = 0;
  std::string_view payload;
};

/// Stores the fragments of an answer until they are acknowledged and decides
/// when each is sent or repeated.
class answer_stream {
 public:
  /// Splits a complete answer into fragments and closes the stream.
  /// @param body the answer; if empty, one empty fragment is sent.
  void AppendAnswer(std::string_view body);

  /// Appends one message of a feed as one fragment.
  /// @param message the message, at most kMaxPayloadBytes long.
  /// @param last whether it is the last message; closes the stream.
  void AppendMessage(std::string message, bool last);

  /// Removes the fragments that the caller has received.
  /// @param next_expected the caller has received all fragments below.
  /// @param selective bit i is set if the caller has received fragment
  ///     next_expected + 1 + i.
  void Acknowledge(std::uint32_t next_expected, std::uint64_t selective);

  /// Passes each due fragment of the window to `send` and marks it as sent.
  /// @param now current time of the monotonic clock.
  /// @param send called for each due fragment; the payload is valid only during
  ///     the call.
  void SendDue(time_point now,
               const std::function<void(const due_answer_fragment&)>& send);

  /// @return whether the last fragment was appended.
  bool IsClosed() const { return closed_; }
  /// @return whether every fragment up to the last was acknowledged.
  bool IsComplete() const { return closed_ && fragments_.empty(); }
  /// @return the number of fragments not yet acknowledged.
  std::size_t Unacknowledged() const { return fragments_.size(); }

 private:
  struct fragment {
    std::string payload;
    time_point sent_at;
    std::uint32_t tries = 0;
    bool acknowledged = false;
  };

  bool IsDue(time_point now, const fragment& item) const;

  std::deque<fragment> fragments_;
  std::uint32_t first_index_ = 0;
  bool closed_ = false;
};

}  // namespace corianderplank
