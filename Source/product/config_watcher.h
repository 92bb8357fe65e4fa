/// @file
/// Keeps the document and the instance list of a process up to date.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/counters.h"
#include "core/document_store.h"
#include "net/control_port.h"
#include "net/event_loop.h"
#include "product/settings.h"
#include "wire/control_codec.h"

namespace corianderplank {

/// Called on the control loop with each new configuration.
using config_callback =
    std::function<void(std::shared_ptr<const environment_document>,
                       std::shared_ptr<const instance_list>)>;

/// Reads the platform by long polls and peers on demand.
class config_watcher {
 public:
  /// @param loop the control loop.
  /// @param settings the process's settings.
  /// @param client sends requests to peers.
  /// @param counters counts documents that are not taken and failed calls.
  /// @param on_config called with each new configuration, first once the
  ///     highest document of platform and reachable peers is known.
  config_watcher(event_loop& loop,
                 const process_settings& settings,
                 control_client& client,
                 counters& counters,
                 config_callback on_config);
  ~config_watcher();
  config_watcher(const config_watcher&) = delete;
  config_watcher& operator=(const config_watcher&) = delete;

  /// Begins to read; call on the control loop.
  void Start();

  /// A peer has a newer document. Calls while one is fetched are ignored, and
  /// so are peers that neither settings, instance list nor document name.
  /// @param peer control endpoint of the peer.
  void FetchFrom(const endpoint& peer);

  /// @param request a peer's fetch_document.
  /// @return the reply; its document is empty when the peer is up to date.
  control_message AnswerFetch(const control_message& request) const;

  /// @return the document in force, or null.
  std::shared_ptr<const environment_document> Document() const;

  /// @return the newest instance list, or null.
  std::shared_ptr<const instance_list> Instances() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderplank
