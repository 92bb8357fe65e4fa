#include "core/flow_locator.h"

namespace corianderplank {

located_target token_locator::Locate(const service_routes& routes,
                                     const packet& value) const {
  if (!value.token) {
    return {nullptr, result_code::bad_token};
  }
  if (value.token->service != routes.Id()) {
    return {nullptr, result_code::wrong_service};
  }
  const route_target* found = routes.Find(value.token->target);
  if (found == nullptr) {
    return {nullptr, result_code::unknown_target};
  }
  return {found, result_code::answered};
}

}  // namespace corianderplank
