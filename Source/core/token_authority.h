/// @file
/// Issues and checks flow tokens.
#pragma once

#include <array>
#include <cstdint>

#include "core/packet.h"

namespace corianderplank {

/// Key of the authentication code; drawn by each agent when it starts.
using token_secret = std::array<std::uint8_t, 16>;

/// Issues tokens for one agent and checks those that come back.
class token_authority {
 public:
  /// @param target the agent's target.
  /// @param service the service that it serves.
  /// @param incarnation the agent's incarnation.
  /// @param secret the key.
  token_authority(target_id target,
                  service_id service,
                  incarnation_id incarnation,
                  const token_secret& secret);

  /// @param flow the flow that the token is for.
  /// @param serial number of the reservation.
  /// @return a token.
  flow_token Issue(flow_id flow, std::uint64_t serial) const;

  /// @param flow the flow that the packet names.
  /// @param token the token that it carries.
  /// @return answered when the token is this agent's, else the reason:
  ///     wrong_service, unknown_target, stale_incarnation or bad_token.
  result_code Check(flow_id flow, const flow_token& token) const;

 private:
  target_id target_;
  service_id service_;
  incarnation_id incarnation_;
  token_secret secret_;
};

}  // namespace corianderplank
