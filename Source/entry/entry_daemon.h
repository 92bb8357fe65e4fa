/// @file
/// The entry as a process: sockets round the decisions of core.
#pragma once

#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "core/request_entry.h"
#include "core/two_choice_picker.h"
#include "net/udp_socket.h"
#include "product/daemon_host.h"
#include "wire/datagram_codec.h"

namespace corianderplank {

/// Runs an entry: control on the calling thread, traffic on another.
class entry_daemon : public daemon_role, private request_entry_effects {
 public:
  /// @param shared the shared part of the daemon.
  explicit entry_daemon(daemon_host& shared);
  ~entry_daemon() override;

  void OnConfig(std::shared_ptr<const environment_document> document,
                std::shared_ptr<const instance_list> instances) override;
  void OnControl(const control_message& request,
                 std::function<void(control_message)> reply) override;
  void OnStop() override;
  std::string StatusJson() override;
  std::string ExplainJson(const std::string& flow,
                          const std::string& service) override;

 private:
  void SendToAgent(const endpoint& agent, const envelope& value) override;
  void SendToCaller(service_id service,
                    const endpoint& caller,
                    std::string_view datagram) override;
  void ReplyToCaller(service_id service,
                     const endpoint& caller,
                     const packet& value,
                     std::size_t request_bytes) override;
  void RecordVerdict(service_id service, const flow_event& event) override;
  void FetchDocumentFrom(const endpoint& peer) override;

  void UseTable(const std::shared_ptr<const routing_table>& table);
  void ListenFor(const service_routes& routes);
  void OnCallerDatagram(service_id service, const received_datagram& datagram);
  void OnAgentDatagram(const received_datagram& datagram);
  void Queue(udp_socket& socket, const endpoint& to, std::string_view bytes);
  void FlushAll();
  std::string ExplainOnTraffic(const std::string& flow,
                               const std::string& service);

  daemon_host& shared_;
  event_loop traffic_loop_;
  two_choice_picker picker_;
  token_locator locator_;
  request_entry entry_;
  datagram_encoder encoder_;
  std::unique_ptr<udp_socket> agent_socket_;
  std::map<service_id, std::unique_ptr<udp_socket>> service_sockets_;
  std::vector<udp_socket*> unflushed_;
  std::map<service_id, std::string> service_names_;
  std::shared_ptr<const routing_table> table_;
  /// The control thread's copy of the table in use.
  std::shared_ptr<const routing_table> built_table_;
  std::uint64_t forwarded_ = 0;
  std::uint64_t returned_ = 0;
  std::thread traffic_thread_;
};

}  // namespace corianderplank
