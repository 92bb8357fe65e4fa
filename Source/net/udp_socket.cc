#include "net/udp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

namespace corianderplank {
namespace {

constexpr std::size_t kBatch = 64;
constexpr std::size_t kBufferBytes = 2048;
constexpr std::size_t kControlBytes = CMSG_SPACE(sizeof(timespec));
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

sockaddr_in ToNative(const endpoint& value) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(value.port);
  native.sin_addr.s_addr = htonl(value.address);
  return native;
}

endpoint FromNative(const sockaddr_in& native) {
  return {ntohl(native.sin_addr.s_addr), ntohs(native.sin_port)};
}

int BoundSocket(const endpoint& local) {
  const int descriptor =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "socket");
  }
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
  const int enabled = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &enabled,
               sizeof(enabled));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
  const sockaddr_in native = ToNative(local);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
             sizeof(native)) < 0) {
    const int error = errno;
    ::close(descriptor);
    throw std::system_error(error, std::generic_category(),
                            "cannot bind UDP " + FormatEndpoint(local));
  }
  return descriptor;
}

/// @return how long ago the operating system received a datagram.
std::chrono::nanoseconds AgeOf(const msghdr& header, const timespec& now) {
  for (const cmsghdr* part = CMSG_FIRSTHDR(&header); part != nullptr;
       part = CMSG_NXTHDR(const_cast<msghdr*>(&header),
                          const_cast<cmsghdr*>(part))) {
    if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS) {
      timespec received{};
      std::memcpy(&received, CMSG_DATA(part), sizeof(received));
      const auto age = std::chrono::seconds(now.tv_sec - received.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec - received.tv_nsec);
      // A clock that was set back makes nothing younger than now.
      return std::max(age, std::chrono::nanoseconds(0));
    }
  }
  return std::chrono::nanoseconds(0);
}

/// Buffers for one call of recvmmsg or sendmmsg.
struct batch {
  alignas(64) std::array<std::array<char, kBufferBytes>, kBatch> buffers;
  alignas(cmsghdr) std::array<std::array<char, kControlBytes>, kBatch> control;
  std::array<sockaddr_in, kBatch> addresses{};
  std::array<iovec, kBatch> vectors{};
  std::array<mmsghdr, kBatch> messages{};

  batch() {
    for (std::size_t index = 0; index < kBatch; ++index) {
      msghdr& header = messages[index].msg_hdr;
      vectors[index] = {buffers[index].data(), kBufferBytes};
      header.msg_iov = &vectors[index];
      header.msg_iovlen = 1;
      header.msg_name = &addresses[index];
    }
  }
};

}  // namespace

struct udp_socket::state {
  state(event_loop& loop,
        const endpoint& local,
        counters& counted,
        impairment* impaired)
      : descriptor(loop.Context(), BoundSocket(local)),
        counted(counted),
        impaired(impaired) {}

  void Wait() {
    descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                          [this](auto error) {
                            if (error) {
                              return;
                            }
                            ReadBatch();
                            Wait();
                          });
  }

  void ReadPending() {
    for (int batches = 0; batches < kMaxPendingBatches; ++batches) {
      if (ReadBatch() < static_cast<int>(kBatch)) {
        return;
      }
    }
  }

  // Returns the number of datagrams; negative if there was none to read.
  int ReadBatch() {
    for (std::size_t index = 0; index < kBatch; ++index) {
      msghdr& header = in.messages[index].msg_hdr;
      header.msg_namelen = sizeof(sockaddr_in);
      header.msg_control = in.control[index].data();
      header.msg_controllen = kControlBytes;
    }
    const int received = ::recvmmsg(descriptor.native_handle(),
                                    in.messages.data(), kBatch, 0, nullptr);
    timespec wall_now{};
    ::clock_gettime(CLOCK_REALTIME, &wall_now);
    const time_point now = std::chrono::steady_clock::now();
    for (int index = 0; index < received; ++index) {
      const mmsghdr& message = in.messages[index];
      on_datagram({FromNative(in.addresses[index]),
                   {in.buffers[index].data(), message.msg_len},
                   now - AgeOf(message.msg_hdr, wall_now)});
    }
    if (received > 0) {
      on_batch();
    }
    return received;
  }

  void Queue(const endpoint& to, std::string_view datagram) {
    if (queued == kBatch) {
      Flush();
    }
    const std::size_t size = std::min(datagram.size(), kBufferBytes);
    std::memcpy(out.buffers[queued].data(), datagram.data(), size);
    out.vectors[queued].iov_len = size;
    out.addresses[queued] = ToNative(to);
    out.messages[queued].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    ++queued;
  }

  void Flush() {
    std::size_t sent = 0;
    while (sent < queued) {
      const int count =
          ::sendmmsg(descriptor.native_handle(), out.messages.data() + sent,
                     queued - sent, 0);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      // The first one failed; a lost datagram is repeated by its sender.
      counted.Add(result_code::send_failed);
      ++sent;
    }
    queued = 0;
  }

  boost::asio::posix::stream_descriptor descriptor;
  counters& counted;
  impairment* impaired;
  datagram_handler on_datagram;
  std::function<void()> on_batch;
  std::size_t queued = 0;
  batch in;
  batch out;
  endpoint held_to;
  std::string held;
};

udp_socket::udp_socket(event_loop& loop,
                       const endpoint& local,
                       counters& counters,
                       impairment* impaired)
    : state_(std::make_unique<state>(loop, local, counters, impaired)) {}

udp_socket::~udp_socket() = default;

void udp_socket::Receive(datagram_handler on_datagram,
                         std::function<void()> on_batch) {
  state_->on_datagram = std::move(on_datagram);
  state_->on_batch = std::move(on_batch);
  state_->Wait();
}

void udp_socket::ReadPending() {
  state_->ReadPending();
}

void udp_socket::Send(const endpoint& to, std::string_view datagram) {
  if (state_->impaired == nullptr) {
    state_->Queue(to, datagram);
    return;
  }
  switch (state_->impaired->Judge(to)) {
    case impairment_verdict::lose:
      return;
    case impairment_verdict::reorder:
      // Goes out behind a later datagram; a held one makes room first.
      if (!state_->held.empty()) {
        state_->Queue(state_->held_to, state_->held);
      }
      state_->held_to = to;
      state_->held = datagram;
      return;
    case impairment_verdict::duplicate:
      state_->Queue(to, datagram);
      break;
    case impairment_verdict::pass:
      break;
  }
  state_->Queue(to, datagram);
  if (!state_->held.empty()) {
    state_->Queue(state_->held_to, state_->held);
    state_->held.clear();
  }
}

void udp_socket::Flush() {
  state_->Flush();
}

endpoint udp_socket::Local() const {
  sockaddr_in native{};
  socklen_t size = sizeof(native);
  ::getsockname(state_->descriptor.native_handle(),
                reinterpret_cast<sockaddr*>(&native), &size);
  return FromNative(native);
}

}  // namespace corianderplank
