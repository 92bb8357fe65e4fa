#include "core/document.h"

#include <algorithm>

namespace corianderplank {

const service* FindService(const environment_document& document,
                           service_id id) {
  const auto found =
      std::find_if(document.services.begin(), document.services.end(),
                   [id](const service& item) { return item.id == id; });
  return found == document.services.end() ? nullptr : &*found;
}

const target* FindTarget(const service& of, target_id id) {
  const auto found =
      std::find_if(of.targets.begin(), of.targets.end(),
                   [id](const target& item) { return item.id == id; });
  return found == of.targets.end() ? nullptr : &*found;
}

}  // namespace corianderplank
