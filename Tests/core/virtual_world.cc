#include "virtual_world.h"

#include <sstream>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr microseconds kTick = 5ms;
constexpr microseconds kFeedInterval = 50ms;
constexpr std::uint32_t kEntryNet = 0x0a000100;
constexpr std::uint32_t kAgentNet = 0x0a000200;
constexpr std::uint32_t kCaller = 0x0a000901;
constexpr std::uint16_t kDataPort = 6000;
constexpr std::uint16_t kControlPort = 6001;
const std::string kService = "service";

endpoint EntryAddress(std::size_t index) {
  return {kEntryNet + static_cast<std::uint32_t>(index) + 1, kDataPort};
}

endpoint AgentAddress(std::size_t index) {
  return {kAgentNet + static_cast<std::uint32_t>(index) + 1, kDataPort};
}

std::string TargetName(std::size_t index) {
  return "target-" + std::to_string(index + 1);
}

const char* KindName(packet_kind kind) {
  static constexpr const char* kNames[] = {
      "?",      "open",        "opened", "request", "progress",
      "answer", "acknowledge", "cancel", "refused", "move",
      "ping",   "pong",        "close",  "verdict", "noted"};
  return kNames[static_cast<int>(kind)];
}

std::string Describe(const packet& value) {
  std::ostringstream out;
  out << KindName(value.kind) << " flow=" << value.flow.value;
  if (value.kind == packet_kind::open || value.kind == packet_kind::opened) {
    out << " attempt=" << value.attempt;
  }
  if (value.sequence != 0) {
    out << " sequence=" << value.sequence;
  }
  if (value.kind == packet_kind::answer ||
      value.kind == packet_kind::acknowledge) {
    out << " fragment=" << value.fragment << (value.last ? " last" : "");
  }
  if (value.kind == packet_kind::refused) {
    out << " code=" << ResultCodeName(value.code);
  }
  if (!value.payload.empty() && value.kind != packet_kind::open) {
    out << " bytes=" << value.payload.size();
  }
  return out.str();
}

}  // namespace

struct virtual_world::entry_node : entry_effects {
  entry_node(virtual_world& world,
             std::size_t index,
             const picker_factory& make)
      : world(world),
        index(index),
        picker(make ? make(world.counters_)
                    : std::make_unique<two_choice_picker>(world.counters_)),
        core(EntryAddress(index),
             kControlPort,
             *this,
             world.locator_,
             *picker,
             world.counters_) {}

  void SendToAgent(const endpoint& to, const envelope& value) override {
    const endpoint self = EntryAddress(index);
    world.Send("entry-" + std::to_string(index + 1), "agent",
               world.options_.hop, world.envelope_encoder_.Encode(value),
               [this, self, to](const std::string& bytes) {
                 world.DeliverEnvelope(self, to, bytes);
               });
  }
  void SendToCaller(service_id,
                    const endpoint& /*caller*/,
                    std::string_view datagram) override {
    world.Send("entry-" + std::to_string(index + 1), "caller",
               world.options_.caller_hop, datagram,
               [this](const std::string& bytes) { ToCaller(bytes); });
  }
  void ReplyToCaller(service_id service,
                     const endpoint& caller,
                     const packet& value,
                     std::size_t) override {
    const std::string bytes(world.encoder_.Encode(value));
    SendToCaller(service, caller, bytes);
  }
  void RecordVerdict(service_id, const flow_event& event) override {
    world.verdicts_[event.request_id] = event.code;
  }
  void FetchDocumentFrom(const endpoint&) override {}
  void ToCaller(const std::string& bytes);

  virtual_world& world;
  std::size_t index;
  std::unique_ptr<target_picker> picker;
  entry core;
};

struct virtual_world::agent_node : agent_effects {
  agent_node(virtual_world& world, std::size_t index)
      : world(world), index(index) {}

  void SendToCaller(const endpoint& entry,
                    const envelope& header,
                    const packet& value) override {
    envelope complete = header;
    complete.inner = world.encoder_.Encode(value);
    SendEnvelope(entry, complete);
  }
  void SendEnvelope(const endpoint& to, const envelope& value) override {
    const std::string bytes(world.envelope_encoder_.Encode(value));
    if (value.kind == envelope_kind::load_report) {
      ++world.reports_;
      world.report_bytes_ += bytes.size() + 28;
    }
    const endpoint self = AgentAddress(index);
    world.Send(TargetName(index), "peer", world.options_.hop, bytes,
               [this, self, to](const std::string& sent) {
                 world.DeliverEnvelope(self, to, sent);
               });
  }
  void StartExecution(const execution& call) override;
  void CancelExecution(std::uint64_t id) override {
    cancelled.insert(id);
    const std::uint64_t current = life;
    world.At(world.options_.hop, [this, id, current] {
      execution call;
      call.id = id;
      const auto held = running.find(id);
      if (held != running.end()) {
        call = held->second;
        world.FinishExecution(index, current, call, execution_status::lost);
      }
    });
  }
  void RequestFence(std::uint64_t resume_id,
                    const endpoint& control,
                    const fence_request& request) override;
  void FetchDocumentFrom(const endpoint&) override {}
  void RecordEvent(const flow_event&) override {}

  virtual_world& world;
  std::size_t index;
  std::uint64_t life = 0;
  std::unique_ptr<agent> core;
  backend_mode mode = backend_mode::works;
  std::uint32_t busy = 0;
  bool frozen = false;
  time_point frozen_at;
  /// What came while it was frozen, in the order of arrival.
  std::vector<std::function<void()>> deferred;
  std::map<std::uint64_t, execution> running;
  std::set<std::uint64_t> cancelled;
};

struct virtual_world::flow_node : caller_effects {
  flow_node(virtual_world& world, flow_id id)
      : world(world),
        id(id),
        core(world.service_, id, *this, world.budget_, world.counters_) {}
  void Send(const packet& value) override { world.SendToEntry(value); }
  void OnOutcome(const request_outcome& outcome) override {
    work_record& record = world.work_.at(outcome.request_id);
    record.outcomes.push_back(outcome);
    const bool answered = outcome.outcome == outcome_kind::answered;
    if (answered && record.spec.work != work_kind::feed) {
      const auto order = ParseWorkOrder(record.spec.payload);
      record.wrong_content |= outcome.answer != AnswerTo(*order);
    }
    if (answered && record.spec.work == work_kind::feed) {
      record.wrong_content |= record.messages.size() != record.spec.count;
    }
    world.Note("outcome request=" + std::to_string(outcome.request_id) + " " +
               std::string(OutcomeName(outcome.outcome)) + " " +
               std::string(ResultCodeName(outcome.code)));
    done = --unfinished == 0;
  }
  void OnFeedMessage(std::uint64_t request_id,
                     std::uint64_t position,
                     std::string_view message) override {
    work_record& record = world.work_.at(request_id);
    record.wrong_content |=
        position != record.spec.position + record.messages.size() ||
        message != FeedMessage(kService, position);
    record.messages.push_back(position);
  }
  void OnBroken(result_code) override { ++world.broken_; }

  virtual_world& world;
  flow_id id;
  int unfinished = 0;
  int expected = 0;
  bool done = false;
  time_point closed_at;
  caller_flow core;
};

void virtual_world::entry_node::ToCaller(const std::string& bytes) {
  packet value;
  if (DecodePacket(bytes, value) != result_code::answered) {
    return;
  }
  const auto found = world.flows_.find(value.flow);
  if (found != world.flows_.end()) {
    found->second->core.OnPacket(world.now_, value);
  }
}

virtual_world::virtual_world(const world_options& options,
                             const picker_factory& factory)
    : options_(options),
      now_(time_point() + std::chrono::hours(1)),
      service_(ServiceIdOf(kService)) {
  BuildDocument();
  const auto table =
      std::make_shared<const routing_table>(document_, instances_, nullptr);
  for (std::size_t index = 0; index < options_.entries; ++index) {
    entries_.push_back(std::make_unique<entry_node>(*this, index, factory));
    entries_.back()->core.UseTable(table);
  }
  for (std::size_t index = 0; index < options_.agents; ++index) {
    agents_.push_back(std::make_unique<agent_node>(*this, index));
    StartAgent(index);
  }
  At(kTick, [this] { CallerTick(); });
}

virtual_world::~virtual_world() = default;

agent& virtual_world::Agent(std::size_t index) {
  return *agents_[index]->core;
}

bool virtual_world::IsUp(std::size_t index) const {
  return agents_[index]->core != nullptr;
}

std::uint32_t virtual_world::BusySlots(std::size_t index) const {
  return agents_[index]->busy;
}

void virtual_world::BuildDocument() {
  service of;
  of.name = kService;
  of.id = service_;
  of.port = 7000;
  of.queue_per_slot = options_.queue_per_slot;
  of.classes = options_.classes;
  if (of.classes.empty()) {
    of.classes.emplace_back();
  }
  for (std::size_t index = 0; index < options_.agents; ++index) {
    target item;
    item.name = TargetName(index);
    item.id = TargetIdOf(item.name);
    item.agent = AgentAddress(index);
    item.control = {item.agent.address, kControlPort};
    item.slots = options_.slots;
    item.connections = options_.connections;
    of.targets.push_back(item);
  }
  document_.environment = "test";
  document_.revision = {1};
  document_.services.push_back(of);
  for (std::size_t index = 0; index < options_.entries; ++index) {
    instance item;
    item.name = "entry-" + std::to_string(index + 1);
    item.data = EntryAddress(index);
    instances_.instances.push_back(item);
  }
}

void virtual_world::Note(const std::string& line) {
  if (!options_.trace) {
    return;
  }
  const auto since = now_ - (time_point() + std::chrono::hours(1));
  trace_.push_back(
      std::to_string(std::chrono::duration_cast<microseconds>(since).count()) +
      " " + line);
}

void virtual_world::At(microseconds delay, std::function<void()> action) {
  events_.push({now_ + delay, ++next_event_, std::move(action)});
}

void virtual_world::RunFor(microseconds duration) {
  const time_point end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
  now_ = end;
}

void virtual_world::Send(const std::string& from,
                         const std::string& to,
                         microseconds hop,
                         std::string_view bytes,
                         std::function<void(std::string)> deliver) {
  if (options_.trace) {
    packet value;
    envelope wrapped;
    std::string_view inner = bytes;
    if (to != "entry" && to != "caller" &&
        DecodeEnvelope(bytes, wrapped) == result_code::answered) {
      inner = wrapped.inner;
    }
    if (!inner.empty() && DecodePacket(inner, value) == result_code::answered) {
      Note(from + " -> " + to + " " + Describe(value));
    }
  }
  const std::uint64_t draw = Draw() % 1000;
  if (draw < options_.loss_permille) {
    return;
  }
  int copies = 1;
  if (draw < options_.loss_permille + options_.duplicate_permille) {
    copies = 2;
  }
  for (int copy = 0; copy < copies; ++copy) {
    microseconds delay = hop;
    if (Draw() % 1000 < options_.reorder_permille || copy > 0) {
      delay += microseconds(Draw() % 20000);
    }
    At(delay, [deliver, sent = std::string(bytes)] { deliver(sent); });
  }
}

void virtual_world::SendToEntry(const packet& value) {
  const std::size_t index = Draw() % entries_.size();
  Send("caller", "entry", options_.caller_hop, encoder_.Encode(value),
       [this, index](const std::string& bytes) {
         if (dead_entries_.contains(index)) {
           return;
         }
         packet decoded;
         if (DecodePacket(bytes, decoded) == result_code::answered) {
           entries_[index]->core.OnCallerPacket(now_, service_, {kCaller, 4000},
                                                decoded, bytes);
         }
       });
}

void virtual_world::DeliverEnvelope(const endpoint& from,
                                    const endpoint& to,
                                    const std::string& bytes) {
  if (blocked_.contains({from, to}) || blocked_.contains({to, from})) {
    return;
  }
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    if (EntryAddress(index) == to && !dead_entries_.contains(index)) {
      envelope value;
      if (DecodeEnvelope(bytes, value) == result_code::answered) {
        entries_[index]->core.OnAgentEnvelope(now_, from, value);
      }
      return;
    }
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    if (AgentAddress(index) == to) {
      DeliverToAgent(index, from, bytes);
    }
  }
}

void virtual_world::DeliverToAgent(std::size_t index,
                                   const endpoint& from,
                                   const std::string& bytes) {
  agent_node& node = *agents_[index];
  if (node.frozen) {
    node.deferred.push_back([this, index, from, bytes] {
      ProcessAtAgent(index, agents_[index]->frozen_at, from, bytes);
    });
    return;
  }
  ProcessAtAgent(index, now_, from, bytes);
}

void virtual_world::ProcessAtAgent(std::size_t index,
                                   time_point arrived_at,
                                   const endpoint& from,
                                   const std::string& bytes) {
  agent_node& node = *agents_[index];
  envelope header;
  if (node.core == nullptr ||
      DecodeEnvelope(bytes, header) != result_code::answered) {
    return;
  }
  if (header.kind == envelope_kind::load_report) {
    node.core->OnLoadReport(now_, from, header);
    return;
  }
  packet value;
  if (DecodePacket(header.inner, value) == result_code::answered) {
    node.core->OnPacket(now_, arrived_at, header, value);
  }
}

void virtual_world::agent_node::StartExecution(const execution& call) {
  execution held = call;
  held.payload = {};
  const std::uint64_t current = life;
  if (mode == backend_mode::unreachable || mode == backend_mode::sheds) {
    const auto status = mode == backend_mode::sheds
                            ? execution_status::shed
                            : execution_status::unreachable;
    running[call.id] = held;
    world.At(1ms, [this, held, status, current] {
      world.FinishExecution(index, current, held, status);
    });
    return;
  }
  microseconds duration = kFeedInterval;
  if (call.work != work_kind::feed) {
    duration = world.service_times_.at(call.request_id);
    world.records_.push_back(
        {index, call.request_id, world.now_, world.now_ + duration});
    ++busy;
    world.slots_exceeded_ |= busy > world.options_.slots;
  }
  running[call.id] = held;
  const auto status = mode == backend_mode::loses ? execution_status::lost
                                                  : execution_status::completed;
  world.At(duration, [this, held, status, current] {
    world.FinishExecution(index, current, held, status);
  });
}

void virtual_world::FinishExecution(std::size_t index,
                                    std::uint64_t life,
                                    const execution& call,
                                    execution_status status) {
  agent_node& node = *agents_[index];
  const auto held = node.running.find(call.id);
  if (held == node.running.end()) {
    return;
  }
  node.running.erase(held);
  const bool held_slot =
      status == execution_status::completed || status == execution_status::lost;
  if (call.work != work_kind::feed && held_slot) {
    --node.busy;
  }
  if (node.core == nullptr || node.life != life) {
    return;
  }
  execution_result result;
  result.status = status;
  if (status == execution_status::completed) {
    if (call.work == work_kind::feed) {
      result.messages.push_back(FeedMessage(kService, call.position));
    } else {
      const auto order = ParseWorkOrder(work_.at(call.request_id).spec.payload);
      result.body = AnswerTo(*order);
    }
  }
  if (node.frozen) {
    node.deferred.push_back([this, index, id = call.id, result] {
      agents_[index]->core->OnExecutionResult(now_, id, result);
    });
    return;
  }
  node.core->OnExecutionResult(now_, call.id, std::move(result));
}

void virtual_world::agent_node::RequestFence(std::uint64_t resume_id,
                                             const endpoint& control,
                                             const fence_request& request) {
  const endpoint self = AgentAddress(index);
  const endpoint to{control.address, kDataPort};
  if (world.blocked_.contains({self, to}) ||
      world.blocked_.contains({to, self})) {
    return;
  }
  const std::uint64_t current = life;
  world.At(world.options_.hop, [this, to, request, resume_id, current] {
    for (auto& node : world.agents_) {
      if (AgentAddress(node->index) != to || node->core == nullptr) {
        continue;
      }
      const auto answer = [this, &node, request, resume_id, current] {
        const fence_reply reply = node->core->OnFenceRequest(request);
        world.At(world.options_.hop, [this, resume_id, reply, current] {
          if (core != nullptr && life == current && !frozen) {
            core->OnFenceReply(world.now_, resume_id, reply);
          }
        });
      };
      if (node->frozen) {
        node->deferred.push_back(answer);
      } else {
        answer();
      }
    }
  });
}

void virtual_world::AgentTick(std::size_t index, std::uint64_t life) {
  agent_node& node = *agents_[index];
  if (node.core == nullptr || node.life != life) {
    return;
  }
  if (!node.frozen) {
    node.core->Tick(now_);
  }
  At(kTick, [this, index, life] { AgentTick(index, life); });
}

void virtual_world::KillAgent(std::size_t index) {
  agent_node& node = *agents_[index];
  node.core.reset();
  node.frozen = false;
  node.deferred.clear();
  ++node.life;
  // The backend server sees its connections close and stops what it runs.
  for (const auto& [id, call] : node.running) {
    node.busy -= call.work == work_kind::feed ? 0 : 1;
  }
  node.running.clear();
}

void virtual_world::StartAgent(std::size_t index) {
  agent_node& node = *agents_[index];
  agent_identity identity;
  identity.target = TargetIdOf(TargetName(index));
  identity.service = service_;
  identity.incarnation = {Draw()};
  identity.control_port = kControlPort;
  identity.secret[0] = static_cast<std::uint8_t>(Draw());
  ++node.life;
  node.core = std::make_unique<agent>(identity, node, counters_);
  if (options_.reports) {
    node.core->SetReporting(options_.reports->threshold_permille,
                            options_.reports->per_second);
  }
  node.core->Configure(now_, document_, instances_);
  AgentTick(index, node.life);
}

void virtual_world::FreezeAgent(std::size_t index) {
  agents_[index]->frozen = agents_[index]->core != nullptr;
  agents_[index]->frozen_at = now_;
}

void virtual_world::ThawAgent(std::size_t index) {
  agent_node& node = *agents_[index];
  if (!node.frozen) {
    return;
  }
  node.frozen = false;
  if (Draw() % 2 == 0) {
    node.core->Tick(now_);
  }
  const auto deferred = std::move(node.deferred);
  node.deferred.clear();
  for (const auto& action : deferred) {
    action();
  }
}

void virtual_world::DrainAgent(std::size_t index,
                               drain_reason reason,
                               bool active) {
  if (agents_[index]->core != nullptr) {
    agents_[index]->core->SetDrain(reason, active);
  }
}

void virtual_world::SetBackend(std::size_t index, backend_mode mode) {
  agents_[index]->mode = mode;
}

void virtual_world::Block(std::size_t first, std::size_t second, bool blocked) {
  const std::pair pair{AgentAddress(first), AgentAddress(second)};
  if (blocked) {
    blocked_.insert(pair);
  } else {
    blocked_.erase(pair);
  }
}

void virtual_world::BlockEntry(std::size_t entry,
                               std::size_t agent,
                               bool blocked) {
  const std::pair pair{EntryAddress(entry), AgentAddress(agent)};
  if (blocked) {
    blocked_.insert(pair);
  } else {
    blocked_.erase(pair);
  }
}

flow_id virtual_world::OpenFlow() {
  const flow_id id{MixHash(options_.seed, next_flow_++) | 1};
  const flow_id flow = options_.trace ? flow_id{next_flow_ - 1} : id;
  flows_[flow] = std::make_unique<flow_node>(*this, flow);
  return flow;
}

void virtual_world::Expect(flow_id flow, int pieces) {
  flow_node& node = *flows_.at(flow);
  node.unfinished += pieces;
  node.expected += pieces;
}

std::uint64_t virtual_world::Submit(flow_id flow,
                                    request_spec spec,
                                    microseconds service_time,
                                    std::uint32_t answer_bytes) {
  spec.request_id = next_request_id_++;
  work_order order;
  order.service = kService;
  order.request_id = spec.request_id;
  order.duration = service_time;
  order.answer_bytes = answer_bytes;
  if (spec.work != work_kind::feed) {
    spec.payload = FormatWorkOrder(order);
  }
  service_times_[spec.request_id] = service_time;
  work_record& record = work_[spec.request_id];
  record.spec = spec;
  record.flow = flow;
  flow_node& node = *flows_.at(flow);
  if (node.expected > 0) {
    --node.expected;
  } else {
    ++node.unfinished;
  }
  node.done = false;
  node.core.Submit(now_, spec);
  return spec.request_id;
}

void virtual_world::CloseFlow(flow_id flow) {
  flow_node& node = *flows_.at(flow);
  node.core.Close();
  node.closed_at = now_;
}

void virtual_world::CallerTick() {
  for (auto item = flows_.begin(); item != flows_.end();) {
    flow_node& node = *item->second;
    node.core.Tick(now_);
    if (close_when_done_ && node.done && node.closed_at == time_point()) {
      CloseFlow(node.id);
    }
    const bool gone =
        node.closed_at != time_point() && now_ - node.closed_at > 3s;
    item = gone ? flows_.erase(item) : std::next(item);
  }
  At(kTick, [this] { CallerTick(); });
}

std::vector<std::string> virtual_world::Violations(bool all_ended) const {
  std::vector<std::string> wrong;
  std::map<std::uint64_t, int> runs;
  for (const backend_record& record : records_) {
    ++runs[record.request_id];
  }
  for (const auto& [id, record] : work_) {
    const std::string name = "request " + std::to_string(id);
    const int ran = runs.contains(id) ? runs.at(id) : 0;
    const bool once =
        record.spec.work == work_kind::request && !record.spec.idempotent;
    if (once && ran > 1) {
      wrong.push_back(name + " ran " + std::to_string(ran) + " times");
    }
    if (record.wrong_content) {
      wrong.push_back(name + " has wrong contents");
    }
    if (record.outcomes.size() > 1 || (all_ended && record.outcomes.empty())) {
      wrong.push_back(name + " has " + std::to_string(record.outcomes.size()) +
                      " outcomes");
    }
    for (const request_outcome& outcome : record.outcomes) {
      const bool answered = outcome.outcome == outcome_kind::answered;
      if (verdicts_.contains(id) &&
          (answered || verdicts_.at(id) != outcome.code)) {
        wrong.push_back(name + " has a verdict that is not its outcome");
      }
      if (outcome.outcome == outcome_kind::not_run && ran > 0) {
        wrong.push_back(name + " was called not run and ran");
      }
      const bool told = outcome.outcome == outcome_kind::answered &&
                        record.spec.work != work_kind::feed;
      if (told && ran == 0) {
        wrong.push_back(name + " was answered and did not run");
      }
    }
  }
  if (slots_exceeded_) {
    wrong.emplace_back("a backend server had more work than slots");
  }
  return wrong;
}

}  // namespace corianderplank
