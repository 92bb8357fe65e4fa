/// @file
/// Sends an entry's messages to agents over its link: paced if the link is
/// narrow, at once if not.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "core/mesh_message.h"
#include "link/paced_queue.h"
#include "net/udp_socket.h"

namespace corianderplank {

/// Formats tallies in the Prometheus text format.
/// @param tallies tallies by route; the invalid endpoint stands for messages of
///     the system.
/// @return one metric of bytes by route and what became of them, and one of
///     refused flows.
std::string LinkMetricsText(const std::map<endpoint, link_tally>& tallies);

/// Formats tallies as one JSON object by route, for logs.
/// @param tallies tallies by route.
/// @return an object whose members have one number for each tally that is not
///     0.
std::string LinkTallyJson(const std::map<endpoint, link_tally>& tallies);

/// Used on the traffic thread only, but for Metrics.
class link_sender {
 public:
  /// @param socket socket to send with; must outlive this object.
  /// @param counters counts paced and dropped packets; must outlive this
  /// object.
  /// @param bytes_per_second capacity of the link; 0 to send everything at
  /// once.
  link_sender(udp_socket& socket,
              counters& counters,
              std::uint64_t bytes_per_second);

  /// Sends or queues a message.
  /// @param now current time of the monotonic clock.
  /// @param to the agent.
  /// @param message the message.
  /// @param encoded the same, encoded.
  /// @param rank how urgent it is.
  void Send(time_point now,
            const endpoint& to,
            const mesh_message& message,
            std::string_view encoded,
            const packet_rank& rank);

  /// Sends the messages whose turn has come; the caller flushes the socket.
  /// @param now current time of the monotonic clock.
  void SendDue(time_point now);

  /// @return when SendDue must be called next; std::nullopt if none waits.
  std::optional<time_point> NextAt() const;

  /// Counts a new flow that was refused since the link cannot carry it.
  /// @param route address and port of its route.
  void OnRefused(const endpoint& route);

  /// Makes the present tallies available to Metrics.
  /// @return the tallies as LinkTallyJson formats them.
  std::string Publish();

  /// @return the tallies published last, as LinkMetricsText formats them. Safe
  ///     for any thread.
  std::string Metrics() const;

 private:
  udp_socket& socket_;
  counters& counters_;
  std::optional<paced_queue> queue_;
  mutable std::mutex published_mutex_;
  std::string published_;
};

}  // namespace corianderplank
