/// @file
/// The nodes of a virtual world: entries, agents, callers' flows.
#pragma once

#include "virtual_world.h"

namespace corianderplank {

inline constexpr std::chrono::microseconds kTick{5000};
inline constexpr std::chrono::microseconds kFeedInterval{50000};
inline constexpr std::uint32_t kEntryNet = 0x0a000100;
inline constexpr std::uint32_t kAgentNet = 0x0a000200;
inline constexpr std::uint32_t kCaller = 0x0a000901;
inline constexpr std::uint16_t kDataPort = 6000;
inline constexpr std::uint16_t kControlPort = 6001;
inline const std::string kService = "service";

inline endpoint EntryAddress(std::size_t index) {
  return {kEntryNet + static_cast<std::uint32_t>(index) + 1, kDataPort};
}

inline endpoint AgentAddress(std::size_t index) {
  return {kAgentNet + static_cast<std::uint32_t>(index) + 1, kDataPort};
}

inline std::string TargetName(std::size_t index) {
  return "target-" + std::to_string(index + 1);
}

struct virtual_world::entry_node : request_entry_effects {
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
  bool frozen = false;
  /// What came while it was frozen, in the order of arrival.
  std::vector<std::function<void()>> deferred;
  request_entry core;
};

struct virtual_world::agent_node : request_agent_effects {
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
  std::unique_ptr<request_agent> core;
  backend_mode mode = backend_mode::works;
  std::uint32_t busy = 0;
  bool frozen = false;
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

}  // namespace corianderplank
