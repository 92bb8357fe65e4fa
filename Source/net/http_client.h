/// @file
/// HTTP/1.1 client with kept connections to one server, on Beast.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/identifiers.h"
#include "net/event_loop.h"

namespace corianderplank {

/// A request to the server.
struct client_request {
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  /// Limit for the whole exchange, or, with a transfer limit, for the time
  /// until the next byte of the response.
  std::chrono::milliseconds timeout{1000};
  /// Limit for the response from its first byte on; 0 for none.
  std::chrono::milliseconds transfer_limit{0};
  /// Size of the largest response body that is accepted.
  std::size_t max_body_bytes = 4 * 1024 * 1024;
};

/// How far a request got.
enum class client_status : std::uint8_t {
  completed,    ///< A response arrived.
  unreachable,  ///< No byte was sent.
  lost,         ///< Something was sent and no response arrived.
};

/// The end of a request; header names are in lower case.
struct client_result {
  client_status status = client_status::lost;
  /// The response is lost since its body exceeds the request's limit.
  bool too_large = false;
  int code = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Called once on the loop's thread.
using client_callback = std::function<void(client_result)>;

/// Sends requests; each one has a connection of its own while it runs.
class http_client {
 public:
  /// @param loop the loop to run on.
  /// @param server the server.
  http_client(event_loop& loop, const endpoint& server);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// @param request the request.
  /// @param callback called with the result, never from within this call.
  /// @return a number for Cancel.
  std::uint64_t Send(const client_request& request, client_callback callback);

  /// Closes the request's connection; its callback gets `lost`.
  /// @param id the number that Send returned.
  void Cancel(std::uint64_t id);

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderplank
