/// @file
/// The agent as a process: sockets and HTTP round the decisions of core.
#pragma once

#include <memory>
#include <thread>

#include "agent/backend_caller.h"
#include "core/request_agent.h"
#include "net/udp_socket.h"
#include "product/daemon_host.h"
#include "wire/datagram_codec.h"

namespace corianderplank {

/// Runs an agent: control on the calling thread, traffic on another.
class agent_daemon : public daemon_role, private request_agent_effects {
 public:
  /// @param shared the shared part of the daemon.
  explicit agent_daemon(daemon_host& shared);
  ~agent_daemon() override;

  void OnConfig(std::shared_ptr<const environment_document> document,
                std::shared_ptr<const instance_list> instances) override;
  void OnControl(const control_message& request,
                 std::function<void(control_message)> reply) override;
  void OnStop() override;
  std::string StatusJson() override;
  std::string ExplainJson(const std::string& flow,
                          const std::string& service) override;

 private:
  void SendToCaller(const endpoint& entry,
                    const envelope& header,
                    const packet& value) override;
  void SendEnvelope(const endpoint& to, const envelope& value) override;
  void StartExecution(const execution& call) override;
  void CancelExecution(std::uint64_t id) override;
  void RequestFence(std::uint64_t resume_id,
                    const endpoint& control,
                    const fence_request& request) override;
  void FetchDocumentFrom(const endpoint& peer) override;
  void RecordEvent(const flow_event& event) override;

  void OnDatagram(const received_datagram& datagram);
  void OnTick();
  void MeasureLoad(time_point now);
  void CheckStopped();
  void LogStateChange(lifecycle_state state);

  daemon_host& shared_;
  event_loop traffic_loop_;
  request_agent agent_;
  backend_caller backend_;
  datagram_encoder packet_encoder_;
  datagram_encoder envelope_encoder_;
  std::unique_ptr<udp_socket> socket_;
  time_point measured_at_;
  double busy_slot_seconds_ = 0;
  std::int64_t interval_second_ = 0;
  lifecycle_state logged_state_ = lifecycle_state::starting;
  bool stopping_ = false;
  time_point stop_limit_at_;
  std::uint32_t slots_ = 0;
  std::thread traffic_thread_;
};

}  // namespace corianderplank
