#include "liveness/target_end.h"

#include <algorithm>

namespace corianderplank {

const char* NameOf(end_proof proof) {
  switch (proof) {
    case end_proof::none:
      return "none";
    case end_proof::unanswered:
      return "unanswered";
    case end_proof::idle:
      return "idle";
    case end_proof::silent:
      return "silent";
  }
  return "";
}

void AddRefusal(time_point started_at, target_evidence& evidence) {
  if (evidence.first_refused_at == time_point{} ||
      started_at - evidence.last_refused_at > kLongestRepeatInterval) {
    evidence.first_refused_at = started_at;
  }
  evidence.last_refused_at = started_at;
}

end_proof ProofOfEnd(time_point now, const target_evidence& evidence) {
  if (evidence.first_refused_at == time_point{} ||
      evidence.last_packet_at > evidence.last_refused_at) {
    return end_proof::none;
  }
  if (evidence.unanswered) {
    return end_proof::unanswered;
  }
  const bool was_seen_later =
      evidence.last_packet_at > evidence.first_refused_at;
  if (!evidence.has_busy_flows && !was_seen_later) {
    return end_proof::idle;
  }
  const time_point silent_since =
      std::max(evidence.first_refused_at, evidence.last_packet_at);
  return now - silent_since >= kLongestRepeatInterval ? end_proof::silent
                                                      : end_proof::none;
}

bool MayResetFlow(end_proof proof, bool busy) {
  return proof == end_proof::unanswered || (proof != end_proof::none && !busy);
}

}  // namespace corianderplank
