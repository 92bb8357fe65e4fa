/// @file
/// Which document a process takes, from a fake platform and a fake peer.

#include <doctest/doctest.h>

#include "net/http_server.h"
#include "product/config_watcher.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr endpoint kPlatform{0x7f000501, 8080};
constexpr endpoint kPeer{0x7f000502, 6001};
constexpr int kNotModified = 304;
constexpr int kTooManyRequests = 429;

std::string DocumentText(const std::string& environment,
                         const std::string& comment) {
  return "environment = \"" + environment + "\" # " + comment +
         "\n[[service]]\nname = \"s\"\nport = 1\n[[service.class]]\n"
         "name = \"c\"\n[[service.target]]\nname = \"t\"\n"
         "failure_domain = \"d\"\nagent = \"127.0.0.1:1\"\n"
         "control = \"127.0.0.1:2\"\nbackend = \"127.0.0.1:3\"\n"
         "slots = 1\nconnections = 1\n";
}

/// A watcher between a platform and a peer that say what the test sets.
struct watcher_bench {
  explicit watcher_bench(bool with_peer)
      : platform(loop,
                 kPlatform,
                 [this](const http_request& request, auto responder) {
                   OnPlatform(request, responder);
                 }),
        client(nullptr) {
    settings.name = "process";
    settings.environment = "steppe";
    settings.platform = kPlatform;
    settings.watch_wait = 100ms;
    if (with_peer) {
      settings.peers.push_back(kPeer);
      peer = std::make_unique<control_server>(
          kPeer, [this](const std::string&, const control_reply& reply) {
            reply(EncodeControl(peer_answer));
          });
    }
    peer_answer.kind = control_kind::document;
    peer_answer.environment = "steppe";
  }

  void OnPlatform(const http_request& request,
                  const std::shared_ptr<http_responder>& responder) {
    http_response response;
    response.status = kNotModified;
    if (refuse) {
      response.status = kTooManyRequests;
    } else if (request.path.ends_with("/document") &&
               request.query.at("after") != std::to_string(revision)) {
      response.status = 200;
      response.headers["x-revision"] = std::to_string(revision);
      response.body = text;
    }
    // Not at once, or the watch would spin.
    loop.After(20ms, [responder, response] { responder->Respond(response); });
  }

  /// Runs until the condition holds, or fails the test after a limit.
  void RunUntil(const std::function<bool()>& condition) {
    bool late = false;
    loop.After(10s, [&] {
      late = true;
      loop.Stop();
    });
    loop.Every(5ms, [&, condition] {
      if (condition()) {
        loop.Stop();
      }
    });
    watcher = std::make_unique<config_watcher>(
        loop, settings, client, counted, [this](auto document, auto) {
          in_force.push_back(document->revision);
        });
    watcher->Start();
    loop.Run();
    CHECK_FALSE(late);
  }

  process_settings settings;
  event_loop loop;
  counters counted;
  http_server platform;
  control_client client;
  std::unique_ptr<control_server> peer;
  std::unique_ptr<config_watcher> watcher;
  control_message peer_answer;
  std::string text = DocumentText("steppe", "first");
  std::uint64_t revision = 5;
  bool refuse = false;
  std::vector<revision_number> in_force;
};

TEST_CASE("a starting process takes the highest of platform and peer") {
  watcher_bench bench(true);
  bench.peer_answer.revision = {9};
  bench.peer_answer.document = DocumentText("steppe", "newer");
  bench.RunUntil([&] { return !bench.in_force.empty(); });
  CHECK(bench.in_force.front().value == 9);
  CHECK(bench.counted.Get(result_code::single_source) == 0);
}

TEST_CASE("a process that knows one source only says so") {
  watcher_bench bench(false);
  bench.RunUntil([&] { return !bench.in_force.empty(); });
  CHECK(bench.in_force.front().value == 5);
  CHECK(bench.counted.Get(result_code::single_source) == 1);
}

TEST_CASE("an older answer of the platform changes nothing") {
  watcher_bench bench(false);
  bench.RunUntil([&] {
    if (!bench.in_force.empty()) {
      bench.revision = 3;
      bench.text = DocumentText("steppe", "older");
    }
    return bench.counted.Get(result_code::lower_revision) >= 1;
  });
  CHECK(bench.watcher->Document()->revision.value == 5);
}

TEST_CASE("a trial document cannot come into force in production") {
  watcher_bench bench(false);
  bench.text = DocumentText("steppe-trial", "trial");
  bench.RunUntil(
      [&] { return bench.counted.Get(result_code::other_environment) > 0; });
  CHECK(bench.watcher->Document() == nullptr);
  CHECK(bench.in_force.empty());
}

TEST_CASE("a process that nobody names is not asked for its document") {
  watcher_bench bench(false);
  int asked = 0;
  const control_server stranger(
      kPeer, [&](const std::string&, const control_reply& reply) {
        ++asked;
        reply({});
      });
  bench.RunUntil([&] {
    if (!bench.in_force.empty()) {
      bench.watcher->FetchFrom(kPeer);
    }
    return bench.counted.Get(result_code::unknown_peer) > 0;
  });
  CHECK(asked == 0);
}

TEST_CASE("a document with errors is refused and the one in force stays") {
  watcher_bench bench(false);
  bench.RunUntil([&] {
    if (!bench.in_force.empty()) {
      bench.revision = 6;
      bench.text = "environment = \"steppe\"\n";
    }
    return bench.counted.Get(result_code::invalid_document) > 0;
  });
  CHECK(bench.watcher->Document()->revision.value == 5);
}

TEST_CASE("a platform at its limit is asked again, and peers serve meanwhile") {
  watcher_bench bench(true);
  bench.refuse = true;
  bench.peer_answer.revision = {7};
  bench.peer_answer.document = DocumentText("steppe", "from the peer");
  bench.RunUntil([&] {
    return !bench.in_force.empty() &&
           bench.counted.Get(result_code::platform_refused) >= 2;
  });
  CHECK(bench.in_force.front().value == 7);
}

}  // namespace
}  // namespace corianderplank
