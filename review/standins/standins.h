// Stand-ins for one small deployment on loopback: the platform's store, its
// routers, targets and clients, and the processes of the system under test.
// Everything runs in one thread, driven by event_loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using millis = std::chrono::milliseconds;

// An IPv4 endpoint in host byte order.
struct endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const endpoint&) const = default;
};

std::uint32_t ParseIp(const std::string& text);
std::string FormatIp(std::uint32_t ip);
std::string Format(const endpoint& value);

// Timers and descriptors of one thread.
class event_loop {
 public:
  void Watch(int descriptor, std::function<void()> on_readable);
  void Unwatch(int descriptor);
  void After(millis delay, std::function<void()> action);
  void Every(millis period, std::function<void()> action);
  // Runs for the given time.
  void RunFor(millis duration);
  // Runs until the condition holds; returns false after the timeout.
  bool RunUntil(millis timeout, const std::function<bool()>& condition);

 private:
  void Step(steady::time_point latest);
  std::map<int, std::function<void()>> descriptors_;
  std::multimap<steady::time_point, std::function<void()>> timers_;
};

// Writes record.txt: one line for each event, with the time since the start.
class record {
 public:
  explicit record(const std::string& path);
  ~record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  double Seconds() const;

 private:
  std::FILE* file_;
  steady::time_point started_ = steady::now();
};

// What all stand-ins of a run share.
struct world {
  event_loop loop;
  record* log = nullptr;
  // Ports are the same on all machines.
  std::uint16_t datagram_port = 0, ready_port = 0, control_port = 0;
  std::uint16_t delivery_port = 0, peer_port = 0, app_port = 0,
                outbound_port = 0, store_port = 0;
  // First address of this run, 127.x.y.0.
  std::uint32_t base_ip = 0;
  std::string folder;  // temporary folder
  // Chooses addresses and ports that are free on this machine.
  void Reserve();
  std::uint32_t Ip(unsigned last) const { return base_ip + last; }
};

// One packet of a flow, in the form of PROTOCOL.md.
struct packet {
  static constexpr int kSyn = 1, kBounced = 2, kAck = 4, kRst = 16, kFin = 128;
  std::uint32_t seq = 0, ack = 0;
  int flags = 0;
  endpoint source, destination;
  std::string data;
  bool sum_is_zero = false;
  std::string Encode() const;  // with the keyed sum
  // Returns nothing if the packet is malformed; `intact` tells whether the
  // keyed sum fits.
  static std::optional<packet> Decode(const std::string& bytes, bool& intact);
};

int UdpSocket(const endpoint& local);
std::optional<std::pair<endpoint, std::string>> ReceiveFrom(int socket);
void SendTo(int socket, const endpoint& to, const std::string& bytes);

// The platform's store: /kv-range, /kv-watch and /kv-key.
class store {
 public:
  explicit store(world& shared);
  // Both return the revision of the change.
  std::uint64_t Put(const std::string& key, const std::string& value);
  std::uint64_t Remove(const std::string& key);
  std::string Address() const;
  // Number of calls answered so far.
  std::uint64_t Calls() const { return calls_; }
  // Size of the largest answer so far, in bytes.
  std::size_t LargestAnswer() const { return largest_answer_; }
  // Capacity of each caller's link, in bytes a second; 0 for no limit.
  void LimitLinks(std::uint64_t bytes_per_second);
  // While down, calls are answered with 503.
  void SetDown(bool down) { down_ = down; }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0, created = 0;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string json;
    steady::time_point at;
  };
  struct connection;
  void Accept();
  void Read(const std::shared_ptr<connection>& from);
  void Respond(const std::shared_ptr<connection>& to,
               int status,
               const std::string& body);
  void Drip(const std::shared_ptr<connection>& to);
  void Handle(const std::shared_ptr<connection>& from,
              const std::string& target);
  std::string Range(const std::string& prefix, const std::string& after);
  void ForgetHistory();

  world& world_;
  int listener_ = -1;
  std::map<std::string, item> items_;
  std::deque<change> history_;
  std::uint64_t revision_ = 1, forgotten_ = 0, calls_ = 0, rate_ = 0;
  std::size_t largest_answer_ = 0;
  bool down_ = false;
};

// One opening packet that a target took.
struct opening_seen {
  std::string target;
  endpoint client;
  endpoint service;
  steady::time_point at;
};

// A target beside an agent.
class target {
 public:
  target(world& shared,
         store& registry,
         unsigned machine,
         std::string id,
         std::string service,
         std::string zone);
  // Starts to serve and registers.
  void Start();
  // Writes the state `draining`, in which flows are closed after their next
  // response; returns the time of the acknowledgement.
  steady::time_point Drain();
  // Ends without a word.
  void Crash();
  std::string Entry() const;
  const std::string& Id() const { return id_; }
  std::uint32_t Ip() const { return ip_; }
  endpoint App() const;
  bool HoldsFlow(const endpoint& client, const endpoint& service) const;
  // Number of resets that this target has sent on the flow.
  int ResetsSent(const endpoint& client, const endpoint& service) const;
  std::vector<opening_seen> openings;
  // Requests that ran here, by their id, with the number of runs.
  std::map<std::string, int> runs;

 private:
  struct flow {
    std::uint32_t next_send = 0, unacknowledged = 0, next_receive = 0;
    bool open = false, closing = false, ended = false;
    int transmissions = 0;
    std::string pending;  // response that the client has not acknowledged
  };
  using flow_key = std::pair<endpoint, endpoint>;
  void OnPacket(const std::string& bytes);
  void OnRequest(const flow_key& key, const std::string& request);
  void SendPending(const flow_key& key, int transmission);
  void Send(const flow_key& key, int flags, std::uint32_t seq,
            std::uint32_t ack, const std::string& data);
  void Register();

  world& world_;
  store& registry_;
  std::uint32_t ip_;
  std::string id_, service_, zone_;
  std::string state_ = "ready";
  long long born_ = 0;
  int socket_ = -1, health_ = -1;
  std::map<flow_key, flow> flows_;
  std::map<flow_key, int> resets_;
};

// Outcome of a client's flow.
enum class flow_state { opening, open, closed, reset, timed_out };

// The platform's routers: they probe the entries and select one for a packet.
class routers {
 public:
  explicit routers(world& shared) : world_(shared) {}
  void Add(std::uint32_t entry);
  void Start();
  // Entries that answered the last probe.
  std::vector<std::uint32_t> InRotation() const;
  std::uint32_t Select(const endpoint& client, const endpoint& service) const;

 private:
  struct probed {
    std::uint32_t ip = 0;
    int misses = 2;
  };
  void Probe(std::size_t index);
  world& world_;
  std::vector<probed> entries_;
};

// A client machine. Each flow carries one connection; requests are sent one
// after the other.
class client {
 public:
  client(world& shared, routers& ingress, unsigned machine);
  struct flow {
    endpoint local, service;
    flow_state state = flow_state::opening;
    std::uint32_t next_send = 0, next_receive = 0, unacknowledged = 0;
    int copies = 0;
    bool waiting = false;
    std::string pending, request_id, first_reset;
    steady::time_point opened_at, ended_at, sent_at;
    int answers = 0;
    bool reset_has_zero_sum = false;
    // Entry that all packets of the flow are sent to; 0 for the routers'
    // choice.
    std::uint32_t fixed_entry = 0;
  };
  // Opens a flow; `on_open` is called once it is open.
  std::shared_ptr<flow> Open(const endpoint& service,
                             std::function<void(flow&)> on_open = {},
                             std::uint32_t fixed_entry = 0);
  // Sends a request on an open flow that has none waiting.
  void Request(const std::shared_ptr<flow>& on);
  std::uint32_t Ip() const { return ip_; }
  const std::vector<std::shared_ptr<flow>>& Flows() const { return flows_; }
  // Packets whose keyed sum did not fit and that were no resets.
  int altered = 0;

 private:
  void OnPacket(const std::string& bytes);
  void SendOpening(const std::shared_ptr<flow>& on);
  void SendRequest(const std::shared_ptr<flow>& on, millis next_delay);
  void Send(flow& on, int flags, std::uint32_t seq, const std::string& data);

  world& world_;
  routers& ingress_;
  std::uint32_t ip_;
  int socket_ = -1;
  std::uint16_t next_port_ = 2000;
  std::vector<std::shared_ptr<flow>> flows_;
  std::map<flow*, std::function<void(flow&)>> on_open_;
};

// The system's processes, started with the commands of the deploy file.
class processes {
 public:
  explicit processes(world& shared) : world_(shared) {}
  ~processes() { EndAll(); }
  // `first_start` is the platform's Bootstrap.
  void StartEntry(unsigned machine, const std::string& zone,
                  const store& platform, bool first_start);
  void StartAgent(unsigned machine, const std::string& zone,
                  const std::string& service, bool first_start);
  void Signal(unsigned machine, int signal);
  // Sends SIGTERM, waits at most `grace`, then SIGKILL.
  void Stop(unsigned machine, millis grace);
  bool IsRunning(unsigned machine);
  void EndAll();
  // Machines whose addresses are given to all as seeds.
  std::vector<unsigned> seeds;

 private:
  void Start(unsigned machine, const std::string& program,
             const std::string& settings);
  std::string Common(unsigned machine, const std::string& zone,
                     bool first_start) const;
  world& world_;
  std::map<unsigned, int> running_;
};

// Text of a configuration. `routes` maps an address and port to a service.
struct configuration {
  long long version = 1;
  struct route {
    std::string name;
    endpoint address;
    std::string service;
    std::string type = "safe";
    // Gets a tenth of the new flows if it is not empty.
    std::string second_service = {};
  };
  std::vector<route> routes;
  std::vector<std::string> services;
  std::string Text() const;
};

// A small deployment: entries on machines 1 to 3 in the zones a, b and c,
// agents and targets of service `desk` on machines 11 and 12 and of service
// `yard` on machines 13 and 14. All routes exist from the first version on.
struct deployment {
  explicit deployment(const std::string& record_path);
  // Starts everything; ends the program with kNotRun if that fails.
  void Start(std::uint64_t link_bytes_per_second = 0);
  // Writes the next version of the configuration and returns the time of its
  // acknowledgement.
  steady::time_point Publish();
  // The target that holds the flow; null if none does.
  target* HolderOf(const client::flow& flow);
  // Writes the result and returns the exit code.
  int Finish(bool broken, const std::string& what);

  record log;
  world shared;
  std::unique_ptr<store> platform;
  std::unique_ptr<routers> ingress;
  std::unique_ptr<processes> system;
  std::vector<std::unique_ptr<target>> targets;
  std::unique_ptr<client> user;
  configuration config;
  endpoint desk_address, yard_address;
};

// Whether the case runs with its disruption (TROUBLE is not 0).
bool WithTrouble();

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;

}  // namespace review
