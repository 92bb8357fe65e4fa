#include "net/http_client.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/lower_case.h"

namespace corianderplank {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::chrono::milliseconds kConnectTimeout{1000};

/// @return whether the server has neither closed nor spoken out of turn.
bool IsQuiet(tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

struct http_client::state : std::enable_shared_from_this<state> {
  struct exchange : std::enable_shared_from_this<exchange> {
    exchange(std::shared_ptr<state> owner,
             std::uint64_t id,
             const client_request& request,
             client_callback callback)
        : owner(std::move(owner)),
          id(id),
          timeout(request.timeout),
          transfer_limit(request.transfer_limit),
          callback(std::move(callback)) {
      const auto verb = http::string_to_verb(request.method);
      message.method(verb);
      message.target(request.target);
      message.version(11);
      message.keep_alive(true);
      message.set(http::field::host, FormatEndpoint(this->owner->server));
      for (const auto& [name, value] : request.headers) {
        message.set(name, value);
      }
      message.body() = request.body;
      message.prepare_payload();
      parser.body_limit(request.max_body_bytes);
    }

    void Begin() {
      while (!owner->idle.empty()) {
        stream = std::move(owner->idle.back());
        owner->idle.pop_back();
        if (IsQuiet(stream->socket())) {
          Write();
          return;
        }
      }
      stream = std::make_unique<beast::tcp_stream>(owner->context);
      stream->expires_after(std::min(timeout, kConnectTimeout));
      stream->async_connect(
          tcp::endpoint(asio::ip::address_v4(owner->server.address),
                        owner->server.port),
          [self = shared_from_this()](auto error) {
            if (error) {
              self->Finish(client_status::unreachable);
              return;
            }
            boost::system::error_code ignored;
            self->stream->socket().set_option(tcp::no_delay(true), ignored);
            self->Write();
          });
    }

    void Write() {
      if (cancelled) {
        Finish(client_status::unreachable);
        return;
      }
      stream->expires_after(timeout);
      http::async_write(
          *stream, message,
          [self = shared_from_this()](auto error, std::size_t /*bytes*/) {
            if (error) {
              self->Finish(client_status::lost);
              return;
            }
            self->Read();
          });
    }

    void Read() {
      http::async_read_some(
          *stream, buffer, parser,
          [self = shared_from_this()](auto error, std::size_t /*bytes*/) {
            if (error) {
              self->too_large = error == http::error::body_limit;
              self->Finish(client_status::lost);
            } else if (self->parser.is_done()) {
              self->Finish(client_status::completed);
            } else {
              self->ExtendDeadline();
              self->Read();
            }
          });
    }

    // Called for each part of the response that arrives.
    void ExtendDeadline() {
      if (transfer_limit == std::chrono::milliseconds(0)) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (!transfer_ends_at) {
        transfer_ends_at = now + transfer_limit;
      }
      stream->expires_at(std::min(now + timeout, *transfer_ends_at));
    }

    void Finish(client_status status) {
      client_result result;
      result.status = status;
      result.too_large = too_large;
      if (status == client_status::completed) {
        const auto& response = parser.get();
        result.code = static_cast<int>(response.result_int());
        for (const auto& field : response) {
          result.headers[LowerCase(field.name_string())] =
              std::string(field.value());
        }
        const bool reusable = response.keep_alive() && buffer.size() == 0 &&
                              owner->idle.size() < kMaxIdleConnections;
        result.body = std::move(parser.get().body());
        if (reusable) {
          stream->expires_never();
          owner->idle.push_back(std::move(stream));
        }
      }
      owner->active.erase(id);
      callback(std::move(result));
    }

    std::shared_ptr<state> owner;
    std::uint64_t id;
    std::chrono::milliseconds timeout;
    std::chrono::milliseconds transfer_limit;
    std::optional<std::chrono::steady_clock::time_point> transfer_ends_at;
    client_callback callback;
    std::unique_ptr<beast::tcp_stream> stream;
    http::request<http::string_body> message;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    bool cancelled = false;
    bool too_large = false;
  };

  state(event_loop& loop, const endpoint& server)
      : context(loop.Context()), server(server) {}

  asio::io_context& context;
  endpoint server;
  std::uint64_t next_id = 1;
  std::vector<std::unique_ptr<beast::tcp_stream>> idle;
  std::map<std::uint64_t, std::shared_ptr<exchange>> active;
};

http_client::http_client(event_loop& loop, const endpoint& server)
    : state_(std::make_shared<state>(loop, server)) {}

http_client::~http_client() {
  // A request and the state refer to each other. The handlers of the loop keep
  // the requests that are under way, until the loop itself ends.
  state_->active.clear();
}

std::uint64_t http_client::Send(const client_request& request,
                                client_callback callback) {
  const std::uint64_t id = state_->next_id++;
  auto added = std::make_shared<state::exchange>(state_, id, request,
                                                 std::move(callback));
  state_->active[id] = added;
  asio::post(state_->context, [added] { added->Begin(); });
  return id;
}

void http_client::Cancel(std::uint64_t id) {
  const auto found = state_->active.find(id);
  if (found == state_->active.end()) {
    return;
  }
  found->second->cancelled = true;
  if (found->second->stream != nullptr) {
    found->second->stream->cancel();
  }
}

}  // namespace corianderplank
