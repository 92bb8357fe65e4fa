/// @file
/// Encodes and decodes the messages between control ports.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/request_agent_effects.h"

namespace corianderplank {

/// Kinds of control messages.
enum class control_kind : std::uint8_t {
  fence = 1,       ///< Asks an agent to start nothing more for a flow.
  fenced,          ///< The agent's promise.
  fetch_document,  ///< Asks for the document in force.
  document,        ///< The document in force; empty when there is none.
};

/// A control message; which members count depends on the kind.
struct control_message {
  control_kind kind = control_kind::fetch_document;
  fence_request fence;
  fence_reply fenced;
  std::string environment;
  revision_number revision;
  std::string document;
};

/// @param message a message.
/// @return the encoded message, for the body of a control request or reply.
std::string EncodeControl(const control_message& message);

/// @param bytes what a peer sent.
/// @return the message, or nothing when it is malformed.
std::optional<control_message> DecodeControl(std::string_view bytes);

}  // namespace corianderplank
