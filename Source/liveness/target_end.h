/// @file
/// Decides whether a target has ended. A refused connection alone does not show
/// it: a target that leaves closes its listener first and serves the flows that
/// are still busy afterwards.
#pragma once

#include <chrono>
#include <cstdint>

#include "core/identifiers.h"

namespace corianderplank {

/// What shows that a target has ended.
enum class end_proof : std::uint8_t {
  none,        ///< It may still serve its flows.
  unanswered,  ///< It refused a connection and did not answer a packet.
  idle,        ///< It refused a connection, had nothing left to do and sent
               ///< nothing afterwards.
  silent,      ///< It refused connections and repeated nothing for as long as a
               ///< target waits between two copies of a packet.
};

/// @param proof a proof.
/// @return its name in log lines.
const char* NameOf(end_proof proof);

/// Longest time between two copies that a target sends of an unacknowledged
/// packet is 1.6 s; the rest allows for a late process.
constexpr std::chrono::milliseconds kLongestRepeatInterval{1800};

/// What an agent knows about its target. All times are of the monotonic clock;
/// a default value means "never".
struct target_evidence {
  /// Start of the first and of the latest of the refused connections that
  /// belong together, see AddRefusal.
  time_point first_refused_at{};
  time_point last_refused_at{};
  /// Last datagram from the target.
  time_point last_packet_at{};
  /// The target has not answered a packet for longer than a working one needs.
  bool unanswered = false;
  /// On some flow the target owes an answer, or waits for an acknowledgement or
  /// for the client's end of the flow.
  bool has_busy_flows = false;
};

/// Adds a refused connection. One that comes long after the previous one does
/// not belong to it: another target may have run in between.
/// @param started_at start of the connection.
/// @param evidence gets the connection.
void AddRefusal(time_point started_at, target_evidence& evidence);

/// @param now current time of the monotonic clock.
/// @param evidence what is known about the target.
/// @return what shows that it has ended, or `none`.
end_proof ProofOfEnd(time_point now, const target_evidence& evidence);

/// @param proof what shows that the target has ended.
/// @param busy whether the flow is busy, as in target_evidence.
/// @return whether the client of an open flow may get a reset. A target that
///     waits for the rest of a request is as silent as one that has ended, so
///     only an unanswered packet shows that a busy flow is lost.
bool MayResetFlow(end_proof proof, bool busy);

}  // namespace corianderplank
