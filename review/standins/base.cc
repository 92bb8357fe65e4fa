// Event loop, record, addresses and packets.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <random>

#include "standins.h"

namespace review {
namespace {

constexpr std::size_t kHeadBytes = 34;

sockaddr_in Native(const endpoint& value) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(value.ip);
  native.sin_port = htons(value.port);
  return native;
}

bool CanBind(int type, const endpoint& local) {
  const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in native = Native(local);
  const bool bound =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
             sizeof(native)) == 0;
  ::close(descriptor);
  return bound;
}

void Put(std::string& bytes, std::size_t at, std::uint32_t value, int size) {
  for (int index = 0; index < size; ++index) {
    bytes[at + static_cast<std::size_t>(index)] =
        static_cast<char>(value >> (8 * index));
  }
}

std::uint32_t Get(const std::string& bytes, std::size_t at, int size) {
  std::uint32_t value = 0;
  for (int index = 0; index < size; ++index) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(
                 bytes[at + static_cast<std::size_t>(index)]))
             << (8 * index);
  }
  return value;
}

// Sum over all fields but `echo`, `pad` and BOUNCED, with a key that only the
// two ends of a flow know.
std::uint32_t KeyedSum(std::string bytes) {
  Put(bytes, 0, 0, 4);
  Put(bytes, 12, 0, 4);
  Put(bytes, 17, 0, 3);
  bytes[16] = static_cast<char>(bytes[16] & ~packet::kBounced);
  std::uint32_t sum = 2166136261U ^ 0x5bd1e995U;
  for (const char byte : bytes) {
    sum = (sum ^ static_cast<unsigned char>(byte)) * 16777619U;
  }
  return sum == 0 ? 1 : sum;
}

}  // namespace

std::uint32_t ParseIp(const std::string& text) {
  in_addr parsed{};
  return ::inet_pton(AF_INET, text.c_str(), &parsed) == 1
             ? ntohl(parsed.s_addr)
             : 0;
}

std::string FormatIp(std::uint32_t ip) {
  char text[32];
  std::snprintf(text, sizeof(text), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255,
                (ip >> 8) & 255, ip & 255);
  return text;
}

std::string Format(const endpoint& value) {
  return FormatIp(value.ip) + ":" + std::to_string(value.port);
}

void event_loop::Watch(int descriptor, std::function<void()> on_readable) {
  descriptors_[descriptor] = std::move(on_readable);
}

void event_loop::Unwatch(int descriptor) {
  descriptors_.erase(descriptor);
}

void event_loop::After(millis delay, std::function<void()> action) {
  timers_.emplace(steady::now() + delay, std::move(action));
}

void event_loop::Every(millis period, std::function<void()> action) {
  After(period, [this, period, action = std::move(action)] {
    action();
    Every(period, action);
  });
}

void event_loop::Step(steady::time_point latest) {
  steady::time_point until = latest;
  if (!timers_.empty()) {
    until = std::min(until, timers_.begin()->first);
  }
  const auto wait =
      std::chrono::ceil<millis>(until - steady::now()).count();
  std::vector<pollfd> polled;
  for (const auto& [descriptor, action] : descriptors_) {
    polled.push_back({descriptor, POLLIN, 0});
  }
  ::poll(polled.data(), polled.size(),
         static_cast<int>(std::clamp<long long>(wait, 0, 1000)));
  for (const pollfd& item : polled) {
    const auto found = descriptors_.find(item.fd);
    if (item.revents != 0 && found != descriptors_.end()) {
      const auto action = found->second;
      action();
    }
  }
  while (!timers_.empty() && timers_.begin()->first <= steady::now()) {
    const auto action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

void event_loop::RunFor(millis duration) {
  RunUntil(duration, [] { return false; });
}

bool event_loop::RunUntil(millis timeout,
                          const std::function<bool()>& condition) {
  const auto latest = steady::now() + timeout;
  while (!condition()) {
    if (steady::now() >= latest) {
      return false;
    }
    Step(latest);
  }
  return true;
}

record::record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    std::perror(path.c_str());
    std::exit(kNotRun);
  }
}

record::~record() {
  std::fclose(file_);
}

double record::Seconds() const {
  return std::chrono::duration<double>(steady::now() - started_).count();
}

void record::Line(const char* format, ...) {
  std::fprintf(file_, "%8.3f ", Seconds());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
  std::fflush(file_);
}

void world::Reserve() {
  std::mt19937 random(std::random_device{}());
  const auto is_free = [&](std::uint16_t port) {
    for (const unsigned last : {1U, 2U, 3U, 4U, 11U, 12U, 13U, 14U, 21U, 200U}) {
      if (!CanBind(SOCK_DGRAM, {Ip(last), port}) ||
          !CanBind(SOCK_STREAM, {Ip(last), port})) {
        return false;
      }
    }
    return true;
  };
  base_ip = (127U << 24) | ((16 + random() % 200) << 16) |
            ((1 + random() % 250) << 8);
  for (std::uint16_t* port :
       {&datagram_port, &ready_port, &control_port, &delivery_port, &peer_port,
        &app_port, &outbound_port, &store_port}) {
    do {
      *port = static_cast<std::uint16_t>(10000 + random() % 20000);
    } while (!is_free(*port));
  }
}

std::string packet::Encode() const {
  std::string bytes(kHeadBytes, '\0');
  Put(bytes, 4, seq, 4);
  Put(bytes, 8, ack, 4);
  bytes[16] = static_cast<char>(flags);
  Put(bytes, 20, static_cast<std::uint32_t>(data.size()), 2);
  Put(bytes, 22, destination.port, 2);
  Put(bytes, 24, source.ip, 4);
  Put(bytes, 28, source.port, 2);
  Put(bytes, 30, destination.ip, 4);
  bytes += data;
  Put(bytes, 0, KeyedSum(bytes), 4);
  return bytes;
}

std::optional<packet> packet::Decode(const std::string& bytes, bool& intact) {
  if (bytes.size() < kHeadBytes ||
      bytes.size() != kHeadBytes + Get(bytes, 20, 2)) {
    return std::nullopt;
  }
  packet decoded;
  decoded.seq = Get(bytes, 4, 4);
  decoded.ack = Get(bytes, 8, 4);
  decoded.flags = static_cast<unsigned char>(bytes[16]);
  decoded.destination = {Get(bytes, 30, 4),
                         static_cast<std::uint16_t>(Get(bytes, 22, 2))};
  decoded.source = {Get(bytes, 24, 4),
                    static_cast<std::uint16_t>(Get(bytes, 28, 2))};
  decoded.data = bytes.substr(kHeadBytes);
  const std::uint32_t sum = Get(bytes, 0, 4);
  decoded.sum_is_zero = sum == 0;
  intact = sum == KeyedSum(bytes);
  return decoded;
}

int UdpSocket(const endpoint& local) {
  const int descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in native = Native(local);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
             sizeof(native)) != 0) {
    std::perror("bind");
    std::exit(kNotRun);
  }
  return descriptor;
}

std::optional<std::pair<endpoint, std::string>> ReceiveFrom(int socket) {
  char buffer[4096];
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  const ssize_t received =
      ::recvfrom(socket, buffer, sizeof(buffer), 0,
                 reinterpret_cast<sockaddr*>(&from), &size);
  if (received < 0) {
    return std::nullopt;
  }
  return std::pair(
      endpoint{ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
      std::string(buffer, static_cast<std::size_t>(received)));
}

void SendTo(int socket, const endpoint& to, const std::string& bytes) {
  const sockaddr_in native = Native(to);
  ::sendto(socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string configuration::Text() const {
  std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const route& item = routes[index];
    text += index == 0 ? "" : ",";
    text += "{\"Name\":\"" + item.name + "\",\"Hostname\":\"" +
            FormatIp(item.address.ip) + "\",\"Prefix\":\"/" +
            std::to_string(item.address.port) + "/\",\"Type\":\"" + item.type +
            "\",\"TimeoutMs\":2500,\"AimMs\":150,\"Priority\":2,";
    text += item.second_service.empty()
                ? "\"Service\":\"" + item.service + "\""
                : "\"TrafficSplit\":[{\"Service\":\"" + item.service +
                      "\",\"Weight\":90},{\"Service\":\"" +
                      item.second_service + "\",\"Weight\":10}]";
    text += ",\"MaxAttempts\":2}";
  }
  text += "],\"Services\":[";
  for (std::size_t index = 0; index < services.size(); ++index) {
    text += index == 0 ? "" : ",";
    text += "{\"Name\":\"" + services[index] +
            "\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,"
            "\"Protocol\":\"h1\",\"Tls\":false}";
  }
  return text +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

}  // namespace review
