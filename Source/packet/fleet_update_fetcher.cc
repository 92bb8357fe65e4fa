#include "packet/fleet_update_fetcher.h"

#include <optional>
#include <utility>

#include "net/sleep_clock.h"
#include "wire/mesh_codec.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kFetchTimeout = 800ms;
/// Before a member fetches from its relay what that is fetching itself.
constexpr milliseconds kRelayDelay = 300ms;
constexpr int kOk = 200;

}  // namespace

fleet_update_fetcher::fleet_update_fetcher(event_loop& loop,
                               std::uint16_t port,
                               counters& counters,
                               fleet_update_callback on_fetched)
    : loop_(loop),
      port_(port),
      counters_(counters),
      on_fetched_(std::move(on_fetched)) {}

void fleet_update_fetcher::Fetch(member_address peer) {
  if (fetching_) {
    return;
  }
  fetching_ = true;
  auto& client = clients_[peer];
  if (client == nullptr) {
    client = std::make_unique<http_client>(loop_, endpoint{peer, port_});
  }
  client_request request;
  request.target = "/belief";
  request.timeout = kFetchTimeout;
  const time_point began = ClockWithSleep();
  client->Send(request, [this, began](const client_result& result) {
    fetching_ = false;
    OnResult(began, result);
  });
}

void fleet_update_fetcher::FetchFromRelay(member_address peer,
                                    std::function<bool()> is_needed) {
  if (planned_) {
    return;
  }
  planned_ = true;
  loop_.After(kRelayDelay, [this, peer, is_needed = std::move(is_needed)] {
    planned_ = false;
    if (is_needed()) {
      Fetch(peer);
    }
  });
}

void fleet_update_fetcher::FetchFromNextPeer(const std::vector<member_address>& peers) {
  if (!peers.empty()) {
    Fetch(peers[turns_++ % peers.size()]);
  }
}

void fleet_update_fetcher::OnResult(time_point began, const client_result& result) {
  const time_point now = ClockWithSleep();
  auto update = result.status == client_status::completed && result.code == kOk
                    ? DecodeBelief(result.body, now)
                    : std::nullopt;
  if (!update) {
    counters_.Add(result_code::read_failed);
    return;
  }
  // The peer told its age when it answered, at the latest now.
  update->age += std::chrono::duration_cast<milliseconds>(now - began);
  on_fetched_(*update);
}

}  // namespace corianderplank
