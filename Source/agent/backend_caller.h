/// @file
/// HTTP/1.1 client for the backend server.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/request_agent_effects.h"
#include "net/http_client.h"

namespace corianderplank {

/// Called on the loop's thread when a call has ended.
using execution_callback =
    std::function<void(std::uint64_t id, execution_result result)>;

/// Turns executions into HTTP requests and responses into results.
class backend_caller {
 public:
  /// @param loop the traffic loop.
  /// @param backend the backend server.
  /// @param service the service's name, sent along with each call.
  /// @param on_result called with each result.
  /// @param on_leaving called when the backend server says whether it leaves.
  backend_caller(event_loop& loop,
                 const endpoint& backend,
                 std::string service,
                 execution_callback on_result,
                 std::function<void(bool leaving)> on_leaving);

  /// @param call the call.
  void Start(const execution& call);

  /// @param id an execution.
  void Cancel(std::uint64_t id);

  /// Asks for the health page; only its word on leaving is used.
  void AskHealth();

 private:
  client_request RequestFor(const execution& call) const;
  void OnResponse(std::uint64_t id, work_kind work, client_result response);

  http_client client_;
  std::string service_;
  execution_callback on_result_;
  std::function<void(bool leaving)> on_leaving_;
  bool asking_health_ = false;
  std::unordered_map<std::uint64_t, std::uint64_t> calls_;
};

}  // namespace corianderplank
