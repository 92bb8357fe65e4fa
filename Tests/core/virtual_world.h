/// @file
/// Fakes at the interfaces of core: a network with faults, backend servers,
/// callers and a clock, all in virtual time from one seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "caller/test_content.h"
#include "core/caller_flow.h"
#include "core/request_agent.h"
#include "core/request_entry.h"
#include "core/two_choice_picker.h"
#include "wire/datagram_codec.h"

namespace corianderplank {

/// When agents tell their load.
struct report_policy {
  std::uint32_t threshold_permille = 0;
  double per_second = 0;
};

/// Shape and faults of a world.
struct world_options {
  std::uint64_t seed = 1;
  std::size_t entries = 3;
  std::size_t agents = 4;
  std::uint32_t slots = 4;
  std::uint32_t connections = 2000;
  std::uint32_t queue_per_slot = 8;
  std::vector<traffic_class> classes;
  std::chrono::microseconds hop{500};
  std::chrono::microseconds caller_hop{1000};
  std::uint32_t loss_permille = 0;
  std::uint32_t duplicate_permille = 0;
  std::uint32_t reorder_permille = 0;
  bool trace = false;
  /// Replaces the product's policy of load reports.
  std::optional<report_policy> reports;
};

/// How a fake backend server behaves.
enum class backend_mode { works, unreachable, sheds, loses };

/// What a fake backend server did.
struct backend_record {
  std::size_t agent = 0;
  std::uint64_t request_id = 0;
  time_point started;
  time_point finished;
};

/// A submitted piece of work and how it ended.
struct work_record {
  request_spec spec;
  flow_id flow;
  std::vector<request_outcome> outcomes;
  std::vector<std::uint64_t> messages;
  bool wrong_content = false;
};

/// Creates a picker for one entry.
using picker_factory = std::function<std::unique_ptr<target_picker>(counters&)>;

/// The world.
class virtual_world {
 public:
  explicit virtual_world(const world_options& options,
                         const picker_factory& factory = nullptr);
  ~virtual_world();

  time_point Now() const { return now_; }
  void RunFor(std::chrono::microseconds duration);
  void At(std::chrono::microseconds delay, std::function<void()> action);

  /// Opens a flow with no work yet.
  flow_id OpenFlow();
  /// Announces work, so that the flow is not closed before it was submitted.
  void Expect(flow_id flow, int pieces);
  /// Submits work; service_time holds a slot of the fake backend server.
  std::uint64_t Submit(flow_id flow,
                       request_spec spec,
                       std::chrono::microseconds service_time,
                       std::uint32_t answer_bytes = 20);
  void CloseFlow(flow_id flow);
  /// Closes each flow as soon as its work has ended.
  void CloseWhenDone() { close_when_done_ = true; }

  void KillAgent(std::size_t index);
  void StartAgent(std::size_t index);
  void FreezeAgent(std::size_t index);
  void ThawAgent(std::size_t index);
  void DrainAgent(std::size_t index, drain_reason reason, bool active);
  void SetBackend(std::size_t index, backend_mode mode);
  void KillEntry(std::size_t index) { dead_entries_.insert(index); }
  void FreezeEntry(std::size_t index);
  void ThawEntry(std::size_t index);
  void StartEntry(std::size_t index) { dead_entries_.erase(index); }
  void Block(std::size_t first_agent, std::size_t second_agent, bool blocked);
  void BlockEntry(std::size_t entry, std::size_t agent, bool blocked);

  request_agent& Agent(std::size_t index);
  bool IsUp(std::size_t index) const;
  std::uint32_t BusySlots(std::size_t index) const;
  const environment_document& Document() const { return document_; }
  counters& Counters() { return counters_; }
  const std::vector<std::string>& Trace() const { return trace_; }
  const std::vector<backend_record>& Records() const { return records_; }
  const std::map<std::uint64_t, work_record>& Work() const { return work_; }
  std::size_t BrokenFlows() const { return broken_; }
  std::uint64_t ReportBytes() const { return report_bytes_; }
  std::uint64_t Reports() const { return reports_; }
  const std::map<std::uint64_t, result_code>& Verdicts() const {
    return verdicts_;
  }
  std::size_t OpenFlows() const { return flows_.size(); }

  /// @return every breach of what must always hold; empty when all is well.
  std::vector<std::string> Violations(bool all_ended = true) const;

 private:
  struct agent_node;
  struct entry_node;
  struct flow_node;
  struct event {
    time_point at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void BuildDocument();
  void Send(const std::string& from,
            const std::string& to,
            std::chrono::microseconds hop,
            std::string_view bytes,
            std::function<void(std::string)> deliver);
  void SendToEntry(const packet& value);
  void DeliverToEntry(std::size_t index,
                      const std::function<void(time_point)>& deliver);
  void DeliverToAgent(std::size_t index,
                      const endpoint& from,
                      const std::string& bytes);
  void ProcessAtAgent(std::size_t index,
                      time_point arrived_at,
                      const endpoint& from,
                      const std::string& bytes);
  void DeliverEnvelope(const endpoint& from,
                       const endpoint& to,
                       const std::string& bytes);
  void FinishExecution(std::size_t index,
                       std::uint64_t life,
                       const execution& call,
                       execution_status status);
  void AgentTick(std::size_t index, std::uint64_t life);
  void CallerTick();
  void Note(const std::string& line);
  std::uint64_t Draw() { return MixHash(options_.seed, ++draws_); }

  world_options options_;
  time_point now_;
  std::uint64_t draws_ = 0;
  std::uint64_t next_event_ = 0;
  std::uint64_t next_request_id_ = 1;
  std::uint64_t next_flow_ = 1;
  std::size_t broken_ = 0;
  std::uint64_t report_bytes_ = 0;
  std::uint64_t reports_ = 0;
  bool slots_exceeded_ = false;
  bool close_when_done_ = false;
  counters counters_;
  retry_budget budget_{0.2, 20};
  environment_document document_;
  instance_list instances_;
  service_id service_;
  token_locator locator_;
  datagram_encoder encoder_;
  datagram_encoder envelope_encoder_;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<agent_node>> agents_;
  std::vector<std::unique_ptr<entry_node>> entries_;
  std::map<flow_id, std::unique_ptr<flow_node>> flows_;
  std::map<std::uint64_t, work_record> work_;
  std::map<std::uint64_t, std::chrono::microseconds> service_times_;
  std::vector<backend_record> records_;
  std::vector<std::string> trace_;
  std::map<std::uint64_t, result_code> verdicts_;
  std::set<std::size_t> dead_entries_;
  std::set<std::pair<endpoint, endpoint>> blocked_;
};

}  // namespace corianderplank
