/// @file
/// HTTP/1.1 server for the admin port and for stand-ins, on Beast.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/identifiers.h"
#include "net/event_loop.h"

namespace corianderplank {

/// A request; header names are in lower case.
struct http_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// A response.
struct http_response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string content_type = "text/plain";
  std::string body;
};

/// Answers one request, at once or later, on the loop's thread.
class http_responder {
 public:
  virtual ~http_responder() = default;
  /// @param response the response.
  virtual void Respond(http_response response) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;
  /// @return whether the client has closed the connection.
  virtual bool IsClosed() const = 0;
};

/// Called on the loop's thread for each request.
using http_handler =
    std::function<void(const http_request&, std::shared_ptr<http_responder>)>;

/// Serves HTTP on one address. Connections are kept alive.
class http_server {
 public:
  /// @param loop the loop to run on.
  /// @param local where to listen.
  /// @param handler called for each request.
  /// @throws std::runtime_error when the address cannot be bound.
  http_server(event_loop& loop, const endpoint& local, http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return connections that are open.
  std::size_t Connections() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Splits a target such as "/a?b=c" into path and query.
/// @param target the request target.
/// @param request receives path and query.
void ParseTarget(const std::string& target, http_request& request);

}  // namespace corianderplank
