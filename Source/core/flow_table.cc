#include "core/flow_table.h"

namespace corianderplank {

flow_record* flow_table::Find(flow_id id) {
  const auto found = flows_.find(id);
  return found == flows_.end() ? nullptr : &found->second;
}

flow_record& flow_table::Insert(flow_id id) {
  flow_record& flow = flows_[id];
  flow.id = id;
  flow.serial = next_serial_++;
  return flow;
}

}  // namespace corianderplank
