// Stand-ins for the cases of the second review: the platform's store, its
// routers, targets and clients, all in one process, and a supervisor for the
// project's own programs. They follow PROTOCOL.md and DEPLOY.md; all addresses
// are loopback addresses. Header only, POSIX and the standard library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---------------------------------------------------------------- basics

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       start)
      .count();
}

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The record of a run: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list list;
    va_start(list, format);
    std::vsnprintf(text, sizeof(text), format, list);
    va_end(list);
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", Now(), text);
      std::fflush(file_);
    }
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::fflush(nullptr);
  std::_Exit(2);
}

inline std::uint32_t AddressOf(const std::string& text) {
  in_addr parsed{};
  inet_pton(AF_INET, text.c_str(), &parsed);
  return ntohl(parsed.s_addr);
}

inline sockaddr_in SocketAddress(std::uint32_t address, std::uint16_t port) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(address);
  native.sin_port = htons(port);
  return native;
}

inline int UdpSocket(const std::string& ip, std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int bytes = 4 << 20;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  const sockaddr_in native = SocketAddress(AddressOf(ip), port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0) {
    CannotRun("UDP " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
  }
  return descriptor;
}

inline int TcpListener(const std::string& ip, std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = SocketAddress(AddressOf(ip), port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
      listen(descriptor, 128) != 0) {
    CannotRun("TCP " + ip + ":" + std::to_string(port) + ": " + std::strerror(errno));
  }
  return descriptor;
}

// ---------------------------------------------------------------- addresses

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kOutboundPort = 8162;
constexpr std::uint16_t kReadyPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kAppPort = 8165;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kFirstInternalPort = 7720;
constexpr std::uint16_t kLastInternalPort = 7735;

/// The machines of a run have addresses that no other run at this time has.
inline std::string Ip(int network, int host) {
  static const int run = static_cast<int>(getpid());
  return "127." + std::to_string(64 + run % 150) + "." +
         std::to_string(run / 150 % 60 * 4 + network) + "." + std::to_string(host);
}
inline std::string StoreIp() { return Ip(0, 7); }
inline std::string EntryIp(int index) { return Ip(1, 10 + index); }
inline std::string SideIp(int index) { return Ip(2, 10 + index); }
inline std::string ClientIp() { return Ip(3, 1); }

// ---------------------------------------------------------------- packets

constexpr std::uint8_t kSyn = 1;
constexpr std::uint8_t kBounced = 2;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kRst = 16;
constexpr std::uint8_t kFin = 128;
constexpr std::size_t kHead = 34;

struct Packet {
  std::uint32_t sum = 0, seq = 0, ack = 0, echo = 0;
  std::uint8_t flags = 0;
  std::uint32_t src = 0, dst = 0;
  std::uint16_t sport = 0, dport = 0;
  std::string data;

  std::uint32_t Sum() const {
    std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
    const auto mix = [&](std::uint64_t value) {
      hash = (hash ^ value) * 0xff51afd7ed558ccdULL;
      hash ^= hash >> 32;
    };
    mix(seq), mix(ack), mix(flags & ~kBounced), mix(src), mix(dst);
    mix(sport), mix(dport), mix(data.size());
    for (const char byte : data) {
      mix(static_cast<unsigned char>(byte));
    }
    return static_cast<std::uint32_t>(hash) | 1;
  }
  std::string Encode(bool with_sum = true) const {
    std::string bytes(kHead, '\0');
    const auto put = [&](std::size_t at, const void* value, std::size_t size) {
      std::memcpy(bytes.data() + at, value, size);
    };
    const std::uint32_t checked = with_sum ? Sum() : sum;
    const auto length = static_cast<std::uint16_t>(data.size());
    put(0, &checked, 4), put(4, &seq, 4), put(8, &ack, 4), put(12, &echo, 4);
    put(16, &flags, 1), put(20, &length, 2), put(22, &dport, 2);
    put(24, &src, 4), put(28, &sport, 2), put(30, &dst, 4);
    return bytes + data;
  }
  static std::optional<Packet> Decode(const std::string& bytes) {
    if (bytes.size() < kHead) {
      return std::nullopt;
    }
    Packet packet;
    const auto get = [&](std::size_t at, void* value, std::size_t size) {
      std::memcpy(value, bytes.data() + at, size);
    };
    std::uint16_t length = 0;
    get(0, &packet.sum, 4), get(4, &packet.seq, 4), get(8, &packet.ack, 4);
    get(12, &packet.echo, 4), get(16, &packet.flags, 1), get(20, &length, 2);
    get(22, &packet.dport, 2), get(24, &packet.src, 4);
    get(28, &packet.sport, 2), get(30, &packet.dst, 4);
    packet.data = bytes.substr(kHead);
    if (packet.data.size() != length) {
      return std::nullopt;
    }
    return packet;
  }
};

/// Client's end and service's end of a flow.
struct FlowKey {
  std::uint32_t client = 0;
  std::uint16_t client_port = 0;
  std::uint32_t service = 0;
  std::uint16_t service_port = 0;
  auto operator<=>(const FlowKey&) const = default;
};

inline std::string Name(const FlowKey& key) {
  in_addr address{htonl(key.service)};
  return std::to_string(key.client_port) + ">" + inet_ntoa(address) + ":" +
         std::to_string(key.service_port);
}

inline std::optional<std::string> ReceiveFrom(int descriptor) {
  char buffer[4096];
  const ssize_t size = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
  return size < 0 ? std::nullopt
                  : std::optional(std::string(buffer, static_cast<std::size_t>(size)));
}

// ---------------------------------------------------------------- store

inline std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t word = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      word = word << 8 | (at + i < bytes.size()
                              ? static_cast<unsigned char>(bytes[at + i])
                              : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i > bytes.size() ? '=' : digits[word >> (18 - 6 * i) & 63];
    }
  }
  return text;
}

/// How the store writes key bytes that are no UTF-8 into its JSON bodies.
enum class KeyBytes {
  as_they_are,  ///< The bytes themselves.
  escaped,      ///< \udcXX for each, as Python's "surrogateescape" and json do.
};

/// The platform's store: linearizable, one revision counter, loses nothing.
class Store {
 public:
  explicit Store(KeyBytes mode) : mode_(mode) {
    listener_ = TcpListener(StoreIp(), kStorePort);
    std::thread([this] { Accept(); }).detach();
  }

  std::uint64_t Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    events_.push_back({key, value, revision_, item.created, false});
    changed_.notify_all();
    return revision_;
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) > 0) {
      events_.push_back({key, {}, ++revision_, 0, true});
      changed_.notify_all();
    }
  }
  std::size_t Calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0, created = 0;
  };
  struct Event {
    std::string key, value;
    std::uint64_t revision = 0, created = 0;
    bool tombstone = false;
  };

  static std::size_t SequenceAt(const std::string& text, std::size_t at) {
    const auto byte = [&](std::size_t i) {
      return at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U;
    };
    const auto more = [&](std::size_t i) { return (byte(i) & 0xc0U) == 0x80U; };
    if (byte(0) < 0x80) return 1;
    if (byte(0) >= 0xc2 && byte(0) < 0xe0 && more(1)) return 2;
    if (byte(0) >= 0xe1 && byte(0) < 0xed && more(1) && more(2)) return 3;
    return 0;
  }
  std::string Quoted(const std::string& text) const {
    std::string out = "\"";
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t length = SequenceAt(text, at);
      const auto byte = static_cast<unsigned char>(text[at]);
      if (length == 0 && mode_ == KeyBytes::escaped) {
        char escape[8];
        std::snprintf(escape, sizeof(escape), "\\udc%02x", byte);
        out += escape;
        ++at;
      } else if (length <= 1) {
        if (byte < 0x20) {
          char escape[8];
          std::snprintf(escape, sizeof(escape), "\\u%04x", byte);
          out += escape;
        } else {
          out += byte == '"' || byte == '\\' ? "\\" : "";
          out += text[at];
        }
        ++at;
      } else {
        out += text.substr(at, length);
        at += length;
      }
    }
    return out + "\"";
  }
  std::string Json(const std::string& key, const std::string& value,
                   std::uint64_t revision, std::uint64_t created) const {
    return "{\"Key\":" + Quoted(key) + ",\"Value\":\"" + Base64(value) +
           "\",\"Revision\":" + std::to_string(revision) +
           ",\"CreatedRev\":" + std::to_string(created) + ",\"LeaseId\":0}";
  }

  void Accept() {
    while (true) {
      const int peer = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer >= 0) {
        std::thread([this, peer] { Serve(peer); }).detach();
      }
    }
  }
  void Serve(int peer) {
    const int on = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::string buffer;
    char part[4096];
    while (true) {
      const std::size_t end = buffer.find("\r\n\r\n");
      if (end == std::string::npos) {
        const ssize_t size = read(peer, part, sizeof(part));
        if (size <= 0) {
          break;
        }
        buffer.append(part, static_cast<std::size_t>(size));
        continue;
      }
      const std::string line = buffer.substr(0, buffer.find("\r\n"));
      buffer.erase(0, end + 4);
      ++calls_;
      const std::size_t from = line.find(' ') + 1;
      const auto [status, body] = Answer(line.substr(from, line.find(' ', from) - from));
      const std::string response =
          "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other") +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      if (send(peer, response.data(), response.size(), MSG_NOSIGNAL) < 0) {
        break;
      }
    }
    close(peer);
  }
  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t mark = target.find('?');
    std::size_t at = mark == std::string::npos ? target.size() : mark + 1;
    while (at < target.size()) {
      const std::size_t end = std::min(target.find('&', at), target.size());
      const std::string pair = target.substr(at, end - at);
      if (pair.rfind(name + "=", 0) == 0) {
        std::string value;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
          if (pair[i] == '%' && i + 2 < pair.size()) {
            value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            value += pair[i];
          }
        }
        return value;
      }
      at = end + 1;
    }
    return {};
  }
  std::pair<int, std::string> Answer(const std::string& target) {
    std::unique_lock lock(mutex_);
    const std::string prefix = Parameter(target, "Prefix");
    const std::string after = Parameter(target, "after");
    if (target.rfind("/kv-range", 0) == 0) {
      std::string body = "{\"items\":[";
      bool truncated = false;
      std::size_t count = 0;
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
          continue;
        }
        if (count == 500 || body.size() > 1000000) {
          truncated = true;
          break;
        }
        body += (count++ == 0 ? "" : ",") +
                Json(key, item.value, item.revision, item.created);
      }
      return {200, body + "],\"Truncated\":" + (truncated ? "true" : "false") +
                       ",\"AtRev\":" + std::to_string(revision_) + "}"};
    }
    if (target.rfind("/kv-watch", 0) == 0) {
      const std::uint64_t from = std::strtoull(after.c_str(), nullptr, 10);
      const int wait = std::atoi(Parameter(target, "WaitMs").c_str());
      const auto has = [&] { return revision_ > from; };
      changed_.wait_for(lock, std::chrono::milliseconds(wait), has);
      std::string body = "{\"events\":[";
      bool first = true;
      for (const Event& event : events_) {
        if (event.revision <= from || event.key.rfind(prefix, 0) != 0) {
          continue;
        }
        body += first ? "" : ",";
        first = false;
        body += event.tombstone
                    ? "{\"Key\":" + Quoted(event.key) + ",\"Revision\":" +
                          std::to_string(event.revision) + ",\"Tombstone\":true}"
                    : Json(event.key, event.value, event.revision, event.created);
      }
      return {200, body + "],\"AtRev\":" + std::to_string(revision_) + "}"};
    }
    if (target.rfind("/kv-key", 0) == 0) {
      const std::string key = Parameter(target, "Key");
      const auto found = items_.find(key);
      if (found != items_.end()) {
        std::string body = Json(key, found->second.value, found->second.revision,
                                found->second.created);
        body.back() = ',';
        return {200, body + "\"AtRev\":" + std::to_string(revision_) + "}"};
      }
    }
    return {404, "{}"};
  }

  KeyBytes mode_;
  int listener_ = -1;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::uint64_t revision_ = 100;
  std::atomic<std::size_t> calls_{0};
};

// ---------------------------------------------------------------- programs

/// One machine's program, started again after a short delay when it ends.
class Program {
 public:
  Program(std::string name, bool is_entry, int index, std::string service,
          std::string folder, Record& record, int entry_count)
      : name_(std::move(name)), is_entry_(is_entry), index_(index),
        service_(std::move(service)), folder_(std::move(folder)),
        record_(record), entry_count_(entry_count) {}

  void Start(bool first) {
    WriteSettings(first);
    const std::string path = folder_ + "/" + name_ + ".toml";
    const std::string log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("CORIANDERPLANK_NODE_FILE", path.c_str(), 1);
      const char* program = is_entry_
                                ? "target/Source/corianderplank_packet_entry"
                                : "target/Source/corianderplank_packet_agent";
      execl(program, program, "--settings", path.c_str(), nullptr);
      _exit(127);
    }
    start_at_ = 0;
    killed_ = false;
  }
  /// Notices the end of the process and starts it again 0.5 s later.
  void Tick() {
    if (pid_ > 0) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = 0;
        kill_at_ = 0;
        if (!killed_) {
          ++own_ends_;
          if (WIFEXITED(status) && WEXITSTATUS(status) == 127) {
            CannotRun("a program could not be started; build target/ first");
          }
        }
        record_.Line("ended %s %s %s %d", name_.c_str(),
                     killed_ ? "as told" : "by itself",
                     WIFSIGNALED(status) ? "signal" : "exit",
                     WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        start_at_ = Now() + 0.5;
      } else if (kill_at_ > 0 && Now() > kill_at_) {
        kill(pid_, SIGKILL);
        kill_at_ = 0;
      }
    } else if (start_at_ > 0 && Now() > start_at_ && !removed_) {
      record_.Line("started %s again", name_.c_str());
      Start(false);
    }
  }
  /// As the platform stops a process: SIGTERM, then SIGKILL after GraceS.
  void Stop() {
    if (pid_ > 0) {
      record_.Line("SIGTERM to %s", name_.c_str());
      killed_ = true;
      kill_at_ = Now() + 6;
      kill(pid_, SIGTERM);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) {
      record_.Line("signal %d to %s", number, name_.c_str());
      killed_ = killed_ || number == SIGKILL;
      kill(pid_, number);
    }
  }
  void End() {
    removed_ = true;
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  int OwnEnds() const { return own_ends_; }
  bool Runs() const { return pid_ > 0; }
  const std::string& Title() const { return name_; }

 private:
  // What deploy/entry.toml.in and deploy/agent.toml.in give on such a machine.
  void WriteSettings(bool first) const {
    const std::string ip = is_entry_ ? EntryIp(index_) : SideIp(index_);
    const auto at = [](const std::string& address, int port) {
      return "\"" + address + ":" + std::to_string(port) + "\"";
    };
    std::string text = "name = \"" + name_ + "\"\nfailure_domain = \"karaganda\"\n" +
                       "first_start = " + (first ? "1" : "0") + "\n" +
                       "packets = " + at(ip, kPacketPort) + "\n" +
                       "delivery_port = " + std::to_string(kFirstInternalPort) + "\n" +
                       "peer_port = " + std::to_string(kLastInternalPort) + "\n" +
                       "readiness = " + at(ip, kReadyPort) + "\n" +
                       "metrics_port = " + std::to_string(kLastInternalPort) + "\n";
    std::string seeds;
    for (int seed = 0; seed < std::min(3, entry_count_); ++seed) {
      seeds += (seed == 0 ? "" : ",") + at(EntryIp(seed), kControlPort);
    }
    if (is_entry_) {
      text += "belief = " + at(ip, kControlPort) + "\nplatform = " +
              at(StoreIp(), kStorePort) + "\nseeds = [" + seeds + "]\n";
    } else {
      text += "seeds = [" + seeds + "]\nservice = \"" + service_ + "\"\ntarget = " +
              at(ip, kAppPort) + "\noutbound = " + at(ip, kOutboundPort) + "\n";
    }
    text += "longest_flow_s = 60\nstop_limit_s = 6\nlink_mbps = 1000.0\n";
    if (!is_entry_) {
      text += "agreements = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
              "\"flows\",\"platform\"]\npace = \"slots\"\n";
    }
    const std::string path = folder_ + "/" + name_ + ".toml";
    if (std::FILE* file = std::fopen(path.c_str(), "w")) {
      std::fputs(text.c_str(), file);
      std::fclose(file);
    }
  }

  std::string name_;
  bool is_entry_;
  int index_;
  std::string service_, folder_;
  Record& record_;
  int entry_count_;
  pid_t pid_ = 0;
  double start_at_ = 0, kill_at_ = 0;
  bool killed_ = false, removed_ = false;
  int own_ends_ = 0;
};

// ---------------------------------------------------------------- targets

/// A target: flows over UDP beside its node, health over TCP, its entry in the
/// store. Answers each request with its own id and the id of the target.
class Target {
 public:
  Target(std::string id, int index, std::string service, int slots, Store& store,
         Record& record)
      : id_(std::move(id)), index_(index), service_(std::move(service)),
        slots_(slots), store_(store), record_(record), born_(WallMs()) {
    udp_ = UdpSocket(SideIp(index), kAppPort);
    listener_ = TcpListener(SideIp(index), kAppPort);
    std::thread([this] { ServeHealth(); }).detach();
  }

  void Beat() {
    store_.Put("servers/" + id_,
               "{\"Service\":\"" + service_ + "\",\"Address\":\"" + SideIp(index_) +
                   ":" + std::to_string(kAppPort) +
                   "\",\"Zone\":\"karaganda\",\"Version\":\"v1\",\"Concurrency\":" +
                   std::to_string(slots_) + ",\"State\":\"" +
                   (draining_ ? "draining" : "ready") +
                   "\",\"ColdRemainingMs\":0,\"Seq\":" + std::to_string(++beats_) +
                   ",\"born\":" + std::to_string(born_) + "}");
    next_beat_ = Now() + 0.77;
  }
  void Drain() {
    draining_ = true;
    Beat();
    record_.Line("draining %s", id_.c_str());
  }
  int Descriptor() const { return udp_; }
  const std::string& Id() const { return id_; }
  const std::string& Service() const { return service_; }
  bool HasOpen(const FlowKey& key) const {
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.open;
  }
  bool HasReset(const FlowKey& key) const { return reset_.contains(key); }
  const std::map<std::string, int>& Runs() const { return runs_; }
  /// When the first packet of the flow's opening arrived; 0 if none did.
  double OpenedAt(const FlowKey& key) const {
    const auto found = opened_at_.find(key);
    return found == opened_at_.end() ? 0 : found->second;
  }

  void Tick() {
    if (Now() > next_beat_) {
      Beat();
    }
    while (const auto bytes = ReceiveFrom(udp_)) {
      if (const auto packet = Packet::Decode(*bytes)) {
        OnPacket(*packet);
      }
    }
    std::erase_if(running_, [&](const Work& work) {
      if (Now() < work.done_at) {
        return false;
      }
      Answer(work);
      return true;
    });
    while (!waiting_.empty() && static_cast<int>(running_.size()) < slots_) {
      Begin(waiting_.front());
      waiting_.pop_front();
    }
    for (auto& [key, flow] : flows_) {
      Repeat(key, flow);
    }
  }

 private:
  struct Flow {
    std::uint32_t isn = 0, received = 0, next = 0;
    bool open = false, client_finished = false, finished = false;
    int odd = 0;
    std::string input;
    std::string unacked;  // The packet that waits for an acknowledgement.
    std::uint32_t unacked_end = 0;
    double repeat_at = 0, pause = 0.2;
    int repeats = 0;
  };
  struct Work {
    FlowKey key;
    std::string request;
    double seconds = 0, done_at = 0;
  };

  Packet Make(const FlowKey& key, const Flow& flow, std::uint8_t flags) const {
    Packet packet;
    packet.src = key.service, packet.sport = key.service_port;
    packet.dst = key.client, packet.dport = key.client_port;
    packet.flags = flags;
    packet.seq = flow.next, packet.ack = flow.received;
    return packet;
  }
  void Send(const std::string& bytes) {
    const sockaddr_in to = SocketAddress(AddressOf(SideIp(index_)), kOutboundPort);
    sendto(udp_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }
  void SendKept(Flow& flow, const Packet& packet, std::uint32_t end) {
    flow.unacked = packet.Encode();
    flow.unacked_end = end;
    flow.pause = 0.2;
    flow.repeats = 0;
    flow.repeat_at = Now() + flow.pause;
    Send(flow.unacked);
  }
  void Repeat(const FlowKey& key, Flow& flow) {
    if (flow.unacked.empty() || Now() < flow.repeat_at) {
      return;
    }
    if (++flow.repeats > 8) {
      record_.Line("%s gives up %s", id_.c_str(), Name(key).c_str());
      flow.unacked.clear();
      flow.open = false;
      return;
    }
    flow.pause = std::min(1.6, 2 * flow.pause);
    flow.repeat_at = Now() + flow.pause;
    Send(flow.unacked);
  }
  void Return(Packet packet) {
    packet.flags |= kBounced;
    Send(packet.Encode(false));
  }

  void OnPacket(const Packet& packet) {
    const FlowKey key{packet.src, packet.sport, packet.dst, packet.dport};
    if (packet.sum != packet.Sum()) {
      record_.Line("UNASKED %s got a packet that its sender did not write", id_.c_str());
      return;
    }
    auto found = flows_.find(key);
    if (packet.flags & kSyn) {
      if (found == flows_.end()) {
        Flow flow;
        flow.isn = 0x1000U + static_cast<std::uint32_t>(std::rand()) % 0x7fff0000U;
        flow.next = flow.isn;
        flow.received = packet.seq + 1;
        opened_at_.try_emplace(key, Now());
        found = flows_.emplace(key, flow).first;
        Flow& added = found->second;
        const Packet accept = Make(key, added, kSyn | kAck);
        added.next = added.isn + 1;
        SendKept(added, accept, added.isn + 1);
      } else if (!found->second.open) {
        Send(found->second.unacked);
      } else {
        Return(packet);
      }
      return;
    }
    if (found == flows_.end()) {
      Return(packet);
      return;
    }
    Flow& flow = found->second;
    if (packet.flags & kRst) {
      flows_.erase(found);
      return;
    }
    if (!flow.open && !flow.finished) {
      if (packet.ack != flow.isn + 1) {
        reset_.insert(key);
        Packet reset = Make(key, flow, kRst);
        reset.seq = packet.ack;
        Send(reset.Encode());
        return;
      }
      flow.open = true;
      record_.Line("open %s at %s", Name(key).c_str(), id_.c_str());
    }
    if (!flow.unacked.empty() &&
        static_cast<std::int32_t>(packet.ack - flow.unacked_end) >= 0) {
      flow.unacked.clear();
    }
    if (!packet.data.empty()) {
      if (packet.seq == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        flow.input += packet.data;
        if (++flow.odd % 2 == 0) {
          Send(Make(key, flow, kAck).Encode());
        }
        TakeRequest(key, flow);
      } else {
        // A copy, or out of order: its sender learns what is expected.
        Send(Make(key, flow, kAck).Encode());
      }
    }
    if (packet.flags & kFin) {
      if (packet.seq + packet.data.size() == flow.received && !flow.client_finished) {
        flow.client_finished = true;
        flow.received += 1;
      }
      if (!flow.finished) {
        flow.finished = true;
        const Packet finish = Make(key, flow, kFin | kAck);
        flow.next += 1;
        flow.open = false;
        SendKept(flow, finish, flow.next);
      } else {
        Send(Make(key, flow, kAck).Encode());
      }
    }
  }

  static std::string Header(const std::string& text, const std::string& name) {
    const std::size_t at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + name.size() + 4;
    return text.substr(from, text.find("\r\n", from) - from);
  }
  void TakeRequest(const FlowKey& key, Flow& flow) {
    const std::size_t end = flow.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::size_t body = std::strtoul(Header(flow.input, "Content-Length").c_str(), nullptr, 10);
    if (flow.input.size() < end + 4 + body) {
      return;
    }
    Work work;
    work.key = key;
    work.request = Header(flow.input, "Request-Id");
    work.seconds = std::atof(Header(flow.input, "Work-Ms").c_str()) / 1000;
    flow.input.erase(0, end + 4 + body);
    waiting_.push_back(work);
  }
  void Begin(Work work) {
    ++runs_[work.request];
    record_.Line("runs %s at %s (%s) %s", work.request.c_str(), id_.c_str(),
                 service_.c_str(), Name(work.key).c_str());
    work.done_at = Now() + work.seconds;
    running_.push_back(work);
  }
  void Answer(const Work& work) {
    const auto found = flows_.find(work.key);
    if (found == flows_.end()) {
      return;
    }
    Flow& flow = found->second;
    Packet packet = Make(work.key, flow, kAck);
    packet.data = "HTTP/1.1 200 OK\r\nRequest-Id: " + work.request +
                  "\r\nServer-Seal: " + id_ + "\r\nContent-Length: 0\r\n\r\n";
    flow.next += static_cast<std::uint32_t>(packet.data.size());
    SendKept(flow, packet, flow.next);
  }

  void ServeHealth() {
    while (true) {
      const int peer = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) {
        continue;
      }
      std::thread([this, peer] {
        timeval limit{2, 0};
        setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        char buffer[2048];
        if (read(peer, buffer, sizeof(buffer)) > 0) {
          const std::string answer = std::string("HTTP/1.1 ") +
                                     (draining_ ? "503 Leaving" : "200 OK") +
                                     "\r\nContent-Length: 0\r\n\r\n";
          send(peer, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        close(peer);
      }).detach();
    }
  }

  std::string id_;
  int index_;
  std::string service_;
  int slots_;
  Store& store_;
  Record& record_;
  std::int64_t born_;
  std::atomic<bool> draining_{false};
  int beats_ = 0;
  double next_beat_ = 0;
  int udp_ = -1, listener_ = -1;
  std::map<FlowKey, Flow> flows_;
  std::set<FlowKey> reset_;
  std::map<FlowKey, double> opened_at_;
  std::deque<Work> waiting_;
  std::vector<Work> running_;
  std::map<std::string, int> runs_;
};

// ---------------------------------------------------------------- routers

/// The platform's routers: which entries are in rotation, by two probes a
/// second, and the entry of a packet by a hash of the four addresses and ports.
class Routers {
 public:
  explicit Routers(int entries) : in_(static_cast<std::size_t>(entries)) {
    socket_ = UdpSocket(Ip(3, 2), 0);
    for (int index = 0; index < entries; ++index) {
      std::thread([this, index] { Probe(index); }).detach();
    }
  }
  int InRotation() const {
    int count = 0;
    for (const auto& in : in_) {
      count += in ? 1 : 0;
    }
    return count;
  }
  void Forward(const FlowKey& key, const std::string& bytes) {
    std::vector<int> nodes;
    for (std::size_t i = 0; i < in_.size(); ++i) {
      if (in_[i]) {
        nodes.push_back(static_cast<int>(i));
      }
    }
    if (2 * nodes.size() < in_.size()) {
      nodes.clear();
      for (std::size_t i = 0; i < in_.size(); ++i) {
        nodes.push_back(static_cast<int>(i));
      }
    }
    std::uint64_t hash = key.client * 0x9e3779b97f4a7c15ULL + key.client_port;
    hash = (hash ^ key.service) * 0xff51afd7ed558ccdULL + key.service_port;
    hash = (hash ^ (hash >> 29)) * 0xc4ceb9fe1a85ec53ULL;
    const int node = nodes[(hash >> 17) % nodes.size()];
    const sockaddr_in to = SocketAddress(AddressOf(EntryIp(node)), kPacketPort);
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

 private:
  static bool IsReady(int index) {
    const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{0, 400000};
    setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(peer, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const sockaddr_in to = SocketAddress(AddressOf(EntryIp(index)), kReadyPort);
    bool ready = false;
    if (connect(peer, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
      const std::string text = "GET /readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
      send(peer, text.data(), text.size(), MSG_NOSIGNAL);
      char buffer[512] = {};
      ready = read(peer, buffer, sizeof(buffer) - 1) > 12 &&
              std::strncmp(buffer + 9, "200", 3) == 0;
    }
    close(peer);
    return ready;
  }
  void Probe(int index) {
    int misses = 2;
    while (true) {
      misses = IsReady(index) ? 0 : misses + 1;
      in_[static_cast<std::size_t>(index)] = misses < 2;
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
  }
  std::vector<std::atomic<bool>> in_;
  int socket_ = -1;
};

// ---------------------------------------------------------------- clients

/// One request of a client and what became of it.
struct Request {
  std::string id;
  FlowKey key;
  double sent_at = 0;      ///< The client began it: opened or used the flow.
  double answered_at = 0;  ///< 0 if not.
  std::string seal;
  bool was_reset = false;
  bool failed = false;
  bool flow_was_open = false;  ///< The client had the target's acceptance.
};

/// A reset without a checksum that a client got.
struct Reset {
  double at = 0;
  FlowKey key;
  bool client_open = false;
};

class Clients {
 public:
  Clients(Routers& routers, Record& record) : routers_(routers), record_(record) {
    socket_ = UdpSocket(ClientIp(), kPacketPort);
  }
  int Descriptor() const { return socket_; }

  /// Opens a flow for a request. With `keep`, the flow stays for more.
  FlowKey Open(const std::string& host, std::uint16_t port, int work_ms,
               bool keep, double deadline = 3.0) {
    const FlowKey key{AddressOf(ClientIp()), next_port_++, AddressOf(host), port};
    Flow& flow = flows_[key];
    flow.isn = 0x1000U + static_cast<std::uint32_t>(std::rand()) % 0x7fff0000U;
    flow.next = flow.isn + 1;
    flow.opened_at = Now();
    flow.keep = keep;
    Begin(key, flow, work_ms, deadline);
    SendSyn(key, flow);
    return key;
  }
  /// Sends a further request on a kept flow; false if it is not usable.
  bool Again(const FlowKey& key, int work_ms, double deadline = 3.0) {
    const auto found = flows_.find(key);
    if (found == flows_.end() || !found->second.open || found->second.request >= 0) {
      return false;
    }
    Begin(key, found->second, work_ms, deadline);
    SendData(key, found->second);
    return true;
  }
  bool IsOpen(const FlowKey& key) const {
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.open;
  }
  const std::vector<Request>& Requests() const { return requests_; }
  const std::vector<Reset>& Resets() const { return resets_; }

  void Tick() {
    while (const auto bytes = ReceiveFrom(socket_)) {
      if (const auto packet = Packet::Decode(*bytes)) {
        OnPacket(*packet);
      }
    }
    std::vector<FlowKey> ended;
    for (auto& [key, flow] : flows_) {
      const double age = Now() - flow.opened_at;
      if (!flow.open && !flow.ending) {
        if (flow.copies < 3 && age > (flow.copies == 1 ? 0.2 : 0.6)) {
          SendSyn(key, flow);
        }
        if (age > 1.4) {
          Fail(flow, "not opened");
          ended.push_back(key);
          continue;
        }
      }
      if (flow.request >= 0 && Now() > flow.deadline) {
        Fail(flow, "deadline");
        ended.push_back(key);
        continue;
      }
      if (!flow.unacked.empty() && Now() > flow.repeat_at) {
        flow.pause = std::min(1.6, 2 * flow.pause);
        flow.repeat_at = Now() + flow.pause;
        routers_.Forward(key, flow.unacked);
      }
      if (flow.ending && Now() > flow.ending_at + 4) {
        ended.push_back(key);
      }
    }
    for (const FlowKey& key : ended) {
      flows_.erase(key);
    }
  }

 private:
  struct Flow {
    std::uint32_t isn = 0, next = 0, received = 0;
    double opened_at = 0;
    int copies = 0;
    bool open = false, keep = false, ending = false;
    double ending_at = 0;
    int request = -1;
    int work_ms = 0;
    double deadline = 0;
    std::string unacked;
    std::uint32_t unacked_end = 0;
    double repeat_at = 0, pause = 0.2;
  };

  void Begin(const FlowKey& key, Flow& flow, int work_ms, double deadline) {
    Request request;
    request.id = "q" + std::to_string(requests_.size());
    request.key = key;
    request.sent_at = Now();
    flow.request = static_cast<int>(requests_.size());
    flow.work_ms = work_ms;
    flow.deadline = Now() + deadline;
    requests_.push_back(request);
    record_.Line("sends %s on %s", request.id.c_str(), Name(key).c_str());
  }
  void Fail(Flow& flow, const char* why) {
    if (flow.request >= 0) {
      Request& request = requests_[static_cast<std::size_t>(flow.request)];
      request.failed = true;
      record_.Line("failed %s: %s", request.id.c_str(), why);
      flow.request = -1;
    }
  }
  Packet Make(const FlowKey& key, const Flow& flow, std::uint8_t flags) const {
    Packet packet;
    packet.src = key.client, packet.sport = key.client_port;
    packet.dst = key.service, packet.dport = key.service_port;
    packet.flags = flags;
    packet.seq = flow.next, packet.ack = flow.received;
    return packet;
  }
  void SendSyn(const FlowKey& key, Flow& flow) {
    Packet packet = Make(key, flow, kSyn);
    packet.seq = flow.isn;
    packet.ack = static_cast<std::uint32_t>(flow.copies++);
    routers_.Forward(key, packet.Encode());
  }
  void Keep(const FlowKey& key, Flow& flow, const Packet& packet, std::uint32_t end) {
    flow.unacked = packet.Encode();
    flow.unacked_end = end;
    flow.pause = 0.2;
    flow.repeat_at = Now() + flow.pause;
    routers_.Forward(key, flow.unacked);
  }
  void SendData(const FlowKey& key, Flow& flow) {
    Packet packet = Make(key, flow, kAck);
    packet.data = "POST /work HTTP/1.1\r\nRequest-Id: " +
                  requests_[static_cast<std::size_t>(flow.request)].id +
                  "\r\nWork-Ms: " + std::to_string(flow.work_ms) +
                  "\r\nContent-Length: 0\r\n\r\n";
    flow.next += static_cast<std::uint32_t>(packet.data.size());
    Keep(key, flow, packet, flow.next);
  }
  void OnPacket(const Packet& packet) {
    const FlowKey key{packet.dst, packet.dport, packet.src, packet.sport};
    const auto found = flows_.find(key);
    if (packet.flags & kRst) {
      const bool open = found != flows_.end() && found->second.open && !found->second.ending;
      record_.Line("reset on %s, %s, %s", Name(key).c_str(),
                   packet.sum == 0 ? "of the system" : "of a target",
                   open ? "open" : "not open");
      if (packet.sum == 0) {
        resets_.push_back({Now(), key, open});
      }
      if (found != flows_.end()) {
        Flow& flow = found->second;
        const std::uint32_t distance = packet.seq - flow.received + 76800;
        if (!flow.open || distance <= 2 * 76800) {
          if (flow.request >= 0) {
            Request& request = requests_[static_cast<std::size_t>(flow.request)];
            request.was_reset = true;
            request.flow_was_open = flow.open;
          }
          Fail(flow, "reset");
          flows_.erase(found);
        }
      }
      return;
    }
    if (packet.sum != packet.Sum()) {
      record_.Line("MIXED a client got a packet that its sender did not write");
      return;
    }
    if (found == flows_.end()) {
      return;
    }
    Flow& flow = found->second;
    if (packet.flags & kSyn) {
      if (!flow.open) {
        flow.open = true;
        flow.received = packet.seq + 1;
        if (flow.request >= 0) {
          SendData(key, flow);
        }
      } else if (packet.seq + 1 == flow.received || flow.request < 0) {
        routers_.Forward(key, Make(key, flow, kAck).Encode());
      }
      return;
    }
    if (!flow.unacked.empty() &&
        static_cast<std::int32_t>(packet.ack - flow.unacked_end) >= 0) {
      flow.unacked.clear();
    }
    if (!packet.data.empty()) {
      if (packet.seq == flow.received) {
        flow.received += static_cast<std::uint32_t>(packet.data.size());
        TakeAnswer(key, flow, packet.data);
      }
      routers_.Forward(key, Make(key, flow, kAck).Encode());
    }
    if (packet.flags & kFin) {
      if (packet.seq + packet.data.size() == flow.received) {
        flow.received += 1;
      }
      routers_.Forward(key, Make(key, flow, kAck).Encode());
      if (!flow.ending) {
        Finish(key, flow);
      }
    }
  }
  void TakeAnswer(const FlowKey& key, Flow& flow, const std::string& data) {
    if (flow.request < 0) {
      return;
    }
    Request& request = requests_[static_cast<std::size_t>(flow.request)];
    if (data.find("Request-Id: " + request.id + "\r\n") == std::string::npos) {
      record_.Line("MIXED %s got another answer", request.id.c_str());
      return;
    }
    request.answered_at = Now();
    const std::size_t at = data.find("Server-Seal: ") + 13;
    request.seal = data.substr(at, data.find("\r\n", at) - at);
    record_.Line("answered %s by %s", request.id.c_str(), request.seal.c_str());
    flow.request = -1;
    if (!flow.keep) {
      Finish(key, flow);
    }
  }
  void Finish(const FlowKey& key, Flow& flow) {
    flow.ending = true;
    flow.ending_at = Now();
    const Packet packet = Make(key, flow, kFin | kAck);
    flow.next += 1;
    Keep(key, flow, packet, flow.next);
  }

  Routers& routers_;
  Record& record_;
  int socket_ = -1;
  std::uint16_t next_port_ = 20000;
  std::map<FlowKey, Flow> flows_;
  std::vector<Request> requests_;
  std::vector<Reset> resets_;
};

// ---------------------------------------------------------------- deployment

/// A small deployment: entries, and a node beside each target.
class Deployment {
 public:
  /// `services` has the service of each target.
  Deployment(const std::string& folder, Record& record, KeyBytes mode, int entries,
             const std::vector<std::string>& services)
      : record(record), store(mode), routers(entries), clients(routers, record) {
    signal(SIGPIPE, SIG_IGN);
    std::srand(1);
    for (std::size_t i = 0; i < services.size(); ++i) {
      targets.push_back(std::make_unique<Target>("i-" + std::to_string(i),
                                                 static_cast<int>(i), services[i],
                                                 4, store, record));
      programs.push_back(std::make_unique<Program>(
          "side-" + std::to_string(i), false, static_cast<int>(i), services[i],
          folder, record, entries));
    }
    for (int i = 0; i < entries; ++i) {
      programs.push_back(std::make_unique<Program>("frontend-" + std::to_string(i),
                                                   true, i, "", folder, record,
                                                   entries));
    }
  }
  ~Deployment() {
    for (auto& program : programs) {
      program->End();
    }
  }
  /// Starts everything and waits until all entries are in rotation.
  void Start() {
    for (auto& program : programs) {
      program->Start(true);
    }
    const double limit = Now() + 20;
    while (routers.InRotation() < static_cast<int>(Entries().size())) {
      Step();
      if (Now() > limit) {
        CannotRun("not all entries became ready");
      }
    }
    RunFor(1.0);
  }
  std::vector<Program*> Entries() const {
    std::vector<Program*> found;
    for (const auto& program : programs) {
      if (program->Title().rfind("frontend", 0) == 0) {
        found.push_back(program.get());
      }
    }
    return found;
  }
  Program& Find(const std::string& name) {
    for (auto& program : programs) {
      if (program->Title() == name) {
        return *program;
      }
    }
    CannotRun("no program " + name);
  }
  void Step() {
    std::vector<pollfd> waits;
    waits.push_back({clients.Descriptor(), POLLIN, 0});
    for (auto& target : targets) {
      waits.push_back({target->Descriptor(), POLLIN, 0});
    }
    poll(waits.data(), waits.size(), 1);
    for (auto& target : targets) {
      target->Tick();
    }
    clients.Tick();
    if (Now() > next_programs_) {
      next_programs_ = Now() + 0.02;
      for (auto& program : programs) {
        program->Tick();
      }
    }
  }
  /// Runs for a time and calls `work` each `gap` seconds.
  void RunFor(double seconds, double gap = 0, const std::function<void()>& work = {}) {
    const double end = Now() + seconds;
    double next = Now();
    while (Now() < end) {
      if (gap > 0 && Now() >= next) {
        next += gap;
        work();
      }
      Step();
    }
  }

  Record& record;
  Store store;
  Routers routers;
  Clients clients;
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<Program>> programs;

 private:
  double next_programs_ = 0;
};

struct Route {
  std::string host;
  int port = 0;
  std::string type;
  std::string service;
};

/// The body of op/config.
inline std::string Configuration(int version, const std::vector<Route>& routes,
                                 const std::set<std::string>& services) {
  std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
  int count = 0;
  for (const Route& route : routes) {
    text += (count++ == 0 ? "" : ",") + std::string("{\"Name\":\"r") +
            std::to_string(count) + "\",\"Hostname\":\"" + route.host +
            "\",\"Prefix\":\"/" + std::to_string(route.port) + "/\",\"Type\":\"" +
            route.type + "\",\"TimeoutMs\":3000,\"AimMs\":200,\"Priority\":1,\"Service\":\"" +
            route.service + "\",\"MaxAttempts\":2}";
  }
  text += "],\"Services\":[";
  count = 0;
  for (const std::string& service : services) {
    text += (count++ == 0 ? "" : ",") + std::string("{\"Name\":\"") + service +
            "\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,"
            "\"Protocol\":\"h1\",\"Tls\":false}";
  }
  return text + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
                "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

/// The settings of a run: the folder of the case and of the daemons' files.
struct Arguments {
  std::string record, folder;
  bool trouble = true;
};
inline Arguments Parse(int argc, char** argv) {
  if (argc < 3) {
    CannotRun("usage: CASE RECORD FOLDER");
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review
