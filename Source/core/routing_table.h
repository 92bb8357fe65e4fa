/// @file
/// What an entry knows of services and targets, built for constant-time use.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/document.h"
#include "core/identifiers.h"

namespace corianderplank {

/// A target as an entry sees it.
struct route_target {
  target_id id;
  endpoint agent;
  endpoint control;
  std::uint32_t slots = 1;
  /// New flows may be placed here: in the document and not leaving.
  bool takes_opens = true;
};

/// The targets of one service.
class service_routes {
 public:
  /// @param of the service.
  /// @param instances the instance list; it moves and adds targets.
  /// @param previous routes of the same service before the change, or null;
  ///     targets that are in neither source stay reachable for their flows.
  service_routes(const service& of,
                 const instance_list& instances,
                 const service_routes* previous);

  /// @param id a target.
  /// @return the target, also one that takes no opens, or nullptr.
  const route_target* Find(target_id id) const;

  /// Chooses among the targets that take opens, in proportion to weight.
  /// @param hash a uniform number.
  /// @return a target, or nullptr when none takes opens.
  const route_target* Draw(std::uint64_t hash) const;

  /// @return the number of targets that take opens.
  std::size_t OpenCount() const { return open_count_; }
  /// @return every target.
  const std::vector<route_target>& Targets() const { return targets_; }
  /// @return the service's identifier.
  service_id Id() const { return id_; }
  /// @return the service's port at each entry.
  std::uint16_t Port() const { return port_; }

 private:
  void AddFromInstances(const instance_list& instances);
  void AddFromPrevious(const service_routes& previous);
  void BuildDraws(const service& of);

  service_id id_;
  std::uint16_t port_ = 0;
  std::size_t open_count_ = 0;
  std::vector<route_target> targets_;
  std::unordered_map<target_id, std::uint32_t, identifier_hash> index_;
  /// Target indices repeated in proportion to weight.
  std::vector<std::uint32_t> draws_;
};

/// Routes of every service. Immutable; replaced as a whole.
class routing_table {
 public:
  /// @param document the document in force.
  /// @param instances the newest instance list.
  /// @param previous the table in use so far, or null.
  routing_table(const environment_document& document,
                const instance_list& instances,
                const routing_table* previous);

  /// @param id a service.
  /// @return its routes, or nullptr.
  const service_routes* Find(service_id id) const;

  /// @return the routes of every service.
  const std::vector<service_routes>& Services() const { return services_; }
  /// @return the revision that the table was built from.
  revision_number Revision() const { return revision_; }

 private:
  revision_number revision_;
  std::vector<service_routes> services_;
  std::unordered_map<service_id, std::uint32_t, identifier_hash> index_;
};

}  // namespace corianderplank
