/// @file
/// HTTP server stand-in behind a slow link.
#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "core/identifiers.h"
#include "net/event_loop.h"

namespace corianderplank {

/// How a response is sent.
struct response_pace {
  /// Bytes that are sent at a time.
  std::size_t part_bytes = 0;
  /// Time between two parts.
  std::chrono::milliseconds period{0};
  /// Bytes of the response after which nothing more is sent; 0 sends all.
  std::size_t stalls_after = 0;
};

/// Answers each connection's first request with the same body.
class paced_server {
 public:
  /// @param loop the loop to run on.
  /// @param local where to listen.
  /// @param body body of all responses.
  /// @param pace how responses are sent.
  paced_server(event_loop& loop,
               const endpoint& local,
               const std::string& body,
               const response_pace& pace);
  ~paced_server();
  paced_server(const paced_server&) = delete;
  paced_server& operator=(const paced_server&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace corianderplank
