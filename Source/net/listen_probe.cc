#include "net/listen_probe.h"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace corianderplank {

void ProbeListener(event_loop& loop,
                   const endpoint& address,
                   probe_callback on_result) {
  using boost::asio::ip::tcp;
  auto socket = std::make_shared<tcp::socket>(loop.Context());
  socket->async_connect(
      tcp::endpoint(boost::asio::ip::address_v4(address.address), address.port),
      [socket, on_result = std::move(on_result)](
          const boost::system::error_code& error) {
        if (!error) {
          on_result(listener_state::present);
        } else if (error == boost::asio::error::connection_refused) {
          on_result(listener_state::absent);
        } else {
          on_result(listener_state::unknown);
        }
      });
}

}  // namespace corianderplank
