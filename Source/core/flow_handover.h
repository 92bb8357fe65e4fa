/// @file
/// Handover of an agent's flows to the agent that is started in its place. An
/// agent that ends as planned sends its flows to the seeds, and its successor
/// on the same machine asks the seeds for them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/fleet_index.h"
#include "core/mesh_message.h"

namespace corianderplank {

/// Flows of an agent at its end.
struct flow_handover {
  service_id service;
  /// Unix time of the agent's start in milliseconds, by the wall clock of its
  /// machine; tells the handovers of one machine apart.
  std::int64_t started_ms = 0;
  /// The target holds no flow that is not in the list.
  bool complete = false;
  /// For each flow `holds`, or `unknown` where only the target can tell.
  /// `acknowledgement` is the client's latest one, or 0.
  std::vector<flow_query> flows;
};

/// @param handover a handover.
/// @return the messages that carry it, each small enough for a datagram.
std::vector<mesh_message> SplitHandover(const flow_handover& handover);

/// Puts a handover together from its parts. Not thread-safe.
class handover_assembly {
 public:
  /// Adds a part. A part of another agent than those before replaces them, and
  /// an invalid part is ignored.
  /// @param part a message of kind `flow_handover`.
  void Add(const mesh_message& part);

  /// @return the handover, or nothing while parts are missing.
  std::optional<flow_handover> Whole() const;

  /// @return the parts that have been added, as messages.
  std::vector<mesh_message> Parts() const;

 private:
  std::int64_t started_ms_ = 0;
  std::uint32_t part_count_ = 0;
  std::map<std::uint32_t, mesh_message> parts_;
};

/// Handovers that a seed keeps until the successors have started. Not
/// thread-safe. All times are of the monotonic clock.
class handover_store {
 public:
  /// Keeps a part of a handover.
  /// @param now current time of the monotonic clock.
  /// @param machine address of the agent's machine.
  /// @param part a message of kind `flow_handover`; `waited` is the time for
  ///     which another seed has kept it.
  void Add(time_point now, machine_address machine, const mesh_message& part);

  /// @param now current time of the monotonic clock.
  /// @param machine address of the machine of the agent that asks.
  /// @param successor_started_ms Unix time of that agent's start in
  ///     milliseconds. Only one successor gets a handover: an agent that starts
  ///     after it may find flows at the target that are not in the list.
  /// @return the parts, or none if there is no handover for this agent.
  std::vector<mesh_message> PartsFor(time_point now,
                                     machine_address machine,
                                     std::int64_t successor_started_ms);

  /// @param now current time of the monotonic clock.
  /// @return parts of the handovers that no successor has asked for, for
  ///     another seed while this one is restarted: `members` has the machine,
  ///     `waited` the time since the part was received.
  std::vector<mesh_message> Unclaimed(time_point now) const;

  /// Removes handovers whose agents ended more than 5 s ago.
  /// @param now current time of the monotonic clock.
  void Expire(time_point now);

 private:
  struct item {
    handover_assembly assembly;
    std::int64_t started_ms = 0;
    time_point received_at{};
    std::optional<std::int64_t> successor_started_ms;
  };

  std::unordered_map<machine_address, item> items_;
};

}  // namespace corianderplank
