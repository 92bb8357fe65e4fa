#include "caller/udp_caller.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTickPeriod{5};
/// How long a closed flow still answers late packets.
constexpr auto kLinger = 10s;
constexpr double kRetriesPerTry = 0.2;
constexpr double kRetryReserve = 20;
constexpr std::uint32_t kLoopback = 0x7f000001;

time_point Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

struct udp_caller::held_flow : caller_effects {
  held_flow(udp_caller& owner,
            service_id service,
            std::uint16_t port,
            flow_id id,
            flow_observer& observer)
      : owner(owner),
        port(port),
        id(id),
        observer(observer),
        flow(service, id, *this, owner.budget_, owner.counters_) {}

  void Send(const packet& value) override { owner.SendPacket(port, value); }
  void OnOutcome(const request_outcome& outcome) override {
    observer.OnOutcome(id, outcome);
  }
  void OnFeedMessage(std::uint64_t request_id,
                     std::uint64_t position,
                     std::string_view message) override {
    observer.OnFeedMessage(id, request_id, position, message);
  }
  void OnBroken(result_code code) override { observer.OnBroken(id, code); }

  udp_caller& owner;
  std::uint16_t port;
  flow_id id;
  flow_observer& observer;
  caller_flow flow;
  time_point closed_at;
};

udp_caller::udp_caller(event_loop& loop,
                       std::vector<std::uint32_t> entries,
                       std::uint64_t seed,
                       counters& counters,
                       impairment* impaired)
    : entries_(std::move(entries)),
      seed_(seed),
      counters_(counters),
      budget_(kRetriesPerTry, kRetryReserve),
      socket_(std::make_unique<udp_socket>(loop,
                                           endpoint{kLoopback, 0},
                                           counters,
                                           impaired)) {
  socket_->Receive(
      [this](const received_datagram& datagram) { OnDatagram(datagram.bytes); },
      [this] { Flush(); });
  loop.Every(kTickPeriod, [this] { Tick(); });
}

udp_caller::~udp_caller() = default;

void udp_caller::Open(service_id service,
                      std::uint16_t port,
                      flow_id flow,
                      flow_observer& observer) {
  flows_[flow] =
      std::make_unique<held_flow>(*this, service, port, flow, observer);
}

void udp_caller::Submit(flow_id flow, request_spec spec) {
  flows_.at(flow)->flow.Submit(Now(), std::move(spec));
}

void udp_caller::Close(flow_id flow) {
  const auto found = flows_.find(flow);
  if (found != flows_.end()) {
    found->second->flow.Close();
    found->second->closed_at = Now();
  }
}

bool udp_caller::HasPendingVerdicts() const {
  return std::any_of(flows_.begin(), flows_.end(), [](const auto& item) {
    return item.second->flow.HasPendingVerdicts();
  });
}

void udp_caller::Flush() {
  socket_->Flush();
}

void udp_caller::OnDatagram(std::string_view datagram) {
  packet value;
  const result_code code = DecodePacket(datagram, value);
  if (code != result_code::answered) {
    counters_.Add(code);
    return;
  }
  const auto found = flows_.find(value.flow);
  if (found == flows_.end()) {
    counters_.Add(result_code::unknown_flow);
    return;
  }
  found->second->flow.OnPacket(Now(), value);
}

void udp_caller::SendPacket(std::uint16_t port, const packet& value) {
  const std::uint64_t draw = MixHash(seed_, ++draws_);
  const std::uint32_t address = entries_[draw % entries_.size()];
  socket_->Send({address, port}, encoder_.Encode(value));
}

void udp_caller::Tick() {
  const time_point now = Now();
  for (auto item = flows_.begin(); item != flows_.end();) {
    held_flow& held = *item->second;
    held.flow.Tick(now);
    const bool gone = held.flow.State() == caller_state::closed &&
                      held.closed_at != time_point() &&
                      now - held.closed_at >= kLinger;
    item = gone ? flows_.erase(item) : std::next(item);
  }
  Flush();
}

}  // namespace corianderplank
