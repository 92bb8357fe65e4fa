/// @file
/// What the answers to the requests of each route are like: at one target, as
/// its agent measures them, and at all targets of a service, as an entry knows
/// them from their agents.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/fleet_index.h"
#include "core/mesh_message.h"

namespace corianderplank {

/// One answer of a target, as seen from outside.
struct measured_answer {
  std::uint32_t bytes = 0;
  /// Time from forwarding the request to the first packet of its answer.
  std::chrono::milliseconds service_time{0};
};

/// The latest answers of one target by route. Not thread-safe.
class answer_history {
 public:
  /// @param route route of the request.
  /// @param answer its answer.
  void Add(const endpoint& route, const measured_answer& answer);

  /// @return a profile of each route with enough answers. Its size and time are
  ///     exceeded by most answers, so that answers that are small by nature
  ///     only matter if there are many of them.
  std::vector<answer_profile> Profiles() const;

 private:
  static constexpr std::size_t kHistory = 32;

  struct route_history {
    std::array<measured_answer, kHistory> answers;
    /// Number of answers since the start.
    std::uint32_t count = 0;
  };

  std::unordered_map<endpoint, route_history, endpoint_hash> routes_;
};

/// Profiles of all targets, by route. Not thread-safe; every `now` is the
/// current time of the monotonic clock.
class peer_profiles {
 public:
  /// Records profiles that an agent has sent; they replace its earlier ones of
  /// the same routes.
  /// @param now current time.
  /// @param service service of the agent's target.
  /// @param machine address of the agent's machine.
  /// @param profiles what the answers of its target are like.
  void Add(time_point now,
           service_id service,
           machine_address machine,
           const std::vector<answer_profile>& profiles);

  /// @param now current time.
  /// @param service service of an agent's target.
  /// @param machine address of the agent's machine.
  /// @return what the answers of the majority of the service's targets are
  ///     like: `count` is the number of targets that are known. Empty if the
  ///     agent got them a short time ago, or too few targets are known to tell
  ///     the majority.
  std::vector<answer_profile> TakeDue(time_point now,
                                      service_id service,
                                      machine_address machine);

  /// Removes machines that an index does not contain.
  /// @param index index of the current fleet snapshot.
  void Retain(const fleet_index& index);

 private:
  struct agent_profile {
    machine_address machine = 0;
    answer_profile profile;
    time_point at{};
  };

  struct route_profiles {
    std::vector<agent_profile> agents;
    answer_profile typical;
    time_point typical_at{};
  };

  using service_profiles =
      std::unordered_map<endpoint, route_profiles, endpoint_hash>;

  void Update(time_point now, const endpoint& route, route_profiles& known);

  std::unordered_map<service_id, service_profiles, identifier_hash> services_;
  /// When an agent last got its peers' profiles.
  std::unordered_map<machine_address, time_point> sent_at_;
};

}  // namespace corianderplank
