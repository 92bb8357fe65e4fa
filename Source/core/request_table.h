/// @file
/// Table of the requests that an agent holds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/answer_stream.h"
#include "core/packet.h"

namespace corianderplank {

/// Life of a request at its agent. A request starts only from `queued`.
enum class request_state : std::uint8_t {
  queued,     ///< Waits for a slot.
  running,    ///< Started at the backend server.
  answering,  ///< Finished; the answer is kept until acknowledged.
  answered,   ///< The caller has the whole answer.
  refused,    ///< Will never start, or its outcome is unknown.
};

/// @param state a state.
/// @return whether the caller still waits for the end of the request.
inline bool IsUnfinished(request_state state) {
  return state == request_state::queued || state == request_state::running ||
         state == request_state::answering;
}

/// Names a request in the table; stale after the request was removed.
struct request_handle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  bool operator==(const request_handle&) const = default;
};

/// One request.
struct request_record {
  flow_id flow;
  std::uint32_t sequence = 0;
  std::uint64_t request_id = 0;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  /// An execution is under way at the backend server.
  bool executing = false;
  /// An execution was lost: from now on nobody may say that it was not run.
  bool may_have_run = false;
  /// The caller gave it up; its answer counts only if it is acknowledged.
  bool abandoned_by_caller = false;
  /// Is counted among the open feeds.
  bool counted_as_open_feed = false;
  std::uint8_t tries = 0;
  request_state state = request_state::queued;
  /// Why it was refused, once it is.
  result_code code = result_code::answered;
  time_point received_at;
  time_point deadline;
  std::uint64_t position = 0;
  std::uint32_t count = 0;
  std::string payload;
  answer_stream answer;
};

/// Dense table with stable handles.
class request_table {
 public:
  /// @param record the request.
  /// @return its handle.
  request_handle Insert(request_record record);

  /// @param handle a request; must be in the table.
  void Remove(request_handle handle);

  /// @param handle a request.
  /// @return its record, or nullptr when it was removed.
  request_record* Find(request_handle handle);

  /// Visits every request; the visitor must not insert or remove.
  /// @param visit called with handle and record.
  void ForEach(
      const std::function<void(request_handle, request_record&)>& visit);

  /// @return the number of requests.
  std::size_t Size() const { return size_; }

 private:
  struct row {
    std::uint32_t generation = 1;
    bool used = false;
    request_record record;
  };

  std::vector<row> rows_;
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

/// @param handle a request.
/// @return a number that stands for it outside core.
std::uint64_t PackHandle(request_handle handle);

/// @param packed the result of PackHandle.
/// @return the handle.
request_handle UnpackHandle(std::uint64_t packed);

}  // namespace corianderplank
