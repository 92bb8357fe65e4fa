#include "core/two_choice_picker.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Unanswered opens and silence after which a target is ejected.
constexpr std::uint32_t kEjectAfterOpens = 3;
constexpr auto kEjectAfterSilence = 300ms;
constexpr auto kFirstEjection = 2s;
constexpr std::uint32_t kMaxEjectionDoublings = 4;
/// Time over which a readmitted target's handicap fades.
constexpr auto kReadmissionRamp = 5s;
constexpr std::uint64_t kReadmissionPermille = 1000;
/// Age at which a reported load counts for nothing.
constexpr auto kLoadLifetime = 2s;
/// Load assumed of a target whose load is not known.
constexpr std::uint64_t kAssumedPermille = 700;
constexpr int kMaxDraws = 8;
/// Counting ejections looks at every target, so it is not done for each open.
constexpr auto kRecountPeriod = 100ms;

}  // namespace

const route_target* two_choice_picker::Pick(time_point now,
                                            const service_routes& routes,
                                            std::uint64_t hash,
                                            target_id avoid) {
  const route_target* chosen = Choose(now, routes, hash, avoid);
  if (chosen != nullptr) {
    view& known = views_[chosen->id];
    if (known.unanswered++ == 0) {
      known.first_unanswered_at = now;
    }
  }
  return chosen;
}

const route_target* two_choice_picker::Choose(time_point now,
                                              const service_routes& routes,
                                              std::uint64_t hash,
                                              target_id avoid) {
  const route_target* best = nullptr;
  const route_target* fallback = nullptr;
  std::uint64_t best_score = 0;
  int usable = 0;
  for (int draw = 0; draw < kMaxDraws && usable < 2; ++draw) {
    const route_target* candidate = routes.Draw(MixHash(hash, draw));
    if (candidate == nullptr) {
      return nullptr;
    }
    if (candidate == best) {
      continue;
    }
    if (fallback == nullptr || fallback->id == avoid) {
      fallback = candidate;
    }
    view& known = views_[candidate->id];
    if (candidate->id == avoid || !Usable(now, routes, known)) {
      continue;
    }
    ++usable;
    const std::uint64_t score = Score(now, *candidate, known);
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best != nullptr ? best : fallback;
}

bool two_choice_picker::Usable(time_point now,
                               const service_routes& routes,
                               view& of) {
  if (of.ejected && now < of.ejected_until) {
    return false;
  }
  if (of.ejected) {
    of.ejected = false;
    of.readmitted_at = now;
    of.unanswered = 0;
    counters_.Add(result_code::target_readmitted);
    return true;
  }
  if (!of.serving && now - of.reported_at < kLoadLifetime) {
    return false;
  }
  const bool silent = of.unanswered >= kEjectAfterOpens &&
                      now - of.first_unanswered_at >= kEjectAfterSilence;
  if (!silent || !MayEject(now, routes)) {
    return true;
  }
  const std::uint32_t doublings = std::min(of.ejections, kMaxEjectionDoublings);
  ++ejections_[routes.Id()].ejected;
  of.ejected = true;
  of.ejected_until = now + kFirstEjection * (1U << doublings);
  ++of.ejections;
  counters_.Add(result_code::target_ejected);
  return false;
}

bool two_choice_picker::MayEject(time_point now, const service_routes& routes) {
  ejection_count& count = ejections_[routes.Id()];
  if (now - count.counted_at >= kRecountPeriod) {
    count.counted_at = now;
    count.ejected = 0;
    for (const route_target& item : routes.Targets()) {
      count.ejected += IsEjected(now, item.id) ? 1 : 0;
    }
  }
  return (count.ejected + 1) * 2 <= routes.OpenCount();
}

bool two_choice_picker::IsEjected(time_point now, target_id id) const {
  const auto found = views_.find(id);
  return found != views_.end() && found->second.ejected &&
         now < found->second.ejected_until;
}

std::uint64_t two_choice_picker::Score(time_point now,
                                       const route_target& candidate,
                                       const view& of) const {
  const std::uint64_t sent =
      std::uint64_t{of.unanswered} * 1000 / std::max(1U, candidate.slots);
  std::uint64_t load = kAssumedPermille;
  if (of.reported && now - of.reported_at < kLoadLifetime) {
    const auto age = (now - of.reported_at) / 1ms;
    const auto lifetime = kLoadLifetime / 1ms;
    load = (of.load_permille * (lifetime - age) + kAssumedPermille * age) /
           lifetime;
  }
  std::uint64_t handicap = 0;
  if (of.ejections > 0 && now - of.readmitted_at < kReadmissionRamp) {
    const auto left = (kReadmissionRamp - (now - of.readmitted_at)) / 1ms;
    handicap = kReadmissionPermille * left / (kReadmissionRamp / 1ms);
  }
  return load + sent + handicap;
}

void two_choice_picker::OnLoad(time_point now,
                               target_id id,
                               std::uint32_t load_permille,
                               bool serving) {
  view& known = views_[id];
  known.load_permille = load_permille;
  known.serving = serving;
  known.reported = true;
  known.reported_at = now;
  known.unanswered = 0;
  if (known.ejections > 0 && now - known.readmitted_at >= kReadmissionRamp) {
    known.ejections = 0;
  }
}

void two_choice_picker::OnPassedOn(target_id id) {
  const auto found = views_.find(id);
  if (found != views_.end()) {
    found->second.unanswered = 0;
  }
}

std::vector<std::string> two_choice_picker::ExplainTargets(
    time_point now,
    const service_routes& routes) const {
  std::vector<std::string> lines;
  for (const route_target& item : routes.Targets()) {
    const auto found = views_.find(item.id);
    const view known = found == views_.end() ? view{} : found->second;
    std::string line = FormatEndpoint(item.agent);
    line += item.takes_opens ? " takes opens" : " takes no opens";
    line += known.serving ? "" : ", said that it does not serve";
    line += IsEjected(now, item.id) ? ", ejected" : "";
    line += ", score " + std::to_string(Score(now, item, known));
    line += ", unanswered " + std::to_string(known.unanswered);
    lines.push_back(line);
  }
  return lines;
}

void two_choice_picker::Retain(const routing_table& table) {
  std::unordered_map<target_id, view, identifier_hash> kept;
  for (const service_routes& routes : table.Services()) {
    for (const route_target& item : routes.Targets()) {
      const auto found = views_.find(item.id);
      if (found != views_.end()) {
        kept.insert(*found);
      }
    }
  }
  views_ = std::move(kept);
}

}  // namespace corianderplank
