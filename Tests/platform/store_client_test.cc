/// @file
/// Tests of store_client: all revisions of an answer belong to the epoch that
/// the store names in it.

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "net/sleep_clock.h"
#include "paced_server.h"
#include "platform/store_client.h"

namespace corianderplank::platform {
namespace {

using namespace std::chrono_literals;

const endpoint kStore = ParseEndpoint("127.0.0.1:28741");

/// Answer of the store stand-in to a request.
struct answer {
  std::string epoch;
  std::string body;
  int status = 200;
};

/// @param answers answers to successive requests.
/// @param after revision from which changes are read; 0 reads everything.
/// @return the result of one read.
fleet_read_result Read(std::vector<answer> answers,
                       const source_revision& after) {
  event_loop loop;
  std::size_t next = 0;
  const http_server server(
      loop, kStore, [&](const http_request& /*request*/, auto responder) {
        const answer& item = answers.at(next++);
        http_response response;
        response.status = item.status;
        response.body = item.body;
        if (!item.epoch.empty()) {
          response.headers["Store-Era"] = item.epoch;
        }
        responder->Respond(std::move(response));
      });
  store_client client(loop, kStore, ClockWithSleep);
  fleet_read_result received;
  const auto on_read = [&](const fleet_read_result& result) {
    received = result;
    loop.Stop();
  };
  if (after == source_revision()) {
    client.ReadAll(on_read);
  } else {
    client.ReadChanges(after, on_read);
  }
  loop.Run();
  return received;
}

const char* const kChanges =
    R"({"events":[{"Key":"servers/x","Revision":13,"Tombstone":true}],)"
    R"("AtRev":15})";

TEST_CASE("an answer's epoch applies to its revisions") {
  const fleet_read_result result = Read({{"2", kChanges}}, {12, 2});
  REQUIRE(result.status == read_status::complete);
  CHECK(result.revision == source_revision(15, 2));
  REQUIRE(result.targets.size() == 1);
  CHECK(result.targets[0].revision == source_revision(13, 2));
}

TEST_CASE("an answer without an epoch belongs to epoch 0") {
  const fleet_read_result result = Read({{"", kChanges}}, {12, 0});
  REQUIRE(result.status == read_status::complete);
  CHECK(result.revision == source_revision(15, 0));
}

TEST_CASE("an answer with a malformed epoch is refused") {
  for (const char* epoch : {"x", "2x", "-1", "99999999999999999999"}) {
    CHECK(Read({{epoch, kChanges}}, {12, 2}).status == read_status::refused);
  }
}

/// @return the result of reading changes whose answer comes at a pace.
fleet_read_result ReadAtPace(const std::string& body,
                             const response_pace& pace) {
  event_loop loop;
  const paced_server server(loop, kStore, body, pace);
  store_client client(loop, kStore, ClockWithSleep);
  fleet_read_result received;
  client.ReadChanges(12, [&](const fleet_read_result& result) {
    received = result;
    loop.Stop();
  });
  loop.Run();
  return received;
}

// Guards against a configuration that is never in force on entries with slow
// links, since each read is aborted before its text has arrived.
TEST_CASE("an answer that crosses a slow link for seconds is read") {
  const std::string body = R"({"events":[{"Key":"other","Value":")" +
                           std::string(400000, 'A') +
                           R"(","Revision":13}],"AtRev":15})";
  const response_pace slow{.part_bytes = 10000, .period = 50ms};
  CHECK(ReadAtPace(body, slow).status == read_status::complete);
  response_pace stalls = slow;
  stalls.stalls_after = 200000;
  CHECK(ReadAtPace(body, stalls).status == read_status::unreachable);
}

// Guards against a read that is repeated although it can never be accepted.
TEST_CASE("changes larger than any list are told apart from a lost answer") {
  const std::string body = R"({"events":[{"Key":"other","Value":")" +
                           std::string(3 * 1024 * 1024, 'A') +
                           R"(","Revision":13}],"AtRev":15})";
  CHECK(ReadAtPace(body, {.part_bytes = 10000, .period = 50ms}).status ==
        read_status::too_large);
}

// Guards against a list that mixes the content from before and after a
// restoration.
TEST_CASE("pages of two epochs make no list") {
  const std::string first =
      R"({"items":[{"Key":"a","Revision":1}],"Truncated":true,"AtRev":15})";
  const std::string last = R"({"items":[],"Truncated":false,"AtRev":15})";
  CHECK(Read({{"2", first}, {"3", last}}, {}).status ==
        read_status::history_lost);
  CHECK(Read({{"2", first}, {"2", last}}, {}).status == read_status::complete);
}

// Guards against evacuations that count as ended since they are on another page
// than the last one.
TEST_CASE("the evacuations of all pages make a list") {
  const auto page = [](const std::string& zone, bool truncated) {
    return R"({"items":[{"Key":"op/evacuate/)" + zone +
           R"(","Value":"e30=","Revision":9}],"Truncated":)" +
           (truncated ? "true" : "false") + R"(,"AtRev":15})";
  };
  const fleet_read_result read =
      Read({{"", page("a", true)}, {"", page("b", false)}}, {});
  REQUIRE(read.evacuations.size() == 2);
  CHECK(read.evacuations[0].failure_domain == HashName("a"));
  CHECK(read.evacuations[1].failure_domain == HashName("b"));
}

/// @return a page with one item without a value.
std::string PageWithKey(const std::string& key, bool truncated) {
  return R"({"items":[{"Key":")" + key + R"(","Revision":1}],"Truncated":)" +
         (truncated ? "true" : "false") + R"(,"AtRev":15})";
}

/// @return the queries with which a list is read whose first page ends with the
/// key.
std::vector<std::string> AfterKeys(const std::string& key) {
  event_loop loop;
  std::vector<std::string> after;
  const http_server server(
      loop, kStore, [&](const http_request& request, auto responder) {
        http_response response;
        response.body = PageWithKey(after.empty() ? key : "z", after.empty());
        const auto found = request.query.find("after");
        after.push_back(found == request.query.end() ? "" : found->second);
        responder->Respond(std::move(response));
      });
  store_client client(loop, kStore, ClockWithSleep);
  client.ReadAll([&](const fleet_read_result& result) {
    CHECK(result.status == read_status::complete);
    loop.Stop();
  });
  loop.Run();
  return after;
}

// Guards against a list that a started entry cannot read to its end, or reads
// forever, since another writer's key at the end of a page breaks the query.
TEST_CASE("the key that a page ends with is encoded in the next query") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"servers/i-7f3a91c2", "servers/i-7f3a91c2"},
      {"servers/a&b", "servers/a%26b"},
      {"servers/a&after=b", "servers/a%26after%3Db"},
      {"servers/100% +#?", "servers/100%25%20%2B%23%3F"},
      {"a b\\r\\nHost: x", "a%20b%0D%0AHost:%20x"},
      {"\xc3\xa9\xff", "%C3%A9%FF"}};
  for (const auto& item : cases) {
    CAPTURE(item.first);
    CHECK(AfterKeys(item.first) == std::vector<std::string>{"", item.second});
  }
}

// Guards against targets that count as removed since the rest of the list was
// not read, and against reading one page again and again.
TEST_CASE("a list that cannot be continued is refused") {
  const std::string keyless =
      R"({"items":[{"Key":5}],"Truncated":true,"AtRev":15})";
  CHECK(Read({{"", keyless}}, {}).status == read_status::refused);
  const std::string again = PageWithKey("servers/a", true);
  CHECK(Read({{"", again}, {"", again}}, {}).status == read_status::refused);
}

}  // namespace
}  // namespace corianderplank::platform
