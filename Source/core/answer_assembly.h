/// @file
/// Puts the fragments of an answer together again.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corianderplank {

/// Collects fragments in any order, each one once.
class answer_assembly {
 public:
  /// @param index the fragment's number.
  /// @param last whether no fragment follows.
  /// @param payload its bytes.
  /// @return the fragments that are now next in order.
  std::vector<std::string> Add(std::uint32_t index,
                               bool last,
                               std::string_view payload);

  /// @return every fragment below was received.
  std::uint32_t NextExpected() const { return next_expected_; }
  /// @return bit i says that NextExpected() + 1 + i was received.
  std::uint64_t Selective() const;
  /// @return whether all fragments up to the last were received.
  bool IsComplete() const { return last_ && next_expected_ == *last_ + 1; }

 private:
  std::map<std::uint32_t, std::string> early_;
  std::optional<std::uint32_t> last_;
  std::uint32_t next_expected_ = 0;
};

}  // namespace corianderplank
