/// @file
/// Fetches a peer's whole belief, over TCP since a configuration may be large.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/fleet_members.h"
#include "core/mesh_message.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace corianderplank {

/// Called on the loop with a belief that was fetched.
using fleet_update_callback = std::function<void(const belief_update&)>;

/// One fetch at a time. Lives on the control loop.
class fleet_update_fetcher {
 public:
  /// @param loop the control loop.
  /// @param port where peers serve their beliefs.
  /// @param counters counts failed fetches.
  /// @param on_fetched called with each belief.
  fleet_update_fetcher(event_loop& loop,
                 std::uint16_t port,
                 counters& counters,
                 fleet_update_callback on_fetched);

  /// @param peer whom to ask.
  void Fetch(member_address peer);

  /// Fetches from a relay, which is fetching itself at this moment.
  /// @param peer the relay.
  /// @param is_needed asked before the fetch begins.
  void FetchFromRelay(member_address peer, std::function<bool()> is_needed);

  /// Fetches from one peer after the other, one at each call.
  /// @param peers peers that may be asked.
  void FetchFromNextPeer(const std::vector<member_address>& peers);

 private:
  void OnResult(time_point began, const client_result& result);

  event_loop& loop_;
  std::uint16_t port_;
  counters& counters_;
  fleet_update_callback on_fetched_;
  std::unordered_map<member_address, std::unique_ptr<http_client>> clients_;
  std::size_t turns_ = 0;
  bool fetching_ = false;
  bool planned_ = false;
};

}  // namespace corianderplank
