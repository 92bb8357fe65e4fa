/// @file
/// Detects a target that answers its requests with errors which its agent
/// cannot read, and decides when it may get new flows again.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/circuit_breaker.h"
#include "core/mesh_message.h"
#include "detection/answer_profiles.h"

namespace corianderplank {

/// A change of a target's suspicion, for logs.
struct suspicion_change {
  /// Whether the target is suspected from now on, rather than cleared.
  bool suspected = false;
  endpoint route;          ///< Route of the answer that decided.
  measured_answer answer;  ///< That answer.
  answer_profile peers;    ///< What the peers' answers are like.
  /// Age of `peers`.
  std::chrono::milliseconds peers_age{0};
  /// Answers that look like errors, and others, since the target was first
  /// suspected or last cleared.
  std::uint32_t suspect_answers = 0;
  std::uint32_t normal_answers = 0;
  /// How long the target gets no new flows.
  std::chrono::milliseconds pause{0};
};

/// Compares each answer of one target with those of its peers. An answer that
/// is both far shorter and far faster looks like an error; a share of these
/// that no peer has pauses new flows, for longer with each relapse, and then
/// single flows try the target. Not thread-safe; every `now` is the current
/// time of the monotonic clock.
class target_watch {
 public:
  /// Records what the answers of the target's peers are like.
  /// @param now current time.
  /// @param peers a profile of each route that is known.
  void OnPeers(time_point now, const std::vector<answer_profile>& peers);

  /// Records an answer.
  /// @param now current time.
  /// @param route route of the request.
  /// @param answer the whole answer.
  /// @return the change that the answer has caused, if any.
  std::optional<suspicion_change> OnAnswer(time_point now,
                                           const endpoint& route,
                                           const measured_answer& answer);

  /// Decides about a new flow.
  /// @param now current time.
  /// @param repeatable whether clients repeat the flow's requests after a
  ///     failure; such a flow tries the target first.
  /// @return how long the target should get no new flows; 0 if it may get this
  ///     one.
  std::chrono::milliseconds Admit(time_point now, bool repeatable);

  /// @return whether the target is suspected.
  bool IsSuspected() const { return suspected_; }

  /// @param now current time.
  /// @param entry an entry that gets a message now.
  /// @return the profiles to send with it; empty if the entry got them a short
  ///     time ago.
  std::vector<answer_profile> TakeDue(time_point now, const endpoint& entry);

 private:
  enum class verdict : std::uint8_t { unknown, normal, error };

  struct known_peers {
    answer_profile profile;
    time_point at{};
  };

  /// Clears the target if no answer could be judged for a long time.
  std::optional<suspicion_change> OnUnjudged(time_point now,
                                             suspicion_change change);
  suspicion_change Clear(suspicion_change change);

  static verdict Judge(const measured_answer& answer,
                       const answer_profile& peers);

  answer_history history_;
  std::unordered_map<endpoint, known_peers, endpoint_hash> peers_;
  circuit_breaker breaker_;
  bool suspected_ = false;
  /// Rises with each answer that looks like an error, falls with each other.
  int evidence_ = 0;
  std::uint32_t suspect_answers_ = 0;
  std::uint32_t normal_answers_ = 0;
  time_point paused_until_{};
  /// When an answer was last judged.
  time_point judged_at_{};
  std::unordered_map<endpoint, time_point, endpoint_hash> sent_at_;
};

}  // namespace corianderplank
