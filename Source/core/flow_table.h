/// @file
/// Table of the flows that an agent owns.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/packet.h"
#include "core/request_table.h"

namespace corianderplank {

/// State of a flow.
enum class flow_state : std::uint8_t {
  reserved,  ///< Opened, no request yet.
  open,      ///< Has received a request or was resumed.
  fenced,    ///< Continues at another agent; starts nothing here.
};

/// One flow.
struct flow_record {
  flow_id id;
  std::uint64_t serial = 0;
  flow_state state = flow_state::reserved;
  endpoint caller;
  /// The entry through which the caller was last heard.
  endpoint entry;
  time_point heard_at;
  /// When the caller was last asked to move.
  time_point move_sent_at;
  /// Sequence numbers below never start here.
  std::uint32_t base = 0;
  /// The token under which the flow was known to the agent that it came from.
  std::optional<flow_token> resumed_from;
  /// What that agent said when the flow was resumed here.
  bool resume_fenced = false;
  std::uint64_t resume_started = 0;
  std::uint32_t resume_oldest = 0;
  /// Requests from `base` on that were received.
  std::vector<request_handle> requests;
};

/// Flows by identifier.
class flow_table {
 public:
  /// @param id a flow.
  /// @return the flow, or nullptr.
  flow_record* Find(flow_id id);

  /// @param id a flow that is not in the table.
  /// @return the new flow, with a serial number that was never used before.
  flow_record& Insert(flow_id id);

  /// @param id a flow.
  void Remove(flow_id id) { flows_.erase(id); }

  /// @return the number of flows.
  std::size_t Size() const { return flows_.size(); }

  /// @return all flows, to iterate over.
  std::unordered_map<flow_id, flow_record, identifier_hash>& All() {
    return flows_;
  }

 private:
  std::uint64_t next_serial_ = 1;
  std::unordered_map<flow_id, flow_record, identifier_hash> flows_;
};

}  // namespace corianderplank
