/// @file
/// Reliable, windowed delivery of one answer as numbered fragments.
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

/// Keeps fragments until they are acknowledged and says which are due.
class answer_stream {
 public:
  /// Cuts a whole answer into fragments and closes the stream.
  /// @param body the answer; may be empty.
  void AppendAnswer(std::string_view body);

  /// Appends one message of a feed as one fragment.
  /// @param message the message, at most kMaxPayloadBytes long.
  /// @param last whether the stream ends with it.
  void AppendMessage(std::string message, bool last);

  /// @param next_expected every fragment below was received.
  /// @param selective bit i says that next_expected + 1 + i was received.
  void Acknowledge(std::uint32_t next_expected, std::uint64_t selective);

  /// Visits each fragment that is due and marks it as sent.
  /// @param now the present time.
  /// @param send called for each due fragment.
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
