#include "command/fleet_reader.h"

#include <memory>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace corianderplank {

std::vector<fleet_page> ReadFleet(const std::vector<endpoint>& addresses,
                                  const std::string& target,
                                  std::chrono::milliseconds timeout) {
  event_loop loop;
  std::vector<fleet_page> pages;
  std::vector<std::unique_ptr<http_client>> clients;
  std::size_t awaited = addresses.size();
  for (const endpoint& address : addresses) {
    pages.push_back({address, std::nullopt});
    clients.push_back(std::make_unique<http_client>(loop, address));
  }
  client_request request;
  request.target = target;
  request.timeout = timeout;
  for (std::size_t index = 0; index < clients.size(); ++index) {
    clients[index]->Send(request, [&, index](client_result result) {
      if (result.status == client_status::completed && result.code == 200) {
        pages[index].body = std::move(result.body);
      }
      if (--awaited == 0) {
        loop.Stop();
      }
    });
  }
  if (awaited > 0) {
    loop.Run();
  }
  return pages;
}

}  // namespace corianderplank
