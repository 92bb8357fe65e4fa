#include "core/token_authority.h"

#include <sodium.h>

namespace corianderplank {

token_authority::token_authority(target_id target,
                                 service_id service,
                                 incarnation_id incarnation,
                                 const token_secret& secret)
    : target_(target),
      service_(service),
      incarnation_(incarnation),
      secret_(secret) {}

flow_token token_authority::Issue(flow_id flow, std::uint64_t serial) const {
  flow_token token{target_, service_, incarnation_, serial, 0};
  const std::uint64_t message[5] = {flow.value, target_.value, service_.value,
                                    incarnation_.value, serial};
  static_assert(sizeof(token.mac) == crypto_shorthash_siphash24_BYTES);
  static_assert(sizeof(token_secret) == crypto_shorthash_siphash24_KEYBYTES);
  crypto_shorthash_siphash24(reinterpret_cast<unsigned char*>(&token.mac),
                             reinterpret_cast<const unsigned char*>(message),
                             sizeof(message), secret_.data());
  return token;
}

result_code token_authority::Check(flow_id flow,
                                   const flow_token& token) const {
  if (token.service != service_) {
    return result_code::wrong_service;
  }
  if (token.target != target_) {
    return result_code::unknown_target;
  }
  if (token.incarnation != incarnation_) {
    return result_code::stale_incarnation;
  }
  const flow_token expected = Issue(flow, token.serial);
  return expected.mac == token.mac ? result_code::answered
                                   : result_code::bad_token;
}

}  // namespace corianderplank
