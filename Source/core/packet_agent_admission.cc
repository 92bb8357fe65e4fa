#include "core/packet_agent.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How long an outdated entry avoids a target whose failure domain is evacuated
/// before it tries again: far above the time in which it learns of it.
constexpr milliseconds kEvacuatedPause = 1000ms;

}  // namespace

bool packet_agent::RefuseWhileFailing(time_point now,
                                      const endpoint& entry,
                                      const flow_address& flow) {
  const milliseconds pause = breaker_.Admit(now);
  if (pause == 0ms) {
    return false;
  }
  RefuseFor(now, result_code::opening_while_failing, entry, flow, pause);
  return true;
}

bool packet_agent::RefuseForDomainOrCold(time_point now,
                                         const endpoint& entry,
                                         const flow_address& flow,
                                         bool is_cold_limited) {
  if (evacuation_.IsClosed(now)) {
    RefuseFor(now, result_code::opening_while_evacuated, entry, flow,
              kEvacuatedPause);
    return true;
  }
  const milliseconds wait = is_cold_limited ? cold_budget_.Wait(now) : 0ms;
  if (wait == 0ms) {
    return false;
  }
  RefuseFor(now, result_code::opening_while_cold, entry, flow, wait);
  return true;
}

bool packet_agent::RefuseWhileSuspected(time_point now,
                                        const endpoint& entry,
                                        const flow_address& flow,
                                        bool repeatable) {
  const milliseconds pause = watch_.Admit(now, repeatable);
  if (pause == 0ms) {
    return false;
  }
  RefuseFor(now, result_code::opening_while_failing, entry, flow, pause,
            /*suspected=*/true);
  return true;
}

void packet_agent::RefuseFor(time_point now,
                             result_code code,
                             const endpoint& entry,
                             const flow_address& flow,
                             milliseconds pause,
                             bool suspected) {
  counters_.Add(code);
  mesh_message message;
  message.kind = mesh_kind::refused;
  message.flow = flow;
  message.service = settings_.service;
  message.pause = pause;
  message.suspected = suspected;
  message.load = Load(now);
  message.evacuation = evacuation_.Row();
  effects_.SendToEntry(entry, message);
}

}  // namespace corianderplank
