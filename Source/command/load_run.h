/// @file
/// One run of the load command.
#pragma once

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "caller/udp_caller.h"
#include "command/load_plan.h"
#include "product/latency_histogram.h"

namespace corianderplank {

/// What the load counted.
struct load_totals {
  std::map<outcome_kind, std::uint64_t> outcomes;
  std::map<result_code, std::uint64_t> reasons;
  std::uint64_t flows = 0;
  std::uint64_t broken_flows = 0;
  std::uint64_t unfinished_flows = 0;
  std::uint64_t most_open_flows = 0;
  std::uint64_t wrong_answers = 0;
  std::uint64_t feed_messages = 0;
  std::uint64_t wrong_messages = 0;
};

/// Opens planned flows, drives their work and checks what comes back.
class load_run : private flow_observer {
 public:
  /// @param document the services.
  /// @param options the load.
  /// @param entries addresses of the entries.
  /// @param outcomes_path file for one line an outcome; empty for none.
  /// @param impaired faults to rehearse, or null.
  load_run(const environment_document& document,
           const load_options& options,
           std::vector<std::uint32_t> entries,
           const std::string& outcomes_path,
           impairment* impaired);

  /// Runs until every flow has ended or the time limit is reached.
  void Run();

  /// @return what was counted.
  const load_totals& Totals() const { return totals_; }
  /// @return the caller's counters of repeats, retries and moves.
  const counters& Counters() const { return counters_; }
  /// @param work a kind of work.
  /// @return latencies of the answered pieces of that kind.
  const latency_histogram& Latency(work_kind work) const {
    return latencies_[static_cast<std::size_t>(work)];
  }

 private:
  struct open_flow {
    planned_flow plan;
    std::uint32_t submitted = 0;
    std::uint32_t finished = 0;
    std::uint32_t wanted = 0;
    std::uint64_t next_message = 0;
    std::unordered_map<std::uint64_t, std::string> expected;
  };

  void OnOutcome(flow_id flow, const request_outcome& outcome) override;
  void OnFeedMessage(flow_id flow,
                     std::uint64_t request_id,
                     std::uint64_t position,
                     std::string_view message) override;
  void OnBroken(flow_id flow, result_code code) override;

  void Tick();
  void OpenDue();
  void ShowProgress() const;
  void SubmitNext(open_flow& flow);
  void CheckAnswer(open_flow& flow, const request_outcome& outcome);
  void WriteOutcome(const open_flow& flow, const request_outcome& outcome);
  std::chrono::microseconds Elapsed() const;
  /// @return how many chunks of an upload follow each other at the most.
  int UploadRounds() const;

  load_options options_;
  load_plan plan_;
  event_loop loop_;
  counters counters_;
  udp_caller caller_;
  planned_flow next_;
  time_point started_at_;
  std::uint64_t next_request_id_ = 1;
  std::unordered_map<flow_id, open_flow, identifier_hash> open_;
  std::vector<flow_id> ended_;
  load_totals totals_;
  latency_histogram latencies_[3];
  std::ofstream outcomes_;
};

}  // namespace corianderplank
