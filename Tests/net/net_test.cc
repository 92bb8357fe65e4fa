/// @file
/// Sockets and HTTP on loopback. Every wait is for a condition.

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "net/control_port.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listen_probe.h"
#include "net/udp_socket.h"
#include "paced_server.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::chrono::milliseconds kLimit{10000};

/// Runs the loop until Stop, or fails the test after a limit.
void RunWithLimit(event_loop& loop) {
  bool late = false;
  loop.After(kLimit, [&] {
    late = true;
    loop.Stop();
  });
  loop.Run();
  CHECK_FALSE(late);
}

TEST_CASE("datagrams arrive with their sender") {
  event_loop loop;
  counters counted;
  udp_socket receiver(loop, {kLoopback, 0}, counted, nullptr);
  udp_socket sender(loop, {kLoopback, 0}, counted, nullptr);
  int received = 0;
  receiver.Receive(
      [&](const received_datagram& datagram) {
        CHECK(datagram.from == sender.Local());
        CHECK(datagram.bytes == "datagram " + std::to_string(received));
        if (++received == 200) {
          loop.Stop();
        }
      },
      [] {});
  loop.Post([&] {
    for (int index = 0; index < 200; ++index) {
      sender.Send(receiver.Local(), "datagram " + std::to_string(index));
    }
    sender.Flush();
  });
  RunWithLimit(loop);
  CHECK(received == 200);
}

// A slow process that reads only when its loop gets to the socket takes
// responses that have arrived in time for missing.
TEST_CASE("datagrams that have arrived can be read before a timeout expires") {
  event_loop loop;
  counters counted;
  udp_socket receiver(loop, {kLoopback, 0}, counted, nullptr);
  udp_socket sender(loop, {kLoopback, 0}, counted, nullptr);
  int received = 0;
  int batches = 0;
  receiver.Receive([&](const received_datagram& /*datagram*/) { ++received; },
                   [&] { ++batches; });
  for (int index = 0; index < 200; ++index) {
    sender.Send(receiver.Local(), "datagram");
  }
  sender.Flush();
  receiver.ReadPending();
  CHECK(received == 200);
  CHECK(batches >= 200 / 64);
}

TEST_CASE("a datagram tells when it arrived, not when it was read") {
  event_loop loop;
  counters counted;
  udp_socket receiver(loop, {kLoopback, 0}, counted, nullptr);
  udp_socket sender(loop, {kLoopback, 0}, counted, nullptr);
  time_point sent;
  // The system may begin to take times only after some datagrams.
  const auto send_and_sleep = [&] {
    sender.Send(receiver.Local(), "datagram");
    sender.Flush();
    sent = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - sent < 20ms) {
    }
  };
  receiver.Receive(
      [&](const received_datagram& datagram) {
        if (datagram.arrived_at < sent + 10ms) {
          loop.Stop();
        } else {
          send_and_sleep();
        }
      },
      [] {});
  loop.Post(send_and_sleep);
  RunWithLimit(loop);
}

TEST_CASE("a probe tells a listener from an address without one") {
  event_loop loop;
  std::vector<listener_state> results;
  const auto keep = [&](listener_state state) {
    results.push_back(state);
    if (results.size() == 2) {
      loop.Stop();
    }
  };
  boost::asio::ip::tcp::acceptor listener(
      loop.Context(), {boost::asio::ip::address_v4(kLoopback), 0});
  boost::asio::ip::tcp::acceptor closed(
      loop.Context(), {boost::asio::ip::address_v4(kLoopback), 0});
  const std::uint16_t free_port = closed.local_endpoint().port();
  closed.close();
  ProbeListener(loop, {kLoopback, listener.local_endpoint().port()}, keep);
  ProbeListener(loop, {kLoopback, free_port}, keep);
  RunWithLimit(loop);
  REQUIRE(results.size() == 2);
  CHECK(std::count(results.begin(), results.end(), listener_state::present) ==
        1);
  CHECK(std::count(results.begin(), results.end(), listener_state::absent) ==
        1);
}

TEST_CASE("an address in use is told") {
  event_loop loop;
  counters counted;
  udp_socket first(loop, {kLoopback, 0}, counted, nullptr);
  CHECK_THROWS_AS(udp_socket(loop, first.Local(), counted, nullptr),
                  std::system_error);
}

TEST_CASE("impairments come in their shares and blocked peers hear nothing") {
  impairment impaired(7, {100, 200, 0});
  const endpoint to{kLoopback, 1};
  int lost = 0;
  int doubled = 0;
  for (int draw = 0; draw < 10000; ++draw) {
    const impairment_verdict verdict = impaired.Judge(to);
    lost += verdict == impairment_verdict::lose;
    doubled += verdict == impairment_verdict::duplicate;
  }
  CHECK(lost > 800);
  CHECK(lost < 1200);
  CHECK(doubled > 1700);
  CHECK(doubled < 2300);
  impaired.Block({to});
  CHECK(impaired.Judge(to) == impairment_verdict::lose);
  CHECK(impaired.IsBlocked(to));
}

/// A server on an address of its own, so that tests need no free port.
endpoint ServerAddress(std::uint8_t last) {
  return {0x7f000400U + last, 8000};
}

TEST_CASE("HTTP: answered, refused connection, lost answer, cancelled") {
  event_loop loop;
  std::vector<std::shared_ptr<http_responder>> held;
  http_server server(
      loop, ServerAddress(1), [&](const http_request& request, auto responder) {
        if (request.path == "/echo") {
          http_response response;
          response.body = request.method + request.body +
                          request.query.at("q") + request.headers.at("x-name");
          response.headers["x-back"] = "1";
          responder->Respond(response);
        } else if (request.path == "/lose") {
          responder->Abort();
        } else {
          held.push_back(responder);
        }
      });
  http_client client(loop, ServerAddress(1));
  http_client nobody(loop, ServerAddress(2));
  std::map<std::string, client_result> results;
  const auto keep = [&](const std::string& name) {
    return [&, name](client_result result) {
      results[name] = std::move(result);
      if (results.size() == 5) {
        loop.Stop();
      }
    };
  };
  client_request request;
  request.method = "POST";
  request.target = "/echo?q=query";
  request.headers["x-name"] = "header";
  request.body = "body";
  loop.Post([&] {
    client.Send(request, keep("echo"));
    nobody.Send(request, keep("nobody"));
    client_request lost = request;
    lost.target = "/lose?q=1";
    client.Send(lost, keep("lost"));
    client_request late = request;
    late.target = "/hold?q=1";
    late.timeout = 500ms;
    client.Send(late, keep("late"));
    client_request cancelled = request;
    cancelled.target = "/hold?q=2";
    const std::uint64_t id = client.Send(cancelled, keep("cancelled"));
    loop.After(500ms, [&, id] { client.Cancel(id); });
  });
  RunWithLimit(loop);
  CHECK(results["echo"].status == client_status::completed);
  CHECK(results["echo"].code == 200);
  CHECK(results["echo"].body == "POSTbodyqueryheader");
  CHECK(results["echo"].headers["x-back"] == "1");
  CHECK(results["nobody"].status == client_status::unreachable);
  CHECK(results["lost"].status == client_status::lost);
  CHECK(results["late"].status == client_status::lost);
  CHECK(results["cancelled"].status == client_status::lost);
}

/// @return the result of a request to a server with the given pace.
client_result RequestAtPace(std::uint8_t last,
                            const response_pace& pace,
                            const client_request& request) {
  event_loop loop;
  const paced_server server(loop, ServerAddress(last), std::string(100000, 'x'),
                            pace);
  http_client client(loop, ServerAddress(last));
  client_result received;
  client.Send(request, [&](client_result result) {
    received = std::move(result);
    loop.Stop();
  });
  RunWithLimit(loop);
  return received;
}

// Guards against large responses that never arrive over a slow link, since each
// attempt is aborted although bytes keep arriving.
TEST_CASE("a response that keeps arriving outlasts the timeout") {
  client_request request;
  request.timeout = 500ms;
  request.transfer_limit = 8000ms;
  const client_result result =
      RequestAtPace(11, {.part_bytes = 5000, .period = 50ms}, request);
  REQUIRE(result.status == client_status::completed);
  CHECK(result.body.size() == 100000);
}

TEST_CASE("a response that stalls or exceeds the transfer limit is lost") {
  client_request request;
  request.timeout = 300ms;
  request.transfer_limit = 8000ms;
  response_pace stalls{.part_bytes = 5000, .period = 10ms};
  stalls.stalls_after = 50000;
  CHECK(RequestAtPace(12, stalls, request).status == client_status::lost);
  request.transfer_limit = 600ms;
  const response_pace slow{.part_bytes = 5000, .period = 100ms};
  CHECK(RequestAtPace(13, slow, request).status == client_status::lost);
}

// Guards against a refusal that takes the time of the whole transfer, or is
// taken for a lost connection.
TEST_CASE("a response that exceeds the accepted size is told at once") {
  // Nothing arrives after the announced size and a part of the body.
  const response_pace stalls{
      .part_bytes = 200, .period = 1ms, .stalls_after = 200};
  client_request request;
  request.timeout = 500ms;
  request.max_body_bytes = 99999;
  const client_result refused = RequestAtPace(15, stalls, request);
  CHECK(refused.status == client_status::lost);
  CHECK(refused.too_large);
  request.max_body_bytes = 100000;
  const client_result accepted = RequestAtPace(16, stalls, request);
  CHECK(accepted.status == client_status::lost);
  CHECK_FALSE(accepted.too_large);
}

// Guards against a limit for the exchange that parts of the response extend.
TEST_CASE("without a transfer limit the timeout covers the whole response") {
  client_request request;
  request.timeout = 500ms;
  CHECK(
      RequestAtPace(14, {.part_bytes = 5000, .period = 50ms}, request).status ==
      client_status::lost);
}

// Guards against a client and its requests that keep each other in memory: a
// loop that stops while a request is under way never completes it.
TEST_CASE("a request under way ends with its client and loop") {
  const auto token = std::make_shared<int>(0);
  const std::weak_ptr<int> kept = token;
  {
    event_loop loop;
    const http_server server(loop, ServerAddress(17),
                             [&](const http_request&, const auto& responder) {
                               loop.Stop();
                               responder->Abort();
                             });
    http_client client(loop, ServerAddress(17));
    client.Send({}, [token](const client_result&) {});
    RunWithLimit(loop);
  }
  CHECK(kept.use_count() == token.use_count());
  CHECK(token.use_count() == 1);
}

TEST_CASE("a kept connection that the server closed is not used") {
  event_loop loop;
  auto server = std::make_unique<http_server>(
      loop, ServerAddress(3),
      [&](const http_request&, auto responder) { responder->Respond({}); });
  http_client client(loop, ServerAddress(3));
  client_status second = client_status::lost;
  loop.Post([&] {
    client.Send({}, [&](const client_result& first) {
      CHECK(first.status == client_status::completed);
      server.reset();
      client.Send({}, [&](const client_result& result) {
        second = result.status;
        loop.Stop();
      });
    });
  });
  RunWithLimit(loop);
  // The kept connection may still be served; a new one finds no listener.
  CHECK(second != client_status::lost);
}

TEST_CASE("a reply after the server's end does nothing") {
  control_reply late;
  std::promise<void> asked;
  auto server = std::make_unique<control_server>(
      ServerAddress(6), [&](const std::string&, control_reply reply) {
        late = std::move(reply);
        asked.set_value();
      });
  control_client client(nullptr);
  std::promise<bool> replied;
  client.Request(ServerAddress(6), "request", 5s, [&](const auto& reply) {
    replied.set_value(reply.has_value());
  });
  asked.get_future().wait();
  server.reset();
  late("too late");
  client.Close();
  CHECK_FALSE(replied.get_future().get());
  // A closed client answers at once.
  bool answered = false;
  client.Request(ServerAddress(6), "request", 5s,
                 [&](const auto& reply) { answered = reply.has_value(); });
  CHECK_FALSE(answered);
}

TEST_CASE("more peers than connections are kept, and an end under way") {
  control_server server(ServerAddress(7),
                        [](std::string, control_reply) { /* No answer. */ });
  control_client client(nullptr);
  std::atomic<int> ended = 0;
  constexpr int kPeers = 150;
  for (int peer = 0; peer < kPeers; ++peer) {
    const endpoint to =
        peer % 2 == 0 ? ServerAddress(7) : endpoint{0x7f000600U + peer, 6001};
    client.Request(to, "request", 10s, [&](const auto&) { ++ended; });
  }
  client.Close();
  CHECK(ended == kPeers);
}

TEST_CASE("control requests are answered, and time out without an answer") {
  control_server server(ServerAddress(4),
                        [](std::string request, control_reply reply) {
                          if (request != "ignore") {
                            reply(std::string("re: ").append(request));
                          }
                        });
  impairment impaired(1, {});
  control_client client(&impaired);
  const auto ask = [&](const endpoint& to, const std::string& text) {
    auto promise = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = promise->get_future();
    client.Request(to, text, 300ms,
                   [promise](auto reply) { promise->set_value(reply); });
    return future.get().value_or("(none)");
  };
  CHECK(ask(ServerAddress(4), "one") == "re: one");
  const std::string large(500000, 'l');
  CHECK(ask(ServerAddress(4), large) == "re: " + large);
  CHECK(ask(ServerAddress(4), "ignore") == "(none)");
  CHECK(ask(ServerAddress(5), "nobody") == "(none)");
  impaired.Block({ServerAddress(4)});
  CHECK(ask(ServerAddress(4), "blocked") == "(none)");
}

}  // namespace
}  // namespace corianderplank
