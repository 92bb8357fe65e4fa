#include "net/control_port.h"

#include <map>
#include <mutex>
#include <stdexcept>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

namespace corianderplank {
namespace {

/// Requests that a server works on at a time.
constexpr int kServerContexts = 16;
constexpr std::size_t kMaxMessageBytes = 2 * 1024 * 1024;
/// Peers to which a connection is kept; the least used one makes room.
constexpr std::size_t kMaxPeers = 64;

std::string Url(const endpoint& value) {
  return "tcp://" + FormatEndpoint(value);
}

nng_msg* MessageOf(const std::string& bytes) {
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) == 0) {
    nng_msg_append(message, bytes.data(), bytes.size());
  }
  return message;
}

std::string BytesOf(nng_msg* message) {
  return {static_cast<const char*>(nng_msg_body(message)),
          nng_msg_len(message)};
}

}  // namespace

struct control_server::state : std::enable_shared_from_this<state> {
  struct worker {
    state* owner = nullptr;
    nng_ctx context{};
    nng_aio* aio = nullptr;
    bool replying = false;
  };

  nng_socket socket{};
  control_handler handler;
  std::vector<std::unique_ptr<worker>> workers;
  /// Guards against replies that come while the server is destroyed.
  std::mutex mutex;
  bool closed = false;

  void Reply(worker& self, const std::string& reply) {
    const std::lock_guard lock(mutex);
    if (closed) {
      return;
    }
    self.replying = true;
    nng_aio_set_msg(self.aio, MessageOf(reply));
    nng_ctx_send(self.context, self.aio);
  }

  static void OnEvent(void* argument) {
    auto* self = static_cast<worker*>(argument);
    if (nng_aio_result(self->aio) != 0) {
      if (nng_aio_result(self->aio) == NNG_ECLOSED ||
          nng_aio_result(self->aio) == NNG_ECANCELED) {
        return;
      }
      self->replying = false;
      nng_ctx_recv(self->context, self->aio);
      return;
    }
    if (self->replying) {
      self->replying = false;
      nng_ctx_recv(self->context, self->aio);
      return;
    }
    nng_msg* message = nng_aio_get_msg(self->aio);
    std::string request = BytesOf(message);
    nng_msg_free(message);
    self->owner->handler(
        std::move(request),
        [self, weak = self->owner->weak_from_this()](const std::string& reply) {
          if (const std::shared_ptr<state> owner = weak.lock()) {
            owner->Reply(*self, reply);
          }
        });
  }
};

control_server::control_server(const endpoint& local, control_handler handler)
    : state_(std::make_shared<state>()) {
  state_->handler = std::move(handler);
  nng_rep0_open(&state_->socket);
  nng_socket_set_size(state_->socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  const int result = nng_listen(state_->socket, Url(local).c_str(), nullptr, 0);
  if (result != 0) {
    nng_close(state_->socket);
    throw std::runtime_error("cannot listen on control port " +
                             FormatEndpoint(local) + ": " +
                             nng_strerror(result));
  }
  for (int index = 0; index < kServerContexts; ++index) {
    auto worker = std::make_unique<state::worker>();
    worker->owner = state_.get();
    nng_ctx_open(&worker->context, state_->socket);
    nng_aio_alloc(&worker->aio, &state::OnEvent, worker.get());
    nng_ctx_recv(worker->context, worker->aio);
    state_->workers.push_back(std::move(worker));
  }
}

control_server::~control_server() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->closed = true;
  }
  nng_close(state_->socket);
  for (auto& worker : state_->workers) {
    nng_aio_stop(worker->aio);
    nng_aio_free(worker->aio);
  }
}

struct control_client::state {
  struct peer {
    nng_socket socket{};
    std::uint64_t used = 0;
  };
  struct call {
    state* owner = nullptr;
    nng_ctx context{};
    nng_aio* aio = nullptr;
    bool sent = false;
    control_callback callback;
  };

  impairment* impaired = nullptr;
  std::mutex mutex;
  std::map<endpoint, peer> peers;
  std::vector<std::unique_ptr<call>> finished;
  std::map<call*, std::unique_ptr<call>> active;
  std::uint64_t uses = 0;
  bool closing = false;

  static void OnEvent(void* argument) {
    auto* self = static_cast<call*>(argument);
    if (nng_aio_result(self->aio) != 0) {
      if (!self->sent) {
        nng_msg_free(nng_aio_get_msg(self->aio));
      }
      self->owner->Finish(self, std::nullopt);
      return;
    }
    if (!self->sent) {
      self->sent = true;
      nng_ctx_recv(self->context, self->aio);
      return;
    }
    nng_msg* message = nng_aio_get_msg(self->aio);
    std::string reply = BytesOf(message);
    nng_msg_free(message);
    self->owner->Finish(self, std::move(reply));
  }

  void Finish(call* done, std::optional<std::string> reply) {
    done->callback(std::move(reply));
    const std::lock_guard lock(mutex);
    const auto found = active.find(done);
    if (found != active.end()) {
      // Freed by a later request: an aio must not be freed by its own event.
      finished.push_back(std::move(found->second));
      active.erase(found);
    }
  }

  bool IsClosing() {
    const std::lock_guard lock(mutex);
    return closing;
  }

  void FreeFinished() {
    std::vector<std::unique_ptr<call>> done;
    {
      const std::lock_guard lock(mutex);
      done.swap(finished);
    }
    for (auto& item : done) {
      nng_aio_wait(item->aio);
      nng_ctx_close(item->context);
      nng_aio_free(item->aio);
    }
  }

  // On the requester's thread only, like all use of `peers`: nng_close waits
  // for events, and an event takes the lock.
  nng_socket SocketFor(const endpoint& to) {
    const auto found = peers.find(to);
    if (found != peers.end()) {
      found->second.used = ++uses;
      return found->second.socket;
    }
    if (peers.size() >= kMaxPeers) {
      auto oldest = peers.begin();
      for (auto item = peers.begin(); item != peers.end(); ++item) {
        if (item->second.used < oldest->second.used) {
          oldest = item;
        }
      }
      nng_close(oldest->second.socket);
      peers.erase(oldest);
    }
    peer& added = peers[to];
    added.used = ++uses;
    nng_req0_open(&added.socket);
    nng_socket_set_size(added.socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    nng_dial(added.socket, Url(to).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    return added.socket;
  }
};

control_client::control_client(impairment* impaired)
    : state_(std::make_unique<state>()) {
  state_->impaired = impaired;
}

control_client::~control_client() {
  Close();
}

void control_client::Close() {
  std::vector<nng_aio*> waiting;
  std::map<endpoint, state::peer> peers;
  {
    const std::lock_guard lock(state_->mutex);
    state_->closing = true;
    peers.swap(state_->peers);
    for (auto& [pointer, item] : state_->active) {
      waiting.push_back(item->aio);
    }
  }
  // Without the lock: both wait for events, and an event takes the lock.
  for (nng_aio* aio : waiting) {
    nng_aio_stop(aio);
  }
  for (auto& [address, peer] : peers) {
    nng_close(peer.socket);
  }
  state_->FreeFinished();
}

void control_client::Request(const endpoint& to,
                             const std::string& request,
                             std::chrono::milliseconds timeout,
                             control_callback callback) {
  state_->FreeFinished();
  const bool blocked =
      state_->impaired != nullptr && state_->impaired->IsBlocked(to);
  if (blocked || state_->IsClosing()) {
    callback(std::nullopt);
    return;
  }
  auto added = std::make_unique<state::call>();
  state::call* self = added.get();
  self->owner = state_.get();
  self->callback = std::move(callback);
  if (nng_ctx_open(&self->context, state_->SocketFor(to)) != 0) {
    self->callback(std::nullopt);
    return;
  }
  nng_aio_alloc(&self->aio, &state::OnEvent, self);
  nng_aio_set_timeout(self->aio, static_cast<nng_duration>(timeout.count()));
  nng_aio_set_msg(self->aio, MessageOf(request));
  {
    const std::lock_guard lock(state_->mutex);
    state_->active[self] = std::move(added);
  }
  nng_ctx_send(self->context, self->aio);
}

}  // namespace corianderplank
