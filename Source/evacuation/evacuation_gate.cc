#include "evacuation/evacuation_gate.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

/// Time without a confirmation after which the gate opens. The reader confirms
/// an evacuation each second, so that many losses in a row mean that the end
/// was missed, and that no process knows its row any more: all entries may have
/// been started again since. Longer than a change of the reader and a store
/// that is down take.
constexpr std::chrono::milliseconds kConfirmationLifetime = 30s;

}  // namespace

bool evacuation_gate::OnRow(time_point now, const domain_evacuation& row) {
  if (!row.revision.IsSet() || row.failure_domain != row_.failure_domain ||
      row.revision < row_.revision) {
    return false;
  }
  const bool changed = row.evacuated != row_.evacuated;
  row_ = row;
  if (row.evacuated) {
    confirmed_at_ = now;
  }
  return changed;
}

bool evacuation_gate::IsClosed(time_point now) const {
  return row_.evacuated && now - confirmed_at_ < kConfirmationLifetime;
}

}  // namespace corianderplank
