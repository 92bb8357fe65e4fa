#include "core/lifecycle.h"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace corianderplank {
namespace {

namespace msm = boost::msm;

struct ready_event {};
struct drain_event {};
struct undrain_event {};
struct empty_event {};

struct daemon_states : msm::front::state_machine_def<daemon_states> {
  struct starting : msm::front::state<> {};
  struct serving : msm::front::state<> {};
  struct draining : msm::front::state<> {};
  struct stopped : msm::front::state<> {};
  using initial_state = starting;

  template <typename source, typename event, typename next>
  using row = msm::front::Row<source, event, next>;
  // NOLINTNEXTLINE(readability-identifier-naming): MSM looks for this name.
  struct transition_table
      : boost::mpl::vector<row<starting, ready_event, serving>,
                           row<starting, drain_event, draining>,
                           row<serving, drain_event, draining>,
                           row<draining, undrain_event, serving>,
                           row<draining, empty_event, stopped>> {};

  template <typename machine, typename event>
  // NOLINTNEXTLINE(readability-identifier-naming): MSM looks for this name.
  void no_transition(const event& /*event*/, machine& /*fsm*/, int /*state*/) {}
};

}  // namespace

struct lifecycle::machine : msm::back::state_machine<daemon_states> {};

lifecycle::lifecycle() : machine_(std::make_unique<machine>()) {
  machine_->start();
}

lifecycle::~lifecycle() = default;

void lifecycle::OnReady() {
  machine_->process_event(ready_event());
}

void lifecycle::OnDrain() {
  machine_->process_event(drain_event());
}

void lifecycle::OnUndrain() {
  machine_->process_event(undrain_event());
}

void lifecycle::OnEmpty() {
  machine_->process_event(empty_event());
}

lifecycle_state lifecycle::State() const {
  // MSM numbers the states in the order of their first appearance in the
  // transition table.
  static constexpr std::array kStates = {
      lifecycle_state::starting, lifecycle_state::serving,
      lifecycle_state::draining, lifecycle_state::stopped};
  return kStates[static_cast<std::size_t>(machine_->current_state()[0])];
}

std::string_view LifecycleStateName(lifecycle_state state) {
  switch (state) {
    case lifecycle_state::starting:
      return "starting";
    case lifecycle_state::serving:
      return "serving";
    case lifecycle_state::draining:
      return "draining";
    case lifecycle_state::stopped:
      return "stopped";
  }
  return "unlisted";
}

}  // namespace corianderplank
