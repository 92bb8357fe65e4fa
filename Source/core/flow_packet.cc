#include "core/flow_packet.h"

namespace corianderplank {
namespace {

constexpr int kPortBits = 16;

std::uint64_t PackEndpoint(const endpoint& value) {
  return (std::uint64_t{value.address} << kPortBits) | value.port;
}

}  // namespace

std::uint64_t HashFlow(const flow_address& flow) {
  return MixHash(PackEndpoint(flow.client), PackEndpoint(flow.service));
}

}  // namespace corianderplank
