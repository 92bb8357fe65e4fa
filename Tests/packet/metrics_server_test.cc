/// @file
/// Tests of the packet daemons' metrics server.

#include <doctest/doctest.h>

#include "net/http_client.h"
#include "packet/metrics_server.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const endpoint kMetricsEndpoint = ParseEndpoint("127.0.0.1:28735");

client_result Get(event_loop& loop, const std::string& path) {
  http_client client(loop, kMetricsEndpoint);
  client_request request;
  request.target = path;
  request.timeout = 2s;
  client_result received;
  client.Send(request, [&](const client_result& result) {
    received = result;
    loop.Stop();
  });
  loop.Run();
  return received;
}

TEST_CASE("/metrics contains the counters and the role's own metrics") {
  event_loop loop;
  counters result_counters;
  result_counters.Add(result_code::reset_no_holder, 3);
  latency_histogram latencies;
  for (int count = 0; count < 100; ++count) {
    latencies.Add(40ms);
  }
  const metrics_server server(
      loop, kMetricsEndpoint, "agent", "a-1", result_counters,
      [&] { return SummaryText("answer_seconds", "Time.", latencies); });
  const client_result response = Get(loop, "/metrics");
  REQUIRE(response.status == client_status::completed);
  CHECK(response.code == 200);
  CHECK(response.body.find("reason=\"reset_no_holder\",code=\"713\"} 3") !=
        std::string::npos);
  CHECK(response.body.find("answer_seconds{quantile=\"0.99\"} 0.04") !=
        std::string::npos);
  CHECK(response.body.find("answer_seconds_count 100") != std::string::npos);
}

TEST_CASE("other paths are answered with 404") {
  event_loop loop;
  const counters result_counters;
  const metrics_server server(loop, kMetricsEndpoint, "entry", "e-1",
                              result_counters, [] { return std::string(); });
  CHECK(Get(loop, "/other").code == 404);
}

}  // namespace
}  // namespace corianderplank
