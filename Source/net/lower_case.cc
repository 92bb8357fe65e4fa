#include "net/lower_case.h"

#include <algorithm>

namespace corianderplank {
namespace {

constexpr char kCaseOffset = 'a' - 'A';

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) {
    const bool upper = letter >= 'A' && letter <= 'Z';
    return upper ? static_cast<char>(letter + kCaseOffset) : letter;
  });
  return lower;
}

}  // namespace corianderplank
