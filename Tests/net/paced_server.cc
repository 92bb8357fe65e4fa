#include "paced_server.h"

#include <algorithm>
#include <array>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace corianderplank {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct connection : std::enable_shared_from_this<connection> {
  connection(tcp::socket accepted,
             const std::string& body,
             const response_pace& pace)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        pace(pace),
        response("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body) {}

  void Begin() {
    socket.async_read_some(asio::buffer(request),
                           [self = shared_from_this()](auto error, auto) {
                             if (!error) {
                               self->SendPart();
                             }
                           });
  }

  void SendPart() {
    const std::size_t end =
        pace.stalls_after == 0 ? response.size() : pace.stalls_after;
    const std::size_t size = std::min(pace.part_bytes, end - sent);
    if (size == 0) {
      return;
    }
    asio::async_write(socket, asio::buffer(response.data() + sent, size),
                      [self = shared_from_this(), size](auto error, auto) {
                        if (error) {
                          return;
                        }
                        self->sent += size;
                        self->timer.expires_after(self->pace.period);
                        self->timer.async_wait([self](auto cancelled) {
                          if (!cancelled) {
                            self->SendPart();
                          }
                        });
                      });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  response_pace pace;
  std::string response;
  std::size_t sent = 0;
  std::array<char, 4096> request{};
};

}  // namespace

struct paced_server::state : std::enable_shared_from_this<state> {
  state(event_loop& loop,
        const endpoint& local,
        std::string body,
        const response_pace& pace)
      : acceptor(
            loop.Context(),
            tcp::endpoint(asio::ip::address_v4(local.address), local.port)),
        body(std::move(body)),
        pace(pace) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](auto error, tcp::socket accepted) {
          if (!error) {
            std::make_shared<connection>(std::move(accepted), self->body,
                                         self->pace)
                ->Begin();
            self->Accept();
          }
        });
  }

  tcp::acceptor acceptor;
  std::string body;
  response_pace pace;
};

paced_server::paced_server(event_loop& loop,
                           const endpoint& local,
                           const std::string& body,
                           const response_pace& pace)
    : state_(std::make_shared<state>(loop, local, body, pace)) {
  state_->Accept();
}

paced_server::~paced_server() {
  state_->acceptor.close();
}

}  // namespace corianderplank
