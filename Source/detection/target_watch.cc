#include "detection/target_watch.h"

#include <algorithm>

namespace corianderplank {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// An answer looks like an error if it has at most 1/3 of the peers' bytes and
/// took at most 1/2 of their time. The peers' figures are near the lower end of
/// their own answers, so one that is below both is far from each of them.
constexpr std::uint32_t kBytesDivisor = 3;
constexpr int kTimeDivisor = 2;
/// Peers whose answers are smaller than this or faster cannot be told from
/// errors: the head of an answer alone has about 100 bytes, and times are
/// measured in milliseconds.
constexpr std::uint32_t kMinPeerBytes = 400;
constexpr milliseconds kMinPeerTime = 2ms;
/// Peers' figures are used for this long: longer than the longest pause, during
/// which only trial flows bring new ones.
constexpr milliseconds kPeersLifetime = 15000ms;
/// Evidence of an answer that looks like an error; each other answer counts
/// -1, so that a share below 1/4 never adds up. The peers' figures exclude
/// routes on which more than 1/8 look so by nature.
constexpr int kErrorWeight = 3;
/// Evidence that pauses: six errors in a row. At a target that answers
/// errors by nature once in eight, this is reached about once in a thousand
/// answers; once in twenty, less than once in a million.
constexpr int kMaxEvidence = 18;
/// Time after a pause for which requests that are not repeated wait for one
/// that is to try the target.
constexpr milliseconds kUnrepeatableDelay = 1000ms;
/// Period of sending profiles to each entry.
constexpr milliseconds kSendPeriod = 2000ms;
/// Entries whose last message is remembered; more are told anew.
constexpr std::size_t kMaxEntries = 1024;

}  // namespace

void target_watch::OnPeers(time_point now,
                           const std::vector<answer_profile>& peers) {
  for (const answer_profile& item : peers) {
    peers_[item.route] = {item, now};
  }
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.at > kPeersLifetime;
  });
}

target_watch::verdict target_watch::Judge(const measured_answer& answer,
                                          const answer_profile& peers) {
  if (peers.bytes < kMinPeerBytes || peers.service_time < kMinPeerTime) {
    return verdict::unknown;
  }
  if (answer.bytes > peers.bytes / kBytesDivisor) {
    return verdict::normal;
  }
  return answer.service_time <= peers.service_time / kTimeDivisor
             ? verdict::error
             : verdict::unknown;
}

suspicion_change target_watch::Clear(suspicion_change change) {
  suspected_ = false;
  suspect_answers_ = 0;
  normal_answers_ = 0;
  return change;
}

std::optional<suspicion_change> target_watch::OnUnjudged(
    time_point now,
    suspicion_change change) {
  if (!suspected_ || now < paused_until_ || now - judged_at_ < kPeersLifetime) {
    return std::nullopt;
  }
  change.suspect_answers = suspect_answers_;
  change.normal_answers = normal_answers_;
  breaker_ = {};
  return Clear(change);
}

std::optional<suspicion_change> target_watch::OnAnswer(
    time_point now,
    const endpoint& route,
    const measured_answer& answer) {
  history_.Add(route, answer);
  suspicion_change change;
  change.route = route;
  change.answer = answer;
  const auto peers = peers_.find(route);
  if (peers == peers_.end() || now - peers->second.at > kPeersLifetime) {
    return OnUnjudged(now, change);
  }
  const verdict result = Judge(answer, peers->second.profile);
  if (result == verdict::unknown) {
    return OnUnjudged(now, change);
  }
  judged_at_ = now;
  change.peers = peers->second.profile;
  change.peers_age =
      std::chrono::duration_cast<milliseconds>(now - peers->second.at);
  const bool is_error = result == verdict::error;
  ++(is_error ? suspect_answers_ : normal_answers_);
  change.suspect_answers = suspect_answers_;
  change.normal_answers = normal_answers_;
  if (suspected_) {
    // Answers during a pause are of flows that were open before.
    if (now < paused_until_) {
      return std::nullopt;
    }
    if (is_error) {
      breaker_.OnFailed(now);
      change.pause = breaker_.PauseLeft(now);
      paused_until_ = now + change.pause;
      change.suspected = true;
      return change;
    }
    breaker_.OnAnswered(now);
    if (breaker_.IsOnTrial()) {
      return std::nullopt;
    }
    return Clear(change);
  }
  evidence_ = std::max(0, evidence_ + (is_error ? kErrorWeight : -1));
  if (!is_error) {
    breaker_.OnAnswered(now);
  }
  if (evidence_ == 0) {
    suspect_answers_ = 0;
    normal_answers_ = 0;
  }
  if (evidence_ < kMaxEvidence) {
    return std::nullopt;
  }
  evidence_ = 0;
  suspected_ = true;
  breaker_.Pause(now);
  change.pause = breaker_.PauseLeft(now);
  paused_until_ = now + change.pause;
  change.suspected = true;
  return change;
}

milliseconds target_watch::Admit(time_point now, bool repeatable) {
  if (!suspected_) {
    return 0ms;
  }
  if (!repeatable && now < paused_until_ + kUnrepeatableDelay) {
    return std::chrono::ceil<milliseconds>(paused_until_ + kUnrepeatableDelay -
                                           now);
  }
  return breaker_.Admit(now);
}

std::vector<answer_profile> target_watch::TakeDue(time_point now,
                                                  const endpoint& entry) {
  const auto sent = sent_at_.find(entry);
  if (sent != sent_at_.end() && now - sent->second < kSendPeriod) {
    return {};
  }
  std::vector<answer_profile> result = history_.Profiles();
  if (!result.empty()) {
    if (sent_at_.size() >= kMaxEntries) {
      sent_at_.clear();
    }
    sent_at_[entry] = now;
  }
  return result;
}

}  // namespace corianderplank
