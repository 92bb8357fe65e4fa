#include "caller/test_content.h"

#include <sstream>

#include "core/identifiers.h"

namespace corianderplank {
namespace {

void AppendLetters(std::string& text, std::uint64_t seed, std::size_t size) {
  constexpr std::uint64_t kLetters = 26;
  for (std::uint64_t block = 0; text.size() < size; ++block) {
    std::uint64_t bits = MixHash(seed, block);
    for (int letter = 0; letter < 8 && text.size() < size; ++letter) {
      text += static_cast<char>('a' + bits % kLetters);
      bits /= kLetters;
    }
  }
}

}  // namespace

std::string FormatWorkOrder(const work_order& order) {
  std::ostringstream out;
  out << "order " << order.service << ' ' << order.request_id << ' '
      << order.duration.count() << ' ' << order.answer_bytes;
  return out.str();
}

std::optional<work_order> ParseWorkOrder(std::string_view text) {
  std::istringstream in{std::string(text)};
  std::string word;
  work_order order;
  std::int64_t duration = 0;
  if (!(in >> word >> order.service >> order.request_id >> duration >>
        order.answer_bytes) ||
      word != "order") {
    return std::nullopt;
  }
  order.duration = std::chrono::microseconds(duration);
  return order;
}

std::string AnswerTo(const work_order& order) {
  std::string text =
      "answer " + order.service + ' ' + std::to_string(order.request_id) + ' ';
  AppendLetters(text, order.request_id, text.size() + order.answer_bytes);
  return text;
}

std::string FeedMessage(std::string_view service, std::uint64_t position) {
  constexpr std::size_t kMessageBytes = 80;
  std::string text =
      "message " + std::string(service) + ' ' + std::to_string(position) + ' ';
  AppendLetters(text, position, kMessageBytes);
  return text;
}

}  // namespace corianderplank
