#include "core/packet_agent.h"

#include <string>
#include <utility>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Messages that wait for a handover. Entries repeat what exceeds the limit.
constexpr std::size_t kMaxDeferredMessages = 512;

}  // namespace

void packet_agent::Defer(const endpoint& entry, const mesh_message& message) {
  if (deferred_.size() < kMaxDeferredMessages) {
    deferred_.push_back({entry, message, std::string(message.payload)});
  }
}

flow_handover packet_agent::HandOver(time_point now) const {
  flow_handover handover;
  handover.service = settings_.service;
  handover.started_ms = settings_.started_ms;
  handover.complete = KnowsAllFlows(now, 0);
  handover.flows.reserve(flows_.size());
  for (const auto& [flow, record] : flows_) {
    // A flow in any other phase may change at its ends while no agent runs.
    handover.flows.push_back({flow, record.client_acknowledgement.value_or(0),
                              record.phase == flow_phase::open
                                  ? flow_query_result::holds
                                  : flow_query_result::unknown});
  }
  return handover;
}

void packet_agent::OnHandover(time_point now, const flow_handover& handover) {
  if (handover.service != settings_.service) {
    OnNoHandover(now);
    return;
  }
  for (const flow_query& item : handover.flows) {
    if (flows_.contains(item.flow)) {
      continue;
    }
    flow_record& record = FindOrInsert(now, item.flow);
    if (item.result == flow_query_result::holds) {
      SetPhase(record, flow_phase::open);
      if (item.acknowledgement != 0) {
        record.client_acknowledgement = item.acknowledgement;
      }
    }
  }
  handover_complete_ |= handover.complete;
  HandleDeferredMessages(now);
}

void packet_agent::OnNoHandover(time_point now) {
  HandleDeferredMessages(now);
}

void packet_agent::HandleDeferredMessages(time_point now) {
  awaits_handover_ = false;
  for (const deferred_message& item : std::exchange(deferred_, {})) {
    mesh_message message = item.message;
    message.payload = item.payload;
    HandleEntryMessage(now, item.entry, message);
  }
}

}  // namespace corianderplank
