#include "packet/link_sender.h"

#include <sstream>

namespace corianderplank {
namespace {

std::string RouteName(const endpoint& route) {
  return route.IsValid() ? FormatEndpoint(route) : "none";
}

}  // namespace

std::string LinkMetricsText(const std::map<endpoint, link_tally>& tallies) {
  std::ostringstream out;
  out << "# HELP corianderplank_link_bytes Bytes to agents on the link.\n"
         "# TYPE corianderplank_link_bytes gauge\n";
  for (const auto& [route, tally] : tallies) {
    const auto write = [&, &route = route](const char* state,
                                           std::uint64_t bytes) {
      out << "corianderplank_link_bytes{route=\"" << RouteName(route)
          << "\",state=\"" << state << "\"} " << bytes << '\n';
    };
    write("sent", tally.sent_bytes);
    write("paced", tally.paced_bytes);
    write("queued", tally.queued_bytes);
    write("dropped", tally.dropped_bytes);
    write("repeated", tally.repeated_bytes);
  }
  out << "# HELP corianderplank_link_refused_flows New flows refused for the "
         "link.\n"
         "# TYPE corianderplank_link_refused_flows counter\n";
  for (const auto& [route, tally] : tallies) {
    out << "corianderplank_link_refused_flows{route=\"" << RouteName(route)
        << "\"} " << tally.refused_flows << '\n';
  }
  return out.str();
}

std::string LinkTallyJson(const std::map<endpoint, link_tally>& tallies) {
  std::ostringstream out;
  out << '{';
  for (const auto& [route, tally] : tallies) {
    out << (out.tellp() > 1 ? "," : "") << '"' << RouteName(route)
        << "\":{\"sent\":" << tally.sent_bytes;
    const auto write = [&](const char* name, std::uint64_t value) {
      if (value > 0) {
        out << ",\"" << name << "\":" << value;
      }
    };
    write("paced", tally.paced_bytes);
    write("queued", tally.queued_bytes);
    write("dropped", tally.dropped_bytes);
    write("repeated", tally.repeated_bytes);
    write("refused_flows", tally.refused_flows);
    out << '}';
  }
  out << '}';
  return out.str();
}

link_sender::link_sender(udp_socket& socket,
                         counters& counters,
                         std::uint64_t bytes_per_second)
    : socket_(socket), counters_(counters) {
  if (bytes_per_second > 0) {
    queue_.emplace(bytes_per_second);
  }
}

void link_sender::Send(time_point now,
                       const endpoint& to,
                       const mesh_message& message,
                       std::string_view encoded,
                       const packet_rank& rank) {
  if (!queue_) {
    socket_.Send(to, encoded);
    return;
  }
  switch (
      queue_->Offer(now, {to, message.flow, rank, message.payload, encoded})) {
    case pacing_verdict::send:
      socket_.Send(to, encoded);
      return;
    case pacing_verdict::queued:
      counters_.Add(result_code::packet_paced);
      return;
    case pacing_verdict::repeated:
      return;
    case pacing_verdict::dropped:
      counters_.Add(result_code::packet_dropped_for_link);
      return;
  }
}

void link_sender::SendDue(time_point now) {
  if (NextAt()) {
    queue_->SendDue(now, [this](const endpoint& to, std::string_view bytes) {
      socket_.Send(to, bytes);
    });
  }
}

std::optional<time_point> link_sender::NextAt() const {
  return queue_ ? queue_->NextAt() : std::nullopt;
}

void link_sender::OnRefused(const endpoint& route) {
  if (queue_) {
    queue_->OnRefused(route);
  }
}

std::string link_sender::Publish() {
  if (!queue_) {
    return "{}";
  }
  std::string text = LinkMetricsText(queue_->Tallies());
  {
    const std::lock_guard lock(published_mutex_);
    published_ = std::move(text);
  }
  return LinkTallyJson(queue_->Tallies());
}

std::string link_sender::Metrics() const {
  const std::lock_guard lock(published_mutex_);
  return published_;
}

}  // namespace corianderplank
