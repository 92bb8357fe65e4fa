// Targets, clients and routers.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <random>

#include "standins.h"

namespace review {
namespace {

constexpr millis kWorkTime{30};
constexpr millis kFirstRetransmission{200};
constexpr millis kLongestRetransmission{1600};
constexpr int kMaxRetransmissions = 8;
constexpr millis kSecondOpening{200}, kThirdOpening{600}, kOpeningTimeout{1400};
constexpr millis kRequestDeadline{2500};
constexpr millis kProbePeriod{500};

std::uint32_t Random() {
  static std::mt19937 random(std::random_device{}());
  return static_cast<std::uint32_t>(random());
}

int Listen(const endpoint& local) {
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(local.ip);
  native.sin_port = htons(local.port);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&native),
             sizeof(native)) != 0 ||
      ::listen(descriptor, 64) != 0) {
    std::perror("listen");
    std::exit(kNotRun);
  }
  return descriptor;
}

std::string HeaderValue(const std::string& text, const std::string& name) {
  const std::size_t at = text.find(name + ": ");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 2;
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

}  // namespace

target::target(world& shared,
               store& registry,
               unsigned machine,
               std::string id,
               std::string service,
               std::string zone)
    : world_(shared),
      registry_(registry),
      ip_(shared.Ip(machine)),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)) {}

endpoint target::App() const {
  return {ip_, world_.app_port};
}

std::string target::Entry() const {
  return "{\"Service\":\"" + service_ + "\",\"Address\":\"" + Format(App()) +
         "\",\"Zone\":\"" + zone_ +
         "\",\"Version\":\"v1\",\"Concurrency\":4,\"State\":\"" + state_ +
         "\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":" +
         std::to_string(born_) + "}";
}

void target::Register() {
  // Later heartbeats change only `Seq`, and so not the entry.
  registry_.Put("servers/" + id_, Entry());
}

void target::Start() {
  born_ = std::chrono::duration_cast<millis>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  socket_ = UdpSocket(App());
  health_ = Listen(App());
  world_.loop.Watch(socket_, [this] {
    while (const auto received = ReceiveFrom(socket_)) {
      OnPacket(received->second);
    }
  });
  world_.loop.Watch(health_, [this] {
    const int accepted = ::accept4(health_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      ::close(accepted);
    }
  });
  Register();
  world_.log->Line("target %s (%s) starts at %s", id_.c_str(),
                   service_.c_str(), Format(App()).c_str());
}

steady::time_point target::Drain() {
  state_ = "draining";
  Register();
  world_.log->Line("the store acknowledges that target %s is draining",
                   id_.c_str());
  return steady::now();
}

void target::Crash() {
  world_.loop.Unwatch(socket_);
  world_.loop.Unwatch(health_);
  ::close(socket_);
  ::close(health_);
  socket_ = health_ = -1;
  flows_.clear();
  world_.log->Line("target %s ends", id_.c_str());
}

bool target::HoldsFlow(const endpoint& client, const endpoint& service) const {
  const auto found = flows_.find({client, service});
  return found != flows_.end() && found->second.open && !found->second.ended;
}

int target::ResetsSent(const endpoint& client, const endpoint& service) const {
  const auto found = resets_.find({client, service});
  return found == resets_.end() ? 0 : found->second;
}

void target::Send(const flow_key& key,
                  int flags,
                  std::uint32_t seq,
                  std::uint32_t ack,
                  const std::string& data) {
  packet out;
  out.seq = seq;
  out.ack = ack;
  out.flags = flags;
  out.source = key.second;
  out.destination = key.first;
  out.data = data;
  if ((flags & packet::kRst) != 0) {
    ++resets_[key];
  }
  SendTo(socket_, {ip_, world_.outbound_port}, out.Encode());
}

void target::OnPacket(const std::string& bytes) {
  bool intact = false;
  const auto in = packet::Decode(bytes, intact);
  if (!in || !intact) {
    world_.log->Line("target %s gets a packet that nobody wrote so",
                     id_.c_str());
    return;
  }
  const flow_key key{in->source, in->destination};
  const auto found = flows_.find(key);
  if ((in->flags & packet::kSyn) != 0) {
    if (found == flows_.end()) {
      flow& added = flows_[key];
      added.next_send = Random();
      added.unacknowledged = added.next_send;
      added.next_receive = in->seq + 1;
      openings.push_back({id_, key.first, key.second, steady::now()});
      world_.log->Line("target %s takes the opening packet of %s to %s",
                       id_.c_str(), Format(key.first).c_str(),
                       Format(key.second).c_str());
    }
    const flow& offered = flows_[key];
    if (!offered.open) {
      Send(key, packet::kSyn | packet::kAck, offered.next_send,
           offered.next_receive, "");
    }
    return;
  }
  if (found == flows_.end()) {
    std::string returned = bytes;
    returned[16] = static_cast<char>(returned[16] | packet::kBounced);
    SendTo(socket_, {ip_, world_.outbound_port}, returned);
    return;
  }
  flow& here = found->second;
  if (here.ended) {
    if ((in->flags & packet::kFin) != 0) {
      Send(key, packet::kAck, here.next_send, in->seq + 1, "");
    } else if (!in->data.empty()) {
      Send(key, packet::kRst, in->ack, 0, "");
    }
    return;
  }
  if ((in->flags & packet::kRst) != 0) {
    flows_.erase(found);
    return;
  }
  if (!here.open) {
    if (in->ack != here.next_send + 1) {
      Send(key, packet::kRst, in->ack, 0, "");
      flows_.erase(found);
      return;
    }
    here.open = true;
    ++here.next_send;
    here.unacknowledged = here.next_send;
    world_.log->Line("flow %s to %s is open at target %s",
                     Format(key.first).c_str(), Format(key.second).c_str(),
                     id_.c_str());
  }
  if ((in->flags & packet::kAck) != 0 && !here.pending.empty() &&
      in->ack == here.unacknowledged +
                     static_cast<std::uint32_t>(here.pending.size())) {
    here.unacknowledged = in->ack;
    here.pending.clear();
    if (here.closing) {
      Send(key, packet::kFin | packet::kAck, here.next_send, here.next_receive,
           "");
      ++here.next_send;
      here.ended = true;
      return;
    }
  }
  if (!in->data.empty() && in->seq == here.next_receive) {
    here.next_receive += static_cast<std::uint32_t>(in->data.size());
    OnRequest(key, in->data);
  }
  if (!in->data.empty()) {
    Send(key, packet::kAck, here.next_send, here.next_receive, "");
  }
}

void target::OnRequest(const flow_key& key, const std::string& request) {
  const std::string id = HeaderValue(request, "Request-Id");
  ++runs[id];
  world_.log->Line("target %s runs request %s of %s", id_.c_str(), id.c_str(),
                   Format(key.first).c_str());
  world_.loop.After(kWorkTime, [this, key, id] {
    const auto found = flows_.find(key);
    if (found == flows_.end()) {
      return;
    }
    flow& here = found->second;
    here.pending =
        "HTTP/1.1 200 OK\r\nServer-Seal: s-" + id + "\r\nContent-Length: 0\r\n\r\n";
    here.next_send += static_cast<std::uint32_t>(here.pending.size());
    here.closing = state_ == "draining";
    SendPending(key, 0);
  });
}

void target::SendPending(const flow_key& key, int transmission) {
  const auto found = flows_.find(key);
  if (found == flows_.end() || found->second.pending.empty()) {
    return;
  }
  const flow& here = found->second;
  const std::uint32_t sent_from = here.unacknowledged;
  Send(key, packet::kAck, sent_from, here.next_receive, here.pending);
  if (transmission >= kMaxRetransmissions) {
    return;
  }
  const millis delay = std::min(kLongestRetransmission,
                                kFirstRetransmission * (1 << transmission));
  world_.loop.After(delay, [this, key, transmission, sent_from] {
    const auto now = flows_.find(key);
    if (now != flows_.end() && now->second.unacknowledged == sent_from) {
      SendPending(key, transmission + 1);
    }
  });
}

void routers::Add(std::uint32_t entry) {
  entries_.push_back({entry, 2});
}

void routers::Start() {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    Probe(index);
  }
  world_.loop.After(kProbePeriod, [this] { Start(); });
}

void routers::Probe(std::size_t index) {
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(entries_[index].ip);
  native.sin_port = htons(world_.ready_port);
  ::connect(descriptor, reinterpret_cast<sockaddr*>(&native), sizeof(native));
  world_.loop.After(millis(5), [descriptor] {
    const std::string request = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
    ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
  });
  world_.loop.After(millis(300), [this, descriptor, index] {
    char buffer[256];
    const ssize_t size = ::recv(descriptor, buffer, sizeof(buffer), 0);
    ::close(descriptor);
    const bool ready =
        size > 12 && std::string(buffer, 12) == "HTTP/1.1 200";
    entries_[index].misses = ready ? 0 : entries_[index].misses + 1;
  });
}

std::vector<std::uint32_t> routers::InRotation() const {
  std::vector<std::uint32_t> ready, all;
  for (const probed& item : entries_) {
    all.push_back(item.ip);
    if (item.misses < 2) {
      ready.push_back(item.ip);
    }
  }
  return ready.size() * 2 < all.size() ? all : ready;
}

std::uint32_t routers::Select(const endpoint& client,
                              const endpoint& service) const {
  const std::vector<std::uint32_t> nodes = InRotation();
  std::uint64_t hash = 0;
  for (const std::uint64_t part :
       {client.ip, std::uint32_t{client.port}, service.ip,
        std::uint32_t{service.port}}) {
    hash = (hash ^ part) * 0x9e3779b97f4a7c15ULL;
    hash ^= hash >> 29;
  }
  return nodes[(hash >> 8) % nodes.size()];
}

client::client(world& shared, routers& ingress, unsigned machine)
    : world_(shared), ingress_(ingress), ip_(shared.Ip(machine)) {
  socket_ = UdpSocket({ip_, world_.datagram_port});
  world_.loop.Watch(socket_, [this] {
    while (const auto received = ReceiveFrom(socket_)) {
      OnPacket(received->second);
    }
  });
}

std::shared_ptr<client::flow> client::Open(
    const endpoint& service,
    std::function<void(flow&)> on_open,
    std::uint32_t fixed_entry) {
  auto added = std::make_shared<flow>();
  added->local = {ip_, next_port_++};
  added->service = service;
  added->next_send = Random();
  added->fixed_entry = fixed_entry;
  flows_.push_back(added);
  if (on_open) {
    on_open_[added.get()] = std::move(on_open);
  }
  SendOpening(added);
  for (const millis delay : {kSecondOpening, kThirdOpening}) {
    world_.loop.After(delay, [this, added] {
      if (added->state == flow_state::opening) {
        ++added->copies;
        SendOpening(added);
      }
    });
  }
  world_.loop.After(kOpeningTimeout, [added] {
    if (added->state == flow_state::opening) {
      added->state = flow_state::timed_out;
      added->ended_at = steady::now();
    }
  });
  return added;
}

void client::SendOpening(const std::shared_ptr<flow>& on) {
  packet out;
  out.seq = on->next_send;
  out.ack = static_cast<std::uint32_t>(on->copies);
  out.flags = packet::kSyn;
  out.source = on->local;
  out.destination = on->service;
  const std::uint32_t entry = on->fixed_entry != 0
                                  ? on->fixed_entry
                                  : ingress_.Select(on->local, on->service);
  world_.log->Line("client %s sends opening packet %d to %s through %s",
                   Format(on->local).c_str(), on->copies + 1,
                   Format(on->service).c_str(), FormatIp(entry).c_str());
  SendTo(socket_, {entry, world_.datagram_port}, out.Encode());
}

void client::Send(flow& on,
                  int flags,
                  std::uint32_t seq,
                  const std::string& data) {
  packet out;
  out.seq = seq;
  out.ack = on.next_receive;
  out.flags = flags;
  out.source = on.local;
  out.destination = on.service;
  out.data = data;
  const std::uint32_t entry = on.fixed_entry != 0
                                  ? on.fixed_entry
                                  : ingress_.Select(on.local, on.service);
  SendTo(socket_, {entry, world_.datagram_port}, out.Encode());
}

void client::Request(const std::shared_ptr<flow>& on) {
  if (on->state != flow_state::open || on->waiting) {
    return;
  }
  static int number = 0;
  on->request_id = "q" + std::to_string(++number);
  on->waiting = true;
  on->pending = "GET / HTTP/1.1\r\nHost: " + FormatIp(on->service.ip) +
                "\r\nRequest-Id: " + on->request_id + "\r\n\r\n";
  on->sent_at = steady::now();
  world_.log->Line("client %s sends request %s", Format(on->local).c_str(),
                   on->request_id.c_str());
  SendRequest(on, kFirstRetransmission);
}

void client::SendRequest(const std::shared_ptr<flow>& on, millis next_delay) {
  if (on->state != flow_state::open || on->pending.empty()) {
    return;
  }
  if (steady::now() - on->sent_at > kRequestDeadline) {
    on->state = flow_state::timed_out;
    on->ended_at = steady::now();
    world_.log->Line("client %s gives up request %s",
                     Format(on->local).c_str(), on->request_id.c_str());
    return;
  }
  Send(*on, packet::kAck, on->next_send, on->pending);
  const std::string id = on->request_id;
  world_.loop.After(next_delay, [this, on, next_delay, id] {
    if (on->request_id == id) {
      SendRequest(on, std::min(kLongestRetransmission, next_delay * 2));
    }
  });
}

void client::OnPacket(const std::string& bytes) {
  bool intact = false;
  const auto in = packet::Decode(bytes, intact);
  if (!in) {
    ++altered;
    return;
  }
  const auto found = std::find_if(
      flows_.begin(), flows_.end(), [&](const std::shared_ptr<flow>& item) {
        return item->local == in->destination && item->service == in->source;
      });
  const bool own_reset = (in->flags & packet::kRst) != 0 && in->sum_is_zero;
  if ((!intact && !own_reset) || found == flows_.end()) {
    ++altered;
    world_.log->Line("a client gets a packet that nobody wrote so");
    return;
  }
  const std::shared_ptr<flow> on = *found;
  const bool ended =
      on->state != flow_state::opening && on->state != flow_state::open;
  if (ended) {
    return;
  }
  if ((in->flags & packet::kRst) != 0) {
    world_.log->Line(
        "client %s gets a reset (%s) of its flow to %s, which was %s%s%s",
        Format(on->local).c_str(), own_reset ? "sum 0" : "of its target",
        Format(on->service).c_str(),
        on->state == flow_state::open ? "open" : "not open",
        on->waiting ? ", while it waits for request " : "",
        on->waiting ? on->request_id.c_str() : "");
    on->reset_has_zero_sum = own_reset;
    on->ended_at = steady::now();
    on->state = flow_state::reset;
    return;
  }
  if ((in->flags & packet::kSyn) != 0) {
    if (on->state == flow_state::opening) {
      on->state = flow_state::open;
      on->opened_at = steady::now();
      on->next_receive = in->seq + 1;
      ++on->next_send;
      Send(*on, packet::kAck, on->next_send, "");
      const auto action = on_open_.find(on.get());
      if (action != on_open_.end()) {
        action->second(*on);
      }
    }
    return;
  }
  if (!on->pending.empty() &&
      in->ack == on->next_send +
                     static_cast<std::uint32_t>(on->pending.size())) {
    on->next_send = in->ack;
    on->pending.clear();
  }
  if (!in->data.empty() && in->seq == on->next_receive) {
    on->next_receive += static_cast<std::uint32_t>(in->data.size());
    Send(*on, packet::kAck, on->next_send, "");
    const std::string seal = HeaderValue(in->data, "Server-Seal");
    if (on->waiting && seal == "s-" + on->request_id) {
      on->waiting = false;
      ++on->answers;
      world_.log->Line("client %s gets the answer to request %s",
                       Format(on->local).c_str(), on->request_id.c_str());
    } else {
      ++altered;
      world_.log->Line("client %s gets an answer that is not its own",
                       Format(on->local).c_str());
    }
  } else if (!in->data.empty()) {
    Send(*on, packet::kAck, on->next_send, "");
  }
  if ((in->flags & packet::kFin) != 0) {
    ++on->next_receive;
    Send(*on, packet::kFin | packet::kAck, on->next_send, "");
    on->state = flow_state::closed;
    on->ended_at = steady::now();
    world_.log->Line("flow of client %s is closed by its target",
                     Format(on->local).c_str());
  }
}

}  // namespace review
