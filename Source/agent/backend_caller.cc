#include "agent/backend_caller.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr int kServiceUnavailable = 503;
constexpr auto kHealthTimeout = 1s;
/// How long the backend server may hold back an answer for want of messages.
constexpr std::chrono::milliseconds kFeedWait = 2000ms;
constexpr std::chrono::milliseconds kFeedGrace = 3000ms;
constexpr std::uint32_t kFeedBatch = 32;

std::vector<std::string> SplitLines(const std::string& body) {
  std::vector<std::string> lines;
  std::size_t start = 0;
  while (start < body.size()) {
    const std::size_t end = std::min(body.find('\n', start), body.size());
    lines.push_back(body.substr(start, end - start));
    start = end + 1;
  }
  return lines;
}

}  // namespace

backend_caller::backend_caller(event_loop& loop,
                               const endpoint& backend,
                               std::string service,
                               execution_callback on_result,
                               std::function<void(bool)> on_leaving)
    : client_(loop, backend),
      service_(std::move(service)),
      on_result_(std::move(on_result)),
      on_leaving_(std::move(on_leaving)) {}

client_request backend_caller::RequestFor(const execution& call) const {
  client_request request;
  request.headers["x-service"] = service_;
  request.headers["x-request-id"] = std::to_string(call.request_id);
  request.headers["x-deadline-ms"] = std::to_string(call.timeout.count());
  request.headers["x-class"] = std::to_string(call.traffic_class);
  request.headers["x-idempotent"] = call.idempotent ? "1" : "0";
  request.timeout = call.timeout;
  const std::string flow = std::to_string(call.flow.value);
  switch (call.work) {
    case work_kind::request:
      request.method = "POST";
      request.target = "/work";
      request.body = call.payload;
      break;
    case work_kind::upload:
      request.method = "PUT";
      request.target = "/uploads/" + flow + "/" + std::to_string(call.position);
      request.body = call.payload;
      break;
    case work_kind::feed: {
      const std::uint32_t wanted =
          call.count == 0 ? kFeedBatch : std::min(call.count, kFeedBatch);
      request.target = "/feed?after=" + std::to_string(call.position) +
                       "&max=" + std::to_string(wanted) +
                       "&wait_ms=" + std::to_string(kFeedWait.count());
      request.timeout = std::min(call.timeout, kFeedWait + kFeedGrace);
      break;
    }
  }
  return request;
}

void backend_caller::Start(const execution& call) {
  calls_[call.id] = client_.Send(
      RequestFor(call),
      [this, id = call.id, work = call.work](client_result response) {
        OnResponse(id, work, std::move(response));
      });
}

void backend_caller::Cancel(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    client_.Cancel(found->second);
  }
}

void backend_caller::OnResponse(std::uint64_t id,
                                work_kind work,
                                client_result response) {
  calls_.erase(id);
  execution_result result;
  if (response.headers.contains("x-leaving")) {
    on_leaving_(response.headers["x-leaving"] == "1");
  }
  if (response.status == client_status::unreachable) {
    result.status = execution_status::unreachable;
  } else if (response.status == client_status::lost) {
    result.status = execution_status::lost;
  } else if (response.code == kServiceUnavailable &&
             response.headers.contains("x-not-run")) {
    result.status = execution_status::shed;
  } else if (response.code >= 500 && work != work_kind::request) {
    result.status = execution_status::lost;
  } else {
    result.status = execution_status::completed;
    if (work == work_kind::feed) {
      result.messages = SplitLines(response.body);
    } else {
      result.body = std::move(response.body);
    }
  }
  on_result_(id, std::move(result));
}

void backend_caller::AskHealth() {
  if (asking_health_) {
    return;
  }
  asking_health_ = true;
  client_request request;
  request.target = "/health";
  request.timeout = kHealthTimeout;
  client_.Send(request, [this](const client_result& response) {
    asking_health_ = false;
    if (response.status == client_status::completed) {
      on_leaving_(response.body.find("leaving") != std::string::npos);
    }
  });
}

}  // namespace corianderplank
