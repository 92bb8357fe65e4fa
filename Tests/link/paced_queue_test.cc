/// @file
/// Tests of the queue in front of a narrow link.

#include <doctest/doctest.h>

#include <vector>

#include "link/paced_queue.h"

namespace corianderplank {
namespace {

using namespace std::chrono_literals;

const time_point kStart = time_point() + 1h;
const endpoint kAgent{300, 7000};
const endpoint kUploads{200, 443};
constexpr std::uint64_t kNarrow = 1250000;

/// Packets of flows on a link of 10 Mbit/s, each 1,300 bytes with its envelope.
struct fixture {
  pacing_verdict Offer(time_point now,
                       std::uint16_t port,
                       int number,
                       packet_rank rank) {
    std::string bytes(1300, 'x');
    bytes.replace(0, 8, std::to_string(10000000 + port * 1000 + number));
    const pacing_verdict verdict =
        queue.Offer(now, {kAgent, {{100, port}, kUploads}, rank, bytes, bytes});
    if (verdict == pacing_verdict::send) {
      sent.push_back(port * 1000 + number);
    }
    return verdict;
  }

  void SendDue(time_point now) {
    queue.SendDue(now, [this](const endpoint&, std::string_view bytes) {
      sent.push_back(std::stoi(std::string(bytes.substr(0, 8))) - 10000000);
    });
  }

  paced_queue queue{kNarrow};
  std::vector<int> sent;
};

const packet_rank kBulk{.bulk = true, .priority = 2, .due_at = kStart + 800ms};

// Load: eight uploads with full windows, 166 KB, meet a link of 10 Mbit/s;
// views come in between. In the order of arrival a view would wait up to 133
// ms, most of the 200 ms that its caller has.
TEST_CASE("no interactive packet waits for bulk, which never fills the link") {
  fixture test;
  for (std::uint16_t port = 1; port <= 8; ++port) {
    for (int number = 0; number < 16; ++number) {
      CHECK(test.Offer(kStart, port, number, kBulk) != pacing_verdict::dropped);
    }
  }
  // What the link itself holds at present.
  double link_bytes = 1328.0 * static_cast<double>(test.sent.size());
  std::size_t counted = test.sent.size();
  for (auto elapsed = 1ms; elapsed <= 200ms; ++elapsed) {
    test.SendDue(kStart + elapsed);
    if (elapsed.count() % 10 == 0) {
      REQUIRE(test.Offer(kStart + elapsed, 100, int(elapsed.count()), {}) ==
              pacing_verdict::send);
    }
    link_bytes += 1328.0 * static_cast<double>(test.sent.size() - counted);
    counted = test.sent.size();
    // A twentieth of what a view may take.
    CHECK(link_bytes / kNarrow < 0.010);
    link_bytes = std::max(0.0, link_bytes - kNarrow / 1000.0);
  }
  CHECK(test.sent.size() == 8 * 16 + 20);
  CHECK_FALSE(test.queue.NextAt());
}

// Load: an upload that is nearly late competes with one that has time, and with
// one of a more important route.
TEST_CASE("bulk leaves by priority, then by the time that is left") {
  fixture test;
  for (int number = 0; number < 8; ++number) {
    test.Offer(kStart, 1, number, kBulk);
  }
  const std::size_t at_once = test.sent.size();
  test.Offer(kStart, 2, 0,
             {.bulk = true, .priority = 2, .due_at = kStart + 100ms});
  test.Offer(kStart, 3, 0,
             {.bulk = true, .priority = 1, .due_at = kStart + 900ms});
  REQUIRE(test.queue.NextAt().has_value());
  CHECK(*test.queue.NextAt() > kStart);
  for (auto elapsed = 1ms; elapsed <= 30ms; ++elapsed) {
    test.SendDue(kStart + elapsed);
  }
  REQUIRE(test.sent.size() == 10);
  CHECK(test.sent[at_once] == 3000);
  CHECK(test.sent[at_once + 1] == 2000);
  CHECK(test.sent[at_once + 2] == 1000 + static_cast<int>(at_once));
}

// Load: clients repeat each packet that has waited for 200 ms.
TEST_CASE("a copy of a packet that waits is not sent twice") {
  fixture test;
  for (int number = 0; number < 16; ++number) {
    test.Offer(kStart, 1, number, kBulk);
  }
  CHECK(test.Offer(kStart + 1ms, 1, 15, kBulk) == pacing_verdict::repeated);
  CHECK(test.queue.Tallies().at(kUploads).repeated_bytes == 1300);
}

// Load: more bulk than the queue may hold, as when many flows move to this
// entry at once. The least urgent one goes, which its client repeats.
TEST_CASE("a full queue drops the least urgent packet and counts it") {
  fixture test;
  const packet_rank late{
      .bulk = true, .priority = 2, .due_at = kStart + 5000ms};
  for (int number = 0; number < 16; ++number) {
    test.Offer(kStart, 1, number, late);
  }
  int offered = 0;
  while (test.Offer(kStart, 2, offered % 1000, kBulk) !=
         pacing_verdict::dropped) {
    REQUIRE(++offered < 1000);
  }
  const link_tally& tally = test.queue.Tallies().at(kUploads);
  CHECK(tally.dropped_bytes == 1300);
  // 0.6 s of 90 % of the link.
  CHECK(tally.queued_bytes <= 675000);
  for (auto elapsed = 1ms; elapsed <= 1000ms; ++elapsed) {
    test.SendDue(kStart + elapsed);
  }
  CHECK(test.sent.back() == 1014);
  CHECK(tally.queued_bytes == 0);
}

}  // namespace
}  // namespace corianderplank
