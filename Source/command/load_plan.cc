#include "command/load_plan.h"

#include <stdexcept>

namespace corianderplank {

load_plan::load_plan(const environment_document& document,
                     const load_options& options)
    : options_(options), random_(options.seed) {
  for (const service& item : document.services) {
    for (std::size_t index = 0; index < item.classes.size(); ++index) {
      const auto kind = static_cast<std::size_t>(item.classes[index].work);
      choices_[kind].push_back({&item, static_cast<std::uint8_t>(index)});
    }
  }
}

bool load_plan::Has(work_kind work) const {
  return !choices_[static_cast<std::size_t>(work)].empty();
}

work_kind load_plan::DrawKind() {
  double shares[3] = {options_.request_share, options_.feed_share,
                      options_.upload_share};
  for (std::size_t kind = 0; kind < 3; ++kind) {
    if (choices_[kind].empty()) {
      shares[kind] = 0;
    }
  }
  if (shares[0] + shares[1] + shares[2] <= 0) {
    throw std::invalid_argument("no class of the document takes this load");
  }
  std::discrete_distribution<int> draw({shares[0], shares[1], shares[2]});
  return static_cast<work_kind>(draw(random_));
}

std::chrono::microseconds load_plan::ServiceTimeOf(
    std::uint64_t request_id) const {
  std::mt19937_64 random(MixHash(options_.seed, request_id));
  std::exponential_distribution<double> draw(
      1.0 / static_cast<double>(options_.mean_service_time.count()));
  return std::chrono::microseconds(static_cast<std::int64_t>(draw(random)));
}

planned_flow load_plan::Next() {
  std::exponential_distribution<double> gap(options_.flows_per_second);
  std::uniform_real_distribution<double> share(0, 1);
  clock_ += std::chrono::duration<double>(gap(random_));
  planned_flow flow;
  flow.at = std::chrono::duration_cast<std::chrono::microseconds>(clock_);
  flow.flow = {random_() | 1};
  flow.work = DrawKind();
  const auto& choices = choices_[static_cast<std::size_t>(flow.work)];
  const choice& chosen = choices[random_() % choices.size()];
  flow.of = chosen.of;
  flow.traffic_class = chosen.traffic_class;
  flow.idempotent = flow.work != work_kind::request ||
                    share(random_) < options_.idempotent_share;
  flow.answer_bytes = share(random_) < options_.large_answer_share
                          ? options_.large_answer_bytes
                          : options_.answer_bytes;
  return flow;
}

}  // namespace corianderplank
