#include "virtual_nodes.h"

#include <sstream>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

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
         DeliverToEntry(index, [this, index, bytes](time_point arrived_at) {
           packet decoded;
           if (DecodePacket(bytes, decoded) == result_code::answered) {
             entries_[index]->core.OnCallerPacket(
                 now_, arrived_at, service_, {kCaller, 4000}, decoded, bytes);
           }
         });
       });
}

void virtual_world::DeliverToEntry(
    std::size_t index,
    const std::function<void(time_point)>& deliver) {
  entry_node& node = *entries_[index];
  if (dead_entries_.contains(index)) {
    return;
  }
  if (node.frozen) {
    node.deferred.push_back(
        [deliver, arrived_at = now_] { deliver(arrived_at); });
  } else {
    deliver(now_);
  }
}

void virtual_world::FreezeEntry(std::size_t index) {
  entries_[index]->frozen = true;
}

void virtual_world::ThawEntry(std::size_t index) {
  entries_[index]->frozen = false;
  const auto deferred = std::move(entries_[index]->deferred);
  entries_[index]->deferred.clear();
  for (const auto& action : deferred) {
    action();
  }
}

void virtual_world::DeliverEnvelope(const endpoint& from,
                                    const endpoint& to,
                                    const std::string& bytes) {
  if (blocked_.contains({from, to}) || blocked_.contains({to, from})) {
    return;
  }
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    if (EntryAddress(index) == to) {
      DeliverToEntry(index, [this, index, from, bytes](time_point arrived_at) {
        envelope value;
        if (DecodeEnvelope(bytes, value) == result_code::answered) {
          entries_[index]->core.OnAgentEnvelope(now_, arrived_at, from, value);
        }
      });
      return;
    }
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    if (AgentAddress(index) == to) {
      DeliverToAgent(index, from, bytes);
    }
  }
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
        node.closed_at != time_point() && now_ - node.closed_at > 10s;
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
