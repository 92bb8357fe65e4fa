/// @file
/// HTTP server for the metrics of the packet path's daemons, in the Prometheus
/// text format.
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

/// Returns the role's own metrics in the Prometheus text format. Called on the
/// loop's thread for each request.
using metrics_provider = std::function<std::string()>;

/// Formats a histogram as a summary with quantiles and a count.
/// @param name name of the metric, without labels.
/// @param help one sentence for the HELP line.
/// @param latencies the measured latencies; they are printed in seconds.
/// @return the summary in the Prometheus text format.
std::string SummaryText(const std::string& name,
                        const std::string& help,
                        const latency_histogram& latencies);

/// Serves `/metrics`; any other path is answered with 404.
class metrics_server {
 public:
  /// @param loop loop that handles the requests; must outlive the server.
  /// @param local address to listen on; with port 0 no server is started.
  /// @param role "entry" or "agent"; a label of the counters.
  /// @param name name of the process; a label of the counters.
  /// @param result_counters the counters; must outlive the server.
  /// @param role_metrics appended to the counters.
  /// @throws std::runtime_error when the address cannot be bound.
  metrics_server(event_loop& loop,
                 const endpoint& local,
                 std::string role,
                 std::string name,
                 const counters& result_counters,
                 metrics_provider role_metrics);

 private:
  std::unique_ptr<http_server> server_;
};

}  // namespace corianderplank
