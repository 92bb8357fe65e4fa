/// @file
/// Configuration, targets and the snapshot of both that an entry works with.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/identifiers.h"
#include "core/request_scheduler.h"
#include "core/source_revision.h"

namespace corianderplank {

/// State that a target publishes about itself.
enum class target_state : std::uint8_t {
  ready,     ///< Accepts new flows.
  draining,  ///< Keeps its flows and gets no new ones.
};

/// One target. It may hold flows long after its removal from the list.
struct fleet_target {
  target_id id;
  /// Endpoint of the target; its agent runs on the same machine.
  endpoint address;
  service_id service;
  std::uint64_t failure_domain = 0;  ///< HashName of its failure domain.
  std::uint32_t slots = 1;
  target_state state = target_state::ready;
  /// Revision of the last change other than a heartbeat.
  source_revision revision;
  /// Unix time of its start in milliseconds; 0 if unknown.
  std::int64_t target_start_ms = 0;
  /// Number of the target's own report, counted from its start; 0 if unknown.
  std::uint64_t report_number = 0;
  /// Time of the monotonic clock at which this process first saw it.
  time_point first_seen_at{};
  /// End of the slow phase after its start.
  time_point warm_up_until{};
  /// The list no longer contains it.
  bool removed = false;
  time_point removed_at{};
  /// Nothing listens at its address any more, so it holds no flow.
  bool ended = false;
  /// The operator evacuates its failure domain. Set in snapshots only.
  bool evacuated = false;
  /// Until then it still gets new flows although it is removed: it was removed
  /// around an outage of the source and may be listed again.
  time_point may_return_until{};

  /// @param now current time of the monotonic clock.
  /// @return whether it may get new flows.
  bool AcceptsNewFlows(time_point now) const {
    return !evacuated && state == target_state::ready &&
           (!removed || now < may_return_until);
  }

  /// Compares when the target published two of its rows, regardless of
  /// revisions.
  /// @param other another row of the same target.
  /// @return the order of publication; unordered if either row does not say.
  std::partial_ordering CompareReports(const fleet_target& other) const {
    if (report_number == 0 || other.report_number == 0) {
      return std::partial_ordering::unordered;
    }
    return std::tie(target_start_ms, report_number) <=>
           std::tie(other.target_start_ms, other.report_number);
  }
};

/// Weighted share of a route's new flows for one service.
struct traffic_share {
  service_id service;
  std::uint32_t weight = 1;
};

/// Services and request policy for the flows to one address and port.
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

/// What a target of a service bears shortly after its start.
struct cold_start_policy {
  /// Time after its start during which a target is cold; 0 for none.
  std::chrono::milliseconds duration{0};
  /// New flows a second that a cold target bears; 0 for no limit.
  double flows_per_second = 0;

  bool operator==(const cold_start_policy&) const = default;
};

/// Whether the operator wants the targets of a failure domain to get no new
/// flows. A row that is not evacuated records the end of an evacuation.
struct domain_evacuation {
  /// HashName of the failure domain.
  std::uint64_t failure_domain = 0;
  bool evacuated = false;
  /// Revision of the request or of its end; the highest one counts.
  source_revision revision;

  bool operator==(const domain_evacuation&) const = default;
};

/// One version of the configuration. Immutable once it is part of the state.
struct fleet_configuration {
  std::uint64_t version = 0;
  /// Revision at which the source stores it.
  source_revision revision;
  std::unordered_map<endpoint, fleet_route, endpoint_hash> routes;
  /// Every service that the version names.
  std::vector<service_id> services;
  /// Services whose targets are cold after their start.
  std::unordered_map<service_id, cold_start_policy, identifier_hash>
      cold_starts;
  /// Time without packets after which a flow may expire.
  std::chrono::milliseconds idle_timeout{0};
  /// Original text, which is sent to peers on request.
  std::string source;

  /// @param service a service.
  /// @return whether the version names it. Rows of other writers to the source
  ///     may name services that do not exist.
  bool HasService(service_id service) const {
    return std::find(services.begin(), services.end(), service) !=
           services.end();
  }
};

/// One consistent, immutable state that the control thread passes to the
/// traffic thread.
struct fleet_snapshot {
  std::shared_ptr<const fleet_configuration> configuration;
  /// All targets that may hold flows, including removed ones.
  std::vector<fleet_target> targets;
  /// Routes of earlier versions that the current version does not contain.
  std::vector<endpoint> dropped_routes;
  /// Evacuations that were requested, and those that have ended.
  std::vector<domain_evacuation> evacuations;
  /// Number of entries that place flows on these targets, including this one.
  std::uint32_t entries = 1;
  /// Start of the latest read that confirmed this state.
  time_point confirmed_at{};
  /// Whether every target that may hold a currently open flow is known.
  bool knows_all_holders = false;
};

}  // namespace corianderplank
