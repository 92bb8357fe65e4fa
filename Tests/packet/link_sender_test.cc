/// @file
/// Tests of the tallies of a link as operators see them.

#include <doctest/doctest.h>

#include "packet/link_sender.h"

namespace corianderplank {
namespace {

TEST_CASE("tallies of a link name the route and what became of its bytes") {
  std::map<endpoint, link_tally> tallies;
  tallies[{}].sent_bytes = 500;
  link_tally& uploads = tallies[ParseEndpoint("198.18.0.2:8443")];
  uploads.sent_bytes = 7000;
  uploads.queued_bytes = 1300;
  uploads.refused_flows = 3;
  CHECK(LinkTallyJson(tallies) ==
        "{\"none\":{\"sent\":500},\"198.18.0.2:8443\":{\"sent\":7000,"
        "\"queued\":1300,\"refused_flows\":3}}");
  const std::string text = LinkMetricsText(tallies);
  for (const char* line :
       {"corianderplank_link_bytes{route=\"none\",state=\"sent\"} 500\n",
        "{route=\"198.18.0.2:8443\",state=\"queued\"} 1300\n",
        "link_refused_flows{route=\"198.18.0.2:8443\"} 3\n"}) {
    CHECK(text.find(line) != std::string::npos);
  }
}

}  // namespace
}  // namespace corianderplank
