#include "net/http_server.h"

#include <algorithm>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/lower_case.h"

namespace corianderplank {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

}  // namespace

void ParseTarget(const std::string& target, http_request& request) {
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark == std::string::npos) {
    return;
  }
  std::size_t start = mark + 1;
  while (start < target.size()) {
    const std::size_t end = std::min(target.find('&', start), target.size());
    const std::string pair = target.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request.query[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    start = end + 1;
  }
}

struct http_server::state : std::enable_shared_from_this<state> {
  struct connection : std::enable_shared_from_this<connection> {
    connection(tcp::socket socket, std::shared_ptr<state> owner)
        : stream(std::move(socket)), owner(std::move(owner)) {
      ++this->owner->connections;
    }
    ~connection() { --owner->connections; }

    void Read() {
      parser.emplace();
      parser->body_limit(kMaxBodyBytes);
      http::async_read(
          stream, buffer, *parser,
          [self = shared_from_this()](auto error, std::size_t /*bytes*/) {
            if (error) {
              self->Close();
              return;
            }
            self->Handle();
          });
    }

    void Handle();

    void Write(http_response response) {
      if (closed || responded) {
        return;
      }
      responded = true;
      message = {};
      message.result(static_cast<unsigned>(response.status));
      message.version(11);
      message.keep_alive(true);
      message.set(http::field::content_type, response.content_type);
      for (const auto& [name, value] : response.headers) {
        message.set(name, value);
      }
      message.body() = std::move(response.body);
      message.prepare_payload();
      http::async_write(
          stream, message,
          [self = shared_from_this()](auto error, std::size_t /*bytes*/) {
            if (error) {
              self->Close();
              return;
            }
            self->Read();
          });
    }

    // Sees the client's close while a response is being worked out.
    void WatchForClose() {
      stream.socket().async_wait(
          tcp::socket::wait_read, [self = shared_from_this()](auto error) {
            if (error || self->responded || self->closed) {
              return;
            }
            char byte = 0;
            boost::system::error_code peeked;
            self->stream.socket().receive(asio::buffer(&byte, 1),
                                          tcp::socket::message_peek, peeked);
            if (peeked && peeked != asio::error::would_block) {
              self->Close();
            }
          });
    }

    void Close() {
      closed = true;
      boost::system::error_code ignored;
      stream.socket().close(ignored);
    }

    beast::tcp_stream stream;
    std::shared_ptr<state> owner;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> message;
    bool closed = false;
    bool responded = false;
  };

  struct responder : http_responder {
    explicit responder(std::shared_ptr<connection> held)
        : held(std::move(held)) {}
    void Respond(http_response response) override {
      held->Write(std::move(response));
    }
    void Abort() override { held->Close(); }
    bool IsClosed() const override { return held->closed; }
    std::shared_ptr<connection> held;
  };

  state(event_loop& loop, const endpoint& local, http_handler handler)
      : acceptor(loop.Context(),
                 {asio::ip::address_v4(local.address), local.port}),
        handler(std::move(handler)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](auto error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            socket.non_blocking(true, ignored);
            std::make_shared<connection>(std::move(socket), self)->Read();
          }
          self->Accept();
        });
  }

  tcp::acceptor acceptor;
  http_handler handler;
  std::size_t connections = 0;
};

void http_server::state::connection::Handle() {
  responded = false;
  const auto& raw = parser->get();
  http_request request;
  request.method = std::string(raw.method_string());
  ParseTarget(std::string(raw.target()), request);
  for (const auto& field : raw) {
    request.headers[LowerCase(field.name_string())] =
        std::string(field.value());
  }
  request.body = raw.body();
  WatchForClose();
  owner->handler(request, std::make_shared<responder>(shared_from_this()));
}

http_server::http_server(event_loop& loop,
                         const endpoint& local,
                         http_handler handler) {
  try {
    state_ = std::make_shared<state>(loop, local, std::move(handler));
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + FormatEndpoint(local) +
                             ": " + error.code().message());
  }
  state_->Accept();
}

http_server::~http_server() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

std::size_t http_server::Connections() const {
  return state_->connections;
}

}  // namespace corianderplank
