#include "packet/metrics_server.h"

#include <array>
#include <chrono>
#include <sstream>
#include <utility>

#include "product/admin_pages.h"

namespace corianderplank {
namespace {

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

}  // namespace

std::string SummaryText(const std::string& name,
                        const std::string& help,
                        const latency_histogram& latencies) {
  using seconds = std::chrono::duration<double>;
  std::ostringstream out;
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name
      << " summary\n";
  for (const double quantile : kQuantiles) {
    out << name << "{quantile=\"" << quantile << "\"} "
        << seconds(latencies.Quantile(quantile)).count() << '\n';
  }
  out << name << "_count " << latencies.Count() << '\n';
  return out.str();
}

metrics_server::metrics_server(event_loop& loop,
                               const endpoint& local,
                               std::string role,
                               std::string name,
                               const counters& result_counters,
                               metrics_provider role_metrics) {
  if (local.port == 0) {
    return;
  }
  server_ = std::make_unique<http_server>(
      loop, local,
      [role = std::move(role), name = std::move(name), &result_counters,
       role_metrics = std::move(role_metrics)](const http_request& request,
                                               auto responder) {
        http_response response;
        if (request.path == "/metrics") {
          response.body =
              MetricsText(role, name, result_counters) + role_metrics();
        } else {
          response.status = 404;
        }
        responder->Respond(std::move(response));
      });
}

}  // namespace corianderplank
