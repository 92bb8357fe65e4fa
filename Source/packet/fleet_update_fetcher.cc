#include "packet/fleet_update_fetcher.h"

#include <optional>
#include <utility>

#include "net/sleep_clock.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time without a byte of the response after which a fetch is aborted.
constexpr milliseconds kFetchTimeout = 800ms;
/// Limit for a response as a whole.
constexpr milliseconds kTransferLimit = 5000ms;
/// Delay of a fetch from a relay, which gives the relay time to complete its
/// own fetch.
constexpr milliseconds kRelayFetchDelay = 300ms;
constexpr int kHttpOk = 200;

}  // namespace

fleet_update_fetcher::fleet_update_fetcher(event_loop& loop,
                                           std::uint16_t port,
                                           counters& counters,
                                           fleet_update_callback on_fetched)
    : loop_(loop),
      port_(port),
      counters_(counters),
      on_fetched_(std::move(on_fetched)) {}

void fleet_update_fetcher::Fetch(member_address peer, fetched_part part) {
  if (fetching_) {
    return;
  }
  fetching_ = true;
  auto& client = clients_[peer];
  if (client == nullptr) {
    client = std::make_unique<http_client>(loop_, endpoint{peer, port_});
  }
  client_request request;
  request.target = part == fetched_part::targets ? "/belief?targets_only=1"
                                                 : "/belief?compressed=1";
  request.timeout = kFetchTimeout;
  request.transfer_limit = kTransferLimit;
  const time_point started_at = ClockWithSleep();
  client->Send(request, [this, started_at](const client_result& result) {
    fetching_ = false;
    OnResult(started_at, result);
  });
}

void fleet_update_fetcher::FetchFromRelay(member_address peer,
                                          std::function<bool()> is_needed) {
  if (relay_fetch_scheduled_) {
    return;
  }
  relay_fetch_scheduled_ = true;
  loop_.After(kRelayFetchDelay, [this, peer, is_needed = std::move(is_needed)] {
    relay_fetch_scheduled_ = false;
    if (is_needed()) {
      Fetch(peer);
    }
  });
}

void fleet_update_fetcher::FetchFromNextPeer(
    const std::vector<member_address>& peers) {
  if (!peers.empty()) {
    Fetch(peers[next_peer_++ % peers.size()]);
  }
}

void fleet_update_fetcher::OnResult(time_point started_at,
                                    const client_result& result) {
  const time_point now = ClockWithSleep();
  if (result.status != client_status::completed || result.code != kHttpOk) {
    counters_.Add(result_code::read_failed);
    return;
  }
  auto update = DecodeFleetUpdate(result.body, now);
  if (!update) {
    counters_.Add(result_code::malformed_message);
    return;
  }
  // The peer computed the age when it replied, which may have been as early as
  // the start of the request.
  update->age += std::chrono::duration_cast<milliseconds>(now - started_at);
  on_fetched_(*update);
}

}  // namespace corianderplank
