/// @file
/// Stand-in for the platform: document and instance list to read and watch,
/// a count of calls and their limit; can be stale, slow, down or set back.

#include <deque>
#include <iostream>
#include <list>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "net/event_loop.h"
#include "net/http_server.h"

namespace corianderplank {
namespace {

constexpr int kNotModified = 304;
constexpr int kTooManyRequests = 429;
constexpr std::size_t kCallsPerSecond = 2000;
constexpr std::chrono::milliseconds kSlowDelay{3000};

/// A versioned value and those who wait for a newer one.
struct watched_value {
  struct waiter {
    std::uint64_t number = 0;
    std::uint64_t after = 0;
    std::shared_ptr<http_responder> responder;
  };
  std::uint64_t version = 0;
  std::string body;
  std::list<waiter> waiters;
};

class platform_standin {
 public:
  explicit platform_standin(const endpoint& listen)
      : server_(loop_, listen, [this](const auto& request, auto responder) {
          OnRequest(request, responder);
        }) {}

  void Run() {
    loop_.OnStopSignal([this] { loop_.Stop(); });
    loop_.Run();
  }

 private:
  using responder_ptr = std::shared_ptr<http_responder>;

  void OnRequest(const http_request& request, const responder_ptr& responder) {
    if (request.path.starts_with("/control/")) {
      Control(request, responder);
      return;
    }
    if (!CountCall()) {
      responder->Respond({kTooManyRequests, {}, "text/plain", ""});
      return;
    }
    if (mode_ == "down") {
      responder->Abort();
      return;
    }
    if (mode_ == "slow") {
      loop_.After(kSlowDelay,
                  [this, request, responder] { Read(request, responder); });
      return;
    }
    Read(request, responder);
  }

  bool CountCall() {
    const auto now = std::chrono::steady_clock::now();
    while (!calls_.empty() && now - calls_.front() > std::chrono::seconds(1)) {
      calls_.pop_front();
    }
    ++total_calls_;
    if (calls_.size() >= limit_) {
      ++refused_calls_;
      return false;
    }
    calls_.push_back(now);
    return true;
  }

  void Read(const http_request& request, const responder_ptr& responder) {
    const bool document = request.path.ends_with("/document");
    watched_value& value = document ? document_ : instances_;
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const auto wait = std::stol(request.query.at("wait_ms"));
    if (value.version > after) {
      Answer(value, responder);
      return;
    }
    if (wait == 0) {
      responder->Respond({kNotModified, {}, "text/plain", ""});
      return;
    }
    const std::uint64_t number = ++next_waiter_;
    value.waiters.push_back({number, after, responder});
    loop_.After(std::chrono::milliseconds(wait), [&value, number] {
      value.waiters.remove_if([&](const watched_value::waiter& item) {
        if (item.number != number) {
          return false;
        }
        item.responder->Respond({kNotModified, {}, "text/plain", ""});
        return true;
      });
    });
  }

  static void Answer(const watched_value& value,
                     const responder_ptr& responder) {
    responder->Respond({200,
                        {{"x-revision", std::to_string(value.version)}},
                        "text/plain",
                        value.body});
  }

  void Control(const http_request& request, const responder_ptr& responder) {
    const std::string what = request.path.substr(9);
    if (what == "document") {
      Set(document_, std::stoull(request.query.at("revision")), request.body);
    } else if (what == "instances") {
      const auto json = nlohmann::json::parse(request.body);
      Set(instances_, json.at("version").get<std::uint64_t>(), request.body);
    } else if (what == "mode") {
      mode_ = request.body;
      if (mode_ == "down") {
        DropWaiters(document_);
        DropWaiters(instances_);
      }
    } else if (what == "limit") {
      limit_ = std::stoul(request.body);
    }
    nlohmann::json page;
    page["calls"] = total_calls_;
    page["refused"] = refused_calls_;
    responder->Respond({200, {}, "application/json", page.dump()});
  }

  static void Set(watched_value& value,
                  std::uint64_t version,
                  const std::string& body) {
    value.version = version;
    value.body = body;
    value.waiters.remove_if([&](const watched_value::waiter& item) {
      if (item.after >= version) {
        return false;
      }
      Answer(value, item.responder);
      return true;
    });
  }

  static void DropWaiters(watched_value& value) {
    for (const watched_value::waiter& item : value.waiters) {
      item.responder->Abort();
    }
    value.waiters.clear();
  }

  std::string mode_ = "ok";
  std::size_t limit_ = kCallsPerSecond;
  std::uint64_t total_calls_ = 0;
  std::uint64_t refused_calls_ = 0;
  std::uint64_t next_waiter_ = 0;
  std::deque<std::chrono::steady_clock::time_point> calls_;
  watched_value document_;
  watched_value instances_;
  event_loop loop_;
  http_server server_;
};

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  cxxopts::Options options("platform_standin");
  options.add_options()("listen", "", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  platform_standin standin(ParseEndpoint(parsed["listen"].as<std::string>()));
  standin.Run();
  return 0;
}
