/// @file
/// Requests and replies between the system's own processes, over nng.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/identifiers.h"
#include "net/impairment.h"

namespace corianderplank {

/// Sends the reply of a request; may be called from any thread, once.
using control_reply = std::function<void(std::string reply)>;
/// Called on a thread of the library for each request.
using control_handler =
    std::function<void(std::string request, control_reply reply)>;
/// Called on a thread of the library with the reply, or nothing.
using control_callback = std::function<void(std::optional<std::string> reply)>;

/// Serves requests on a TCP port.
class control_server {
 public:
  /// @param local where to listen.
  /// @param handler called for each request.
  /// @throws std::runtime_error when the address cannot be bound.
  control_server(const endpoint& local, control_handler handler);
  ~control_server();
  control_server(const control_server&) = delete;
  control_server& operator=(const control_server&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Sends requests to the control ports of peers.
class control_client {
 public:
  /// @param impaired faults to rehearse, or null.
  explicit control_client(impairment* impaired);
  ~control_client();
  control_client(const control_client&) = delete;
  control_client& operator=(const control_client&) = delete;

  /// @param to a peer's control port.
  /// @param request the request.
  /// @param timeout how long the reply is waited for.
  /// @param callback called once.
  void Request(const endpoint& to,
               const std::string& request,
               std::chrono::milliseconds timeout,
               control_callback callback);

  /// Ends every request; their callbacks have run when it returns, and later
  /// requests get no reply.
  void Close();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
