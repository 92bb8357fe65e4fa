/// @file
/// Reassembly of an answer from its fragments.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderplank {

/// Accepts fragments in any order, ignores duplicates and returns the payloads
/// in order.
class answer_assembly {
 public:
  /// @param index number of the fragment, from 0. Fragments too far ahead of
  ///     the next expected one are ignored.
  /// @param last whether it is the last fragment of the answer.
  /// @param payload bytes of the fragment; copied.
  /// @return payloads that are now complete in order; may be empty.
  std::vector<std::string> Add(std::uint32_t index,
                               bool last,
                               std::string_view payload);

  /// @return the lowest fragment number that was not received.
  std::uint32_t NextExpected() const { return next_expected_; }
  /// @return bit i is set if fragment NextExpected() + 1 + i was received.
  std::uint64_t Selective() const;
  /// @return whether all fragments up to the last were received.
  bool IsComplete() const {
    return last_index_ && next_expected_ == *last_index_ + 1;
  }

 private:
  std::map<std::uint32_t, std::string> out_of_order_;
  std::optional<std::uint32_t> last_index_;
  std::uint32_t next_expected_ = 0;
};

}  // namespace corianderplank
