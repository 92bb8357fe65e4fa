/// @file
/// The metrics page of the packet path's daemons, in Prometheus' text format.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/counters.h"
#include "core/identifiers.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "product/latency_histogram.h"

namespace corianderplank {

/// Adds a role's own metrics to the page; called on the loop's thread.
using metrics_provider = std::function<std::string()>;

/// @param name metric name.
/// @param help one sentence.
/// @param latencies what was measured.
/// @return a summary in Prometheus' text format, in seconds.
std::string SummaryText(const std::string& name,
                        const std::string& help,
                        const latency_histogram& latencies);

/// Serves `/metrics`.
class metrics_server {
 public:
  /// @param loop the loop to run on.
  /// @param local where to listen; port 0: no page is served.
  /// @param role the process's role.
  /// @param name the process's name.
  /// @param counted the counters; must outlive the server.
  /// @param more further metrics.
  /// @throws std::runtime_error when the address cannot be bound.
  metrics_server(event_loop& loop,
                 const endpoint& local,
                 std::string role,
                 std::string name,
                 const counters& counted,
                 metrics_provider more);

 private:
  std::unique_ptr<http_server> server_;
};

}  // namespace corianderplank
