/// @file
/// Stand-in for a backend server: slots, shedding, drain, cold start,
/// cancellation, a health page that may lie, and a record of each execution.

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "caller/test_content.h"
#include "net/event_loop.h"
#include "net/http_server.h"

namespace corianderplank {
namespace {

constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;
constexpr std::chrono::milliseconds kFeedInterval{50};

/// Behaviour that POST /control/NAME?value=N changes while it runs.
struct behaviour {
  bool leaving = false;
  bool lies = false;       ///< The health page says serving, whatever is true.
  bool sheds_all = false;  ///< Refuses all work before running it.
  bool loses_all = false;  ///< Closes the connection after running the work.
};

class backend_standin {
 public:
  backend_standin(const std::string& name,
                  const std::string& service,
                  const endpoint& listen,
                  int slots,
                  int cold_start_ms,
                  const std::string& records)
      : name_(name),
        service_(service),
        slots_(slots),
        cold_start_(cold_start_ms),
        started_(std::chrono::steady_clock::now()),
        records_(::open(records.c_str(),
                        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                        0644)),
        server_(loop_, listen, [this](const auto& request, auto responder) {
          OnRequest(request, responder);
        }) {}

  void Run() {
    loop_.OnStopSignal([this] { loop_.Stop(); });
    loop_.Run();
  }

 private:
  using responder_ptr = std::shared_ptr<http_responder>;

  void OnRequest(const http_request& request, const responder_ptr& responder) {
    if (request.path == "/health") {
      responder->Respond({200, {}, "application/json", HealthJson()});
    } else if (request.path.starts_with("/control/")) {
      Control(request.path.substr(9), request.query.at("value") == "1");
      responder->Respond({});
    } else if (request.path == "/feed") {
      Feed(request, responder);
    } else {
      Work(request, responder);
    }
  }

  std::string HealthJson() const {
    const bool leaving = behaviour_.leaving && !behaviour_.lies;
    nlohmann::json page;
    page["state"] = leaving ? "leaving" : "serving";
    page["load"] = behaviour_.lies ? 0.0 : double(running_) / slots_;
    return page.dump();
  }

  void Control(const std::string& name, bool value) {
    if (name == "leaving") {
      behaviour_.leaving = value;
      Record("leaving", value ? 1 : 0, 0, "", false);
    } else if (name == "lies") {
      behaviour_.lies = value;
    } else if (name == "sheds_all") {
      behaviour_.sheds_all = value;
    } else if (name == "loses_all") {
      behaviour_.loses_all = value;
    }
  }

  http_response Refusal() const {
    http_response refusal;
    refusal.status = kUnavailable;
    refusal.headers["x-not-run"] = "1";
    refusal.headers["x-leaving"] =
        behaviour_.leaving && !behaviour_.lies ? "1" : "0";
    return refusal;
  }

  void Feed(const http_request& request, const responder_ptr& responder) {
    const std::uint64_t after = std::stoull(request.query.at("after"));
    if (request.headers.at("x-service") != service_) {
      Record("misrouted", after, 0, "feed", false);
    }
    loop_.After(kFeedInterval, [this, after, responder] {
      responder->Respond(
          {200, {}, "text/plain", FeedMessage(service_, after) + "\n"});
    });
  }

  int AllowedSlots() const {
    const auto age = std::chrono::steady_clock::now() - started_;
    if (age >= cold_start_) {
      return slots_;
    }
    return std::max<int>(1, static_cast<int>(slots_ * age / cold_start_));
  }

  void Work(const http_request& request, const responder_ptr& responder) {
    const auto order = ParseWorkOrder(request.body);
    if (!order) {
      responder->Respond({kBadRequest, {}, "text/plain", "not an order"});
      return;
    }
    if (order->service != service_) {
      Record("misrouted", order->request_id, 0, request.path, false);
    }
    if (behaviour_.leaving || behaviour_.sheds_all ||
        running_ >= AllowedSlots()) {
      Record("shed", order->request_id, 0, request.path, false);
      responder->Respond(Refusal());
      return;
    }
    ++running_;
    const bool idempotent = request.headers.at("x-idempotent") == "1";
    const std::int64_t started = WallUs();
    Record("started", order->request_id, started, request.path, idempotent);
    Hold(*order, request.path, idempotent, started, responder,
         std::chrono::steady_clock::now() + order->duration);
  }

  // Looks for the caller's cancellation every few milliseconds.
  void Hold(const work_order& order,
            const std::string& path,
            bool idempotent,
            std::int64_t started,
            const responder_ptr& responder,
            std::chrono::steady_clock::time_point until) {
    constexpr std::chrono::milliseconds kLook{20};
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    if (left.count() <= 0 || responder->IsClosed()) {
      --running_;
      const bool cancelled = responder->IsClosed();
      Record(cancelled ? "cancelled" : "finished", order.request_id, started,
             path, idempotent);
      if (behaviour_.loses_all) {
        responder->Abort();
      } else {
        responder->Respond({200, {}, "text/plain", AnswerTo(order)});
      }
      return;
    }
    loop_.After(std::min(left, kLook), [=, this] {
      Hold(order, path, idempotent, started, responder, until);
    });
  }

  static std::int64_t WallUs() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  }

  void Record(const char* what,
              std::uint64_t request_id,
              std::int64_t started_us,
              const std::string& path,
              bool idempotent) {
    nlohmann::json line;
    line["what"] = what;
    line["target"] = name_;
    line["service"] = service_;
    line["request_id"] = request_id;
    line["started_us"] = started_us;
    line["time_us"] = WallUs();
    line["path"] = path;
    line["idempotent"] = idempotent;
    const std::string text = line.dump() + "\n";
    if (::write(records_, text.data(), text.size()) < 0) {
      std::cerr << "cannot write the record\n";
    }
  }

  std::string name_;
  std::string service_;
  int slots_;
  std::chrono::milliseconds cold_start_;
  std::chrono::steady_clock::time_point started_;
  int records_;
  int running_ = 0;
  behaviour behaviour_;
  event_loop loop_;
  http_server server_;
};

}  // namespace
}  // namespace corianderplank

int main(int argc, char** argv) {
  using namespace corianderplank;
  cxxopts::Options options("backend_standin");
  options.add_options()("name", "", cxxopts::value<std::string>())(
      "service", "", cxxopts::value<std::string>())(
      "listen", "", cxxopts::value<std::string>())("slots", "",
                                                   cxxopts::value<int>())(
      "cold-start-ms", "", cxxopts::value<int>()->default_value("0"))(
      "records", "", cxxopts::value<std::string>());
  const auto parsed = options.parse(argc, argv);
  backend_standin standin(
      parsed["name"].as<std::string>(), parsed["service"].as<std::string>(),
      ParseEndpoint(parsed["listen"].as<std::string>()),
      parsed["slots"].as<int>(), parsed["cold-start-ms"].as<int>(),
      parsed["records"].as<std::string>());
  standin.Run();
  return 0;
}
