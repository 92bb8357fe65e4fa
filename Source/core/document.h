/// @file
/// The environment document and the instance list as values.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identifiers.h"
#include "core/packet.h"

namespace corianderplank {

/// A class of work of a service, with its share.
struct traffic_class {
  std::string name;
  /// The kind of work that callers send in this class.
  work_kind work = work_kind::request;
  /// Share of the slots relative to the other classes.
  std::uint32_t weight = 1;
  /// Highest share of a target's slots, in thousandths.
  std::uint32_t max_share_permille = 1000;
};

/// One backend server and the agent beside it.
struct target {
  std::string name;
  target_id id;
  std::string failure_domain;
  endpoint agent;    ///< UDP endpoint of the agent.
  endpoint control;  ///< Control endpoint of the agent.
  endpoint backend;  ///< HTTP endpoint of the backend server.
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  std::uint32_t weight = 1;
};

/// One service with its classes and targets.
struct service {
  std::string name;
  service_id id;
  std::uint16_t port = 0;
  std::uint32_t queue_per_slot = 4;
  std::chrono::milliseconds cold_start{0};
  std::vector<traffic_class> classes;
  std::vector<target> targets;
};

/// The environment document. Immutable once it is in force.
struct environment_document {
  std::string environment;
  revision_number revision;
  std::uint64_t checksum = 0;
  std::string source;  ///< The text that it was read from.
  std::vector<service> services;
};

/// Role of a process in the instance list.
enum class instance_role : std::uint8_t { entry, agent };

/// One process in the platform's instance list.
struct instance {
  std::string name;
  instance_role role = instance_role::entry;
  service_id service;
  std::string failure_domain;
  endpoint data;
  endpoint control;
  bool leaving = false;
};

/// The platform's list of instances; late by nature.
struct instance_list {
  std::uint64_t version = 0;
  std::vector<instance> instances;
};

/// @param document a document.
/// @param id a service.
/// @return the service, or nullptr.
const service* FindService(const environment_document& document, service_id id);

/// @param of a service.
/// @param id a target.
/// @return the target, or nullptr.
const target* FindTarget(const service& of, target_id id);

}  // namespace corianderplank
