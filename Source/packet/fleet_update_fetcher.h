/// @file
/// Fetches the full fleet state of a peer, over TCP since a configuration may
/// exceed a datagram, and compressed if the peer's build knows how to.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/entry_membership.h"
#include "core/mesh_message.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace corianderplank {

/// Called on the loop's thread with each fleet update that was fetched. Its age
/// includes the duration of the fetch.
using fleet_update_callback = std::function<void(const fleet_update&)>;

/// Runs one fetch at a time; calls during a fetch are ignored. All methods must
/// be called on the thread of the control loop.
class fleet_update_fetcher {
 public:
  /// @param loop the control loop; must outlive this object.
  /// @param port TCP port on which all peers serve their fleet state.
  /// @param counters receives the count of failed fetches; must outlive this
  ///     object.
  /// @param on_fetched called with each update that arrives and is well-formed.
  fleet_update_fetcher(event_loop& loop,
                       std::uint16_t port,
                       counters& counters,
                       fleet_update_callback on_fetched);

  /// What a fetch asks for.
  enum class fetched_part : std::uint8_t {
    everything,
    targets,  ///< Without the text of the configuration.
  };

  /// Starts a fetch unless one is running.
  /// @param peer address of the peer to query.
  /// @param part what to ask for; peers of older builds send everything.
  void Fetch(member_address peer, fetched_part part = fetched_part::everything);

  /// Schedules a fetch from a relay after a delay, since the relay fetches the
  /// same state at this moment. Ignored while another one is scheduled.
  /// @param peer address of the relay.
  /// @param is_needed checked after the delay; the fetch is skipped if it
  ///     returns false.
  void FetchFromRelay(member_address peer, std::function<bool()> is_needed);

  /// Starts a fetch from one of the peers; successive calls rotate through
  /// them.
  /// @param peers addresses of the candidates; without any, nothing is fetched.
  void FetchFromNextPeer(const std::vector<member_address>& peers);

 private:
  void OnResult(time_point started_at, const client_result& result);

  event_loop& loop_;
  std::uint16_t port_;
  counters& counters_;
  fleet_update_callback on_fetched_;
  std::unordered_map<member_address, std::unique_ptr<http_client>> clients_;
  std::size_t next_peer_ = 0;
  bool fetching_ = false;
  bool relay_fetch_scheduled_ = false;
};

}  // namespace corianderplank
