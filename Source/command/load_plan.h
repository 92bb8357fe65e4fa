/// @file
/// Seeded arrivals of the load command.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/document.h"

namespace corianderplank {

/// What the load is made of.
struct load_options {
  double flows_per_second = 50;
  std::chrono::seconds duration{10};
  std::uint64_t seed = 1;
  /// Shares of requests, feeds and uploads.
  double request_share = 0.7;
  double feed_share = 0.15;
  double upload_share = 0.15;
  /// Share of the requests that are idempotent.
  double idempotent_share = 0.3;
  std::chrono::microseconds mean_service_time{20000};
  std::chrono::milliseconds timeout{8000};
  std::chrono::milliseconds upload_timeout{30000};
  std::uint32_t feed_messages = 60;
  std::uint32_t upload_chunks = 12;
  std::uint32_t answer_bytes = 400;
  std::uint32_t large_answer_bytes = 20000;
  double large_answer_share = 0.05;
};

/// A flow that the load opens.
struct planned_flow {
  std::chrono::microseconds at{0};
  flow_id flow;
  const service* of = nullptr;
  std::uint8_t traffic_class = 0;
  work_kind work = work_kind::request;
  bool idempotent = false;
  std::uint32_t answer_bytes = 0;
};

/// Draws arrivals: exponential gaps and service times.
class load_plan {
 public:
  /// @param document the services; must outlive the plan.
  /// @param options the load.
  load_plan(const environment_document& document, const load_options& options);

  /// @return the next flow, in order of time.
  planned_flow Next();

  /// Does not disturb the arrivals, whenever it is called.
  /// @param request_id the piece of work.
  /// @return a service time for it.
  std::chrono::microseconds ServiceTimeOf(std::uint64_t request_id) const;

  /// @return whether any service takes this kind of work.
  bool Has(work_kind work) const;

 private:
  struct choice {
    const service* of;
    std::uint8_t traffic_class;
  };
  work_kind DrawKind();

  load_options options_;
  std::mt19937_64 random_;
  std::vector<choice> choices_[3];
  std::chrono::duration<double> clock_{0};
};

}  // namespace corianderplank
