// The platform's store, over HTTP/1.1.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>

#include "standins.h"

namespace review {
namespace {

constexpr millis kAnswerTime{4};
constexpr std::chrono::seconds kHistory{20};
constexpr std::size_t kMaxItems = 500;
constexpr std::size_t kMaxPageBytes = 1000000;
constexpr millis kDripPeriod{2};
// Larger answers are recorded.
constexpr std::size_t kLargeAnswer = 1000000;

std::string Base64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t part = 0; part < 3; ++part) {
      group = (group << 8) |
              (at + part < bytes.size()
                   ? static_cast<unsigned char>(bytes[at + part])
                   : 0U);
    }
    for (std::size_t part = 0; part < 4; ++part) {
      text += at + part <= bytes.size()
                  ? digits[(group >> (18 - 6 * part)) & 63]
                  : '=';
    }
  }
  return text;
}

// Returns the value of a key in the query of a request's target.
std::string Query(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return "";
}

}  // namespace

struct store::connection {
  int descriptor = -1;
  std::string input, output;
  std::size_t sent = 0;
  bool dripping = false;
  // When the answer that is being sent was begun.
  steady::time_point began;
  double Milliseconds() const {
    return std::chrono::duration<double, std::milli>(steady::now() - began)
        .count();
  }
};

store::store(world& shared) : world_(shared) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(world_.Ip(200));
  local.sin_port = htons(world_.store_port);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&local), sizeof(local)) !=
          0 ||
      ::listen(listener_, 64) != 0) {
    std::perror("store");
    std::exit(kNotRun);
  }
  world_.loop.Watch(listener_, [this] { Accept(); });
  world_.loop.Every(millis(100), [this] { ForgetHistory(); });
}

std::string store::Address() const {
  return Format({world_.Ip(200), world_.store_port});
}

void store::LimitLinks(std::uint64_t bytes_per_second) {
  rate_ = bytes_per_second;
}

std::uint64_t store::Put(const std::string& key, const std::string& value) {
  item& entry = items_[key];
  entry.value = Base64(value);
  entry.revision = ++revision_;
  entry.created = entry.created == 0 ? revision_ : entry.created;
  history_.push_back({revision_,
                      "{\"Key\":\"" + key + "\",\"Value\":\"" + entry.value +
                          "\",\"Revision\":" + std::to_string(revision_) +
                          ",\"CreatedRev\":" + std::to_string(entry.created) +
                          ",\"LeaseId\":0}",
                      steady::now()});
  return revision_;
}

std::uint64_t store::Remove(const std::string& key) {
  if (items_.erase(key) != 0) {
    history_.push_back({++revision_,
                        "{\"Key\":\"" + key + "\",\"Revision\":" +
                            std::to_string(revision_) + ",\"Tombstone\":true}",
                        steady::now()});
  }
  return revision_;
}

void store::ForgetHistory() {
  while (!history_.empty() && history_.front().at + kHistory < steady::now()) {
    forgotten_ = history_.front().revision;
    history_.pop_front();
  }
}

void store::Accept() {
  const int descriptor =
      ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (descriptor < 0) {
    return;
  }
  auto added = std::make_shared<connection>();
  added->descriptor = descriptor;
  world_.loop.Watch(descriptor, [this, added] { Read(added); });
}

void store::Read(const std::shared_ptr<connection>& from) {
  char buffer[4096];
  const ssize_t size = ::recv(from->descriptor, buffer, sizeof(buffer), 0);
  if (size == 0 || (size < 0 && errno != EAGAIN)) {
    if (from->output.size() > kLargeAnswer) {
      world_.log->Line("a caller closes its connection to the store after %zu "
                       "of %zu bytes, %.0f ms after the answer began",
                       from->sent, from->output.size(), from->Milliseconds());
    }
    world_.loop.Unwatch(from->descriptor);
    ::close(from->descriptor);
    from->descriptor = -1;
    return;
  }
  from->input.append(buffer, size < 0 ? 0 : static_cast<std::size_t>(size));
  const std::size_t end = from->input.find("\r\n\r\n");
  if (end == std::string::npos) {
    return;
  }
  const std::string line = from->input.substr(0, from->input.find("\r\n"));
  from->input.erase(0, end + 4);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  const std::string called =
      first == std::string::npos || last <= first
          ? std::string()
          : line.substr(first + 1, last - first - 1);
  world_.loop.After(kAnswerTime, [this, from, called] { Handle(from, called); });
}

std::string store::Range(const std::string& prefix, const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool truncated = false;
  for (auto found = items_.upper_bound(after); found != items_.end(); ++found) {
    const auto& [key, entry] = *found;
    if (key.rfind(prefix, 0) != 0) {
      continue;
    }
    if (count > 0 && (count >= kMaxItems ||
                      items.size() + entry.value.size() > kMaxPageBytes)) {
      truncated = true;
      break;
    }
    items += count++ == 0 ? "" : ",";
    items += "{\"Key\":\"" + key + "\",\"Value\":\"" + entry.value +
             "\",\"Revision\":" + std::to_string(entry.revision) +
             ",\"CreatedRev\":" + std::to_string(entry.created) +
             ",\"LeaseId\":0}";
  }
  return "{\"items\":[" + items + "],\"Truncated\":" +
         (truncated ? "true" : "false") +
         ",\"AtRev\":" + std::to_string(revision_) + "}";
}

void store::Handle(const std::shared_ptr<connection>& from,
                   const std::string& called) {
  ++calls_;
  if (down_) {
    Respond(from, 503, "{}");
    return;
  }
  if (called.rfind("/kv-range", 0) == 0) {
    Respond(from, 200, Range(Query(called, "Prefix"), Query(called, "after")));
    return;
  }
  if (called.rfind("/kv-watch", 0) != 0) {
    Respond(from, 404, "{}");
    return;
  }
  const std::uint64_t after =
      std::strtoull(Query(called, "after").c_str(), nullptr, 10);
  if (after < forgotten_) {
    Respond(from, 410, "{}");
    return;
  }
  std::string events;
  for (const change& item : history_) {
    if (item.revision > after) {
      events += events.empty() ? "" : ",";
      events += item.json;
    }
  }
  Respond(from, 200,
          "{\"events\":[" + events + "],\"AtRev\":" +
              std::to_string(revision_) + "}");
}

void store::Respond(const std::shared_ptr<connection>& to,
                    int status,
                    const std::string& body) {
  if (to->descriptor < 0) {
    return;
  }
  largest_answer_ = std::max(largest_answer_, body.size());
  to->output += "HTTP/1.1 " + std::to_string(status) +
                " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!to->dripping) {
    to->dripping = true;
    to->began = steady::now();
    Drip(to);
  }
}

// Writes what the link could carry until now.
void store::Drip(const std::shared_ptr<connection>& to) {
  if (to->descriptor < 0) {
    return;
  }
  std::size_t budget = to->output.size() - to->sent;
  if (rate_ != 0) {
    const double seconds =
        std::chrono::duration<double>(steady::now() - to->began + kDripPeriod)
            .count();
    const auto carried =
        static_cast<std::size_t>(seconds * static_cast<double>(rate_));
    budget = std::min(budget, carried - std::min(carried, to->sent));
  }
  const ssize_t size = ::send(to->descriptor, to->output.data() + to->sent,
                              budget, MSG_NOSIGNAL);
  to->sent += size > 0 ? static_cast<std::size_t>(size) : 0;
  if (to->sent == to->output.size()) {
    if (to->output.size() > kLargeAnswer) {
      world_.log->Line("the store has sent an answer of %zu bytes in %.0f ms",
                       to->output.size(), to->Milliseconds());
    }
    to->output.clear();
    to->sent = 0;
    to->dripping = false;
    return;
  }
  world_.loop.After(kDripPeriod, [this, to] { Drip(to); });
}

}  // namespace review
