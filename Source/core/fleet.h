/// @file
/// What an entry believes of configuration and targets, without its sources.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"
#include "core/request_scheduler.h"

namespace corianderplank {

/// What a target says of itself.
enum class target_state : std::uint8_t {
  ready,     ///< Takes new flows.
  draining,  ///< Keeps its flows and takes no new ones from us.
};

/// One target. It may hold flows long after it has left the list.
struct fleet_target {
  target_id id;
  /// Where the target runs; its agent is on the same machine.
  endpoint address;
  service_id service;
  std::uint64_t zone = 0;  ///< HashName of its failure domain.
  std::uint32_t slots = 1;
  target_state state = target_state::ready;
  /// Revision of the last change that matters here.
  std::uint64_t revision = 0;
  /// Unix time of its start in milliseconds; 0 when not told.
  std::int64_t born_ms = 0;
  /// When it was seen first here, by the clock that does not jump.
  time_point seen_since{};
  /// Until when it answers slowly after its start.
  time_point cold_until{};
  /// It is not in the list any more.
  bool gone = false;
  time_point gone_since{};
  /// Nothing listens at its address any more: it holds no flow.
  bool ended = false;
  /// Until when it may come back: it left while the list's source failed.
  time_point doubtful_until{};

  /// @param now the present time.
  /// @return whether new flows may be placed on it.
  bool TakesFlows(time_point now) const {
    return state == target_state::ready && (!gone || now < doubtful_until);
  }
};

/// Part of a route's new flows that goes to one service.
struct traffic_share {
  service_id service;
  std::uint32_t weight = 1;
};

/// Where the flows of one address and port go.
struct fleet_route {
  std::vector<traffic_share> shares;
  request_policy policy;
};

/// Hash functor for tables by endpoint.
struct endpoint_hash {
  std::size_t operator()(const endpoint& value) const {
    return static_cast<std::size_t>(MixHash(value.address, value.port));
  }
};

/// One version of the configuration. Immutable once it is believed.
struct fleet_configuration {
  std::uint64_t version = 0;
  /// Revision under which the source holds it.
  std::uint64_t revision = 0;
  std::unordered_map<endpoint, fleet_route, endpoint_hash> routes;
  /// Every service that the version names.
  std::vector<service_id> services;
  /// Time after which a silent flow may be forgotten.
  std::chrono::milliseconds idle_timeout{0};
  /// The text that it was read from, as peers may ask for it.
  std::string source;
};

/// One consistent picture, handed from the control to the traffic thread.
struct fleet_view {
  std::shared_ptr<const fleet_configuration> configuration;
  /// All targets that may hold flows, those that left included.
  std::vector<fleet_target> targets;
  /// Routes that an earlier version had and the present one has not.
  std::vector<endpoint> dropped_routes;
  /// Entries that place flows on these targets, this one included.
  std::uint32_t entries = 1;
  /// Begin of the read that confirmed the picture last.
  time_point confirmed_at{};
  /// Whether the picture has been whole since a time at which every flow that
  /// is open now was not open yet.
  bool knows_all_holders = false;
};

}  // namespace corianderplank
