#include "core/pending_request.h"

#include <algorithm>

namespace corianderplank {
namespace {

constexpr int kMaxWaitDoublings = 6;

}  // namespace

bool pending_request::IsRepeatable() const {
  return spec.idempotent || spec.work != work_kind::request;
}

bool pending_request::RetriesUntilDeadline() const {
  return spec.work != work_kind::request;
}

std::uint32_t pending_request::RemainingMessages() const {
  if (spec.count == 0) {
    return 0;
  }
  return spec.count - static_cast<std::uint32_t>(next_position - spec.position);
}

void pending_request::FillPacket(time_point now, packet& value) const {
  value.token = token;
  value.sequence = sequence;
  value.request_id = spec.request_id;
  value.work = spec.work;
  value.traffic_class = spec.traffic_class;
  value.idempotent = spec.idempotent;
  value.position = next_position;
  value.count = RemainingMessages();
  if (!cancelling) {
    value.time =
        std::max(std::chrono::milliseconds(1),
                 std::chrono::ceil<std::chrono::milliseconds>(deadline - now));
    value.payload = spec.payload;
  }
}

std::chrono::milliseconds pending_request::RetryWait(
    std::chrono::milliseconds suggested) const {
  if (!RetriesUntilDeadline()) {
    return suggested;
  }
  const int doublings = std::clamp(tries - 1, 0, kMaxWaitDoublings);
  return std::min(suggested * (1 << doublings), kMaxRetryWait);
}

void pending_request::ResetForResend(time_point now) {
  token.reset();
  sends = 0;
  next_send = now;
  assembly = answer_assembly();
  answer.clear();
}

}  // namespace corianderplank
