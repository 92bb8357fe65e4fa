/// @file
/// Pickers that the product's picker is measured against.
#pragma once

#include <functional>

#include "core/target_picker.h"

namespace corianderplank {

/// A picker that learns nothing from loads.
class baseline_picker : public target_picker {
 public:
  void OnLoad(time_point, target_id, std::uint32_t, bool) override {}
  void OnPassedOn(target_id) override {}
};

/// Any target with equal chance.
class random_picker : public baseline_picker {
 public:
  const route_target* Pick(time_point,
                           const service_routes& routes,
                           std::uint64_t hash,
                           target_id) override {
    return routes.Draw(MixHash(hash, 17));
  }
};

/// One target after the other; each entry counts for itself.
class round_robin_picker : public baseline_picker {
 public:
  const route_target* Pick(time_point,
                           const service_routes& routes,
                           std::uint64_t,
                           target_id) override {
    const auto& targets = routes.Targets();
    return &targets[next_++ % targets.size()];
  }

 private:
  std::size_t next_ = 0;
};

/// The target with the highest hash of flow and target.
class consistent_hash_picker : public baseline_picker {
 public:
  const route_target* Pick(time_point,
                           const service_routes& routes,
                           std::uint64_t hash,
                           target_id) override {
    const route_target* best = nullptr;
    std::uint64_t highest = 0;
    for (const route_target& item : routes.Targets()) {
      const std::uint64_t rank = MixHash(hash, item.id.value);
      if (best == nullptr || rank > highest) {
        best = &item;
        highest = rank;
      }
    }
    return best;
  }
};

/// The target with the least work at this very moment.
class omniscient_picker : public baseline_picker {
 public:
  using load_function = std::function<std::uint32_t(const endpoint& agent)>;
  explicit omniscient_picker(load_function load) : load_(std::move(load)) {}
  const route_target* Pick(time_point,
                           const service_routes& routes,
                           std::uint64_t hash,
                           target_id) override {
    const auto& targets = routes.Targets();
    const route_target* best = nullptr;
    for (std::size_t step = 0; step < targets.size(); ++step) {
      const route_target& item = targets[(hash + step) % targets.size()];
      if (best == nullptr || load_(item.agent) < load_(best->agent)) {
        best = &item;
      }
    }
    return best;
  }

 private:
  load_function load_;
};

}  // namespace corianderplank
