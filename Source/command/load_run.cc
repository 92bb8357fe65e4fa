#include "command/load_run.h"

#include <unistd.h>

#include <iostream>

#include <nlohmann/json.hpp>

#include "caller/test_content.h"

namespace corianderplank {
namespace {

constexpr std::chrono::milliseconds kTickPeriod{1};
/// Chunks of an upload that are under way at a time.
constexpr std::uint32_t kUploadWindow = 4;
constexpr std::chrono::seconds kFeedTimeout{3600};
/// How long the run waits for flows beyond the time that an upload may take.
constexpr std::chrono::seconds kFinishLimit{45};

const char* KindName(work_kind work) {
  switch (work) {
    case work_kind::request:
      return "request";
    case work_kind::feed:
      return "feed";
    case work_kind::upload:
      return "upload";
  }
  return "request";
}

}  // namespace

load_run::load_run(const environment_document& document,
                   const load_options& options,
                   std::vector<std::uint32_t> entries,
                   const std::string& outcomes_path,
                   impairment* impaired)
    : options_(options),
      plan_(document, options),
      caller_(loop_, std::move(entries), options.seed, counters_, impaired) {
  if (!outcomes_path.empty()) {
    outcomes_.open(outcomes_path);
  }
}

std::chrono::microseconds load_run::Elapsed() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - started_at_);
}

void load_run::Run() {
  next_request_id_ = options_.seed << 32;
  started_at_ = std::chrono::steady_clock::now();
  next_ = plan_.Next();
  loop_.Every(kTickPeriod, [this] { Tick(); });
  loop_.OnStopSignal([this] { loop_.Stop(); });
  const bool watched = ::isatty(STDERR_FILENO) == 1;
  if (watched) {
    loop_.Every(std::chrono::seconds(1), [this] { ShowProgress(); });
  }
  loop_.Run();
  std::cerr << (watched ? "\n" : "");
  totals_.unfinished_flows = open_.size();
}

int load_run::UploadRounds() const {
  return static_cast<int>((options_.upload_chunks + kUploadWindow - 1) /
                          kUploadWindow);
}

void load_run::ShowProgress() const {
  const auto answered = totals_.outcomes.find(outcome_kind::answered);
  std::cerr << "\rload: " << Elapsed() / std::chrono::seconds(1) << " s of "
            << options_.duration.count() << ", " << open_.size()
            << " flows open, "
            << (answered == totals_.outcomes.end() ? 0 : answered->second)
            << " answered   " << std::flush;
}

void load_run::Tick() {
  OpenDue();
  totals_.most_open_flows =
      std::max<std::uint64_t>(totals_.most_open_flows, open_.size());
  for (const flow_id flow : ended_) {
    caller_.Close(flow);
    open_.erase(flow);
  }
  ended_.clear();
  caller_.Flush();
  const bool past = Elapsed() >= options_.duration;
  const bool late = Elapsed() >= options_.duration + kFinishLimit +
                                     UploadRounds() * options_.upload_timeout;
  const bool done = open_.empty() && !caller_.HasPendingVerdicts();
  if (past && (done || late)) {
    loop_.Stop();
  }
}

void load_run::OpenDue() {
  while (next_.at <= Elapsed() && next_.at < options_.duration) {
    ++totals_.flows;
    open_flow& flow = open_[next_.flow];
    flow.plan = next_;
    flow.wanted = next_.work == work_kind::upload ? options_.upload_chunks : 1;
    caller_.Open(next_.of->id, next_.of->port, next_.flow, *this);
    const std::uint32_t first = std::min(
        flow.wanted, next_.work == work_kind::upload ? kUploadWindow : 1U);
    for (std::uint32_t index = 0; index < first; ++index) {
      SubmitNext(flow);
    }
    next_ = plan_.Next();
  }
}

void load_run::SubmitNext(open_flow& flow) {
  work_order order;
  order.service = flow.plan.of->name;
  order.request_id = ++next_request_id_;
  order.duration = plan_.ServiceTimeOf(order.request_id);
  order.answer_bytes =
      flow.plan.work == work_kind::request ? flow.plan.answer_bytes : 0;
  request_spec spec;
  spec.request_id = order.request_id;
  spec.work = flow.plan.work;
  spec.traffic_class = flow.plan.traffic_class;
  spec.idempotent = flow.plan.idempotent;
  spec.timeout = options_.timeout;
  if (spec.work == work_kind::feed) {
    spec.timeout = kFeedTimeout;
    spec.count = options_.feed_messages;
  } else {
    spec.payload = FormatWorkOrder(order);
    flow.expected[order.request_id] = AnswerTo(order);
  }
  if (spec.work == work_kind::upload) {
    spec.timeout = options_.upload_timeout;
    spec.position = flow.submitted;
  }
  ++flow.submitted;
  caller_.Submit(flow.plan.flow, std::move(spec));
}

void load_run::OnOutcome(flow_id id, const request_outcome& outcome) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  open_flow& flow = found->second;
  ++totals_.outcomes[outcome.outcome];
  ++totals_.reasons[outcome.code];
  WriteOutcome(flow, outcome);
  if (outcome.outcome == outcome_kind::answered) {
    latencies_[static_cast<std::size_t>(flow.plan.work)].Add(outcome.latency);
    CheckAnswer(flow, outcome);
  }
  ++flow.finished;
  if (flow.submitted < flow.wanted) {
    SubmitNext(flow);
  } else if (flow.finished == flow.wanted) {
    ended_.push_back(id);
  }
}

void load_run::CheckAnswer(open_flow& flow, const request_outcome& outcome) {
  if (flow.plan.work == work_kind::feed) {
    totals_.wrong_answers +=
        flow.next_message == options_.feed_messages ? 0 : 1;
    return;
  }
  const auto expected = flow.expected.find(outcome.request_id);
  if (expected == flow.expected.end() || expected->second != outcome.answer) {
    ++totals_.wrong_answers;
  }
  flow.expected.erase(outcome.request_id);
}

void load_run::WriteOutcome(const open_flow& flow,
                            const request_outcome& outcome) {
  if (!outcomes_.is_open()) {
    return;
  }
  nlohmann::ordered_json line;
  line["request_id"] = outcome.request_id;
  line["flow"] = flow.plan.flow.value;
  line["service"] = flow.plan.of->name;
  line["kind"] = KindName(flow.plan.work);
  line["idempotent"] = flow.plan.idempotent;
  line["outcome"] = OutcomeName(outcome.outcome);
  line["reason"] = ResultCodeName(outcome.code);
  line["target"] = outcome.target.value;
  line["latency_us"] = outcome.latency.count();
  line["at_us"] = Elapsed().count();
  outcomes_ << line.dump() << '\n';
}

void load_run::OnFeedMessage(flow_id id,
                             std::uint64_t /*request_id*/,
                             std::uint64_t position,
                             std::string_view message) {
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  open_flow& flow = found->second;
  ++totals_.feed_messages;
  const bool in_order = position == flow.next_message++;
  if (!in_order || message != FeedMessage(flow.plan.of->name, position)) {
    ++totals_.wrong_messages;
  }
}

void load_run::OnBroken(flow_id id, result_code /*code*/) {
  ++totals_.broken_flows;
  ended_.push_back(id);
}

}  // namespace corianderplank
