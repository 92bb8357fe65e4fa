#include "virtual_nodes.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

}  // namespace

request_agent& virtual_world::Agent(std::size_t index) {
  return *agents_[index]->core;
}

bool virtual_world::IsUp(std::size_t index) const {
  return agents_[index]->core != nullptr;
}

std::uint32_t virtual_world::BusySlots(std::size_t index) const {
  return agents_[index]->busy;
}

void virtual_world::DeliverToAgent(std::size_t index,
                                   const endpoint& from,
                                   const std::string& bytes) {
  agent_node& node = *agents_[index];
  if (node.frozen) {
    node.deferred.push_back([this, index, from, bytes, arrived_at = now_] {
      ProcessAtAgent(index, arrived_at, from, bytes);
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
    node.core->OnLoadReport(now_, arrived_at, from, header);
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
  request_agent_identity identity;
  identity.target = TargetIdOf(TargetName(index));
  identity.service = service_;
  identity.incarnation = {Draw()};
  identity.control_port = kControlPort;
  identity.secret[0] = static_cast<std::uint8_t>(Draw());
  ++node.life;
  node.core = std::make_unique<request_agent>(identity, node, counters_);
  if (options_.reports) {
    node.core->SetReporting(options_.reports->threshold_permille,
                            options_.reports->per_second);
  }
  node.core->Configure(now_, document_, instances_);
  AgentTick(index, node.life);
}

void virtual_world::FreezeAgent(std::size_t index) {
  agents_[index]->frozen = agents_[index]->core != nullptr;
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

}  // namespace corianderplank
