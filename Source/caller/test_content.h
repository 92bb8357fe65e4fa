/// @file
/// Contents whose every byte can be checked, for load and stand-ins.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corianderplank {

/// What a test request asks of a backend server.
struct work_order {
  std::string service;
  std::uint64_t request_id = 0;
  std::chrono::microseconds duration{0};  ///< How long it holds a slot.
  std::uint32_t answer_bytes = 0;
};

/// @param order the order.
/// @return its text, the payload of a request or of an upload's chunk.
std::string FormatWorkOrder(const work_order& order);

/// @param text a payload.
/// @return the order, or nothing when it is not one.
std::optional<work_order> ParseWorkOrder(std::string_view text);

/// @param order an order.
/// @return the only right answer to it.
std::string AnswerTo(const work_order& order);

/// @param service a service's name.
/// @param position a message's number.
/// @return the only right message of the service's feed at that position.
std::string FeedMessage(std::string_view service, std::uint64_t position);

}  // namespace corianderplank
