/// @file
/// What both daemons share: control loop, configuration, admin port, stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/counters.h"
#include "net/control_port.h"
#include "net/event_loop.h"
#include "net/impairment.h"
#include "product/config_watcher.h"
#include "product/event_ring.h"
#include "product/settings.h"

namespace corianderplank {

/// What a daemon adds to the shared part. Called on the control loop.
class daemon_role {
 public:
  virtual ~daemon_role() = default;

  /// @param document the document in force.
  /// @param instances the newest instance list.
  virtual void OnConfig(std::shared_ptr<const environment_document> document,
                        std::shared_ptr<const instance_list> instances) = 0;

  /// @param request a peer's request other than for the document.
  /// @param reply sends the answer; may be called later.
  virtual void OnControl(const control_message& request,
                         std::function<void(control_message)> reply) = 0;

  /// Begins a planned stop.
  virtual void OnStop() = 0;

  /// @return the role's part of the status, a JSON object.
  virtual std::string StatusJson() = 0;

  /// @param flow text that names a flow.
  /// @param service a service's name.
  /// @return why an open of it would go where, a JSON object.
  virtual std::string ExplainJson(const std::string& flow,
                                  const std::string& service) = 0;
};

/// The shared part of a daemon.
class daemon_host {
 public:
  /// @param role_name "entry" or "agent".
  /// @param settings the process's settings.
  daemon_host(std::string role_name, const process_settings& settings);
  ~daemon_host();
  daemon_host(const daemon_host&) = delete;
  daemon_host& operator=(const daemon_host&) = delete;

  /// Runs the control loop on this thread until Exit is called.
  /// @param role the role.
  /// @throws std::exception when an address cannot be bound.
  void Run(daemon_role& role);

  /// Ends Run; may be called from any thread.
  void Exit();

  /// @return the settings.
  const process_settings& Settings() const;
  /// @return the counters of result codes.
  counters& Counters();
  /// @return the ends of work that callers reported, by reason.
  counters& Verdicts();
  /// @return the latest events.
  event_ring& Events();
  /// @return the control loop.
  event_loop& ControlLoop();
  /// @return the client for peers' control ports; use on the control loop.
  control_client& Peers();
  /// @return the faults to rehearse, or null.
  impairment* Impaired();
  /// Fetches a newer document; may be called from any thread.
  /// @param peer control endpoint of the peer.
  void FetchDocumentFrom(const endpoint& peer);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// @return wall time in milliseconds since 1970.
std::int64_t WallTimeMs();

}  // namespace corianderplank
