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

/// State of a request at its agent. A request starts only from `queued`; a
/// running feed makes further calls.
enum class request_state : std::uint8_t {
  queued,     ///< Waits for a slot.
  running,    ///< Call to the backend server started.
  answering,  ///< Call ended; the answer is kept until acknowledged.
  answered,   ///< The caller has the whole answer.
  refused,    ///< Never starts, or its outcome is unknown.
};

/// @param state the state of a request.
/// @return whether the caller still waits for the end of the request.
inline bool IsUnfinished(request_state state) {
  return state == request_state::queued || state == request_state::running ||
         state == request_state::answering;
}

/// Refers to a request in the table. It stays valid while other requests come
/// and go and finds nothing after its own request was removed.
struct request_handle {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;
  bool operator==(const request_handle&) const = default;
};

/// A request and its answer.
struct request_record {
  flow_id flow;
  std::uint32_t sequence = 0;
  std::uint64_t request_id = 0;
  work_kind work = work_kind::request;
  std::uint8_t traffic_class = 0;
  bool idempotent = false;
  /// A call to the backend server is in progress.
  bool executing = false;
  /// A call was lost, so that the request must never be reported as not run.
  bool may_have_run = false;
  /// The caller no longer waits for the answer, which counts as answered only
  /// if the caller acknowledges it.
  bool abandoned_by_caller = false;
  /// Included in the agent's number of open feeds.
  bool counted_as_open_feed = false;
  /// Calls to the backend server; a feed counts from its last message.
  std::uint8_t tries = 0;
  request_state state = request_state::queued;
  /// Reason of the refusal; valid in request_state::refused.
  result_code code = result_code::answered;
  time_point received_at;
  time_point deadline;
  /// Next message of a feed, or index of an upload's chunk.
  std::uint64_t position = 0;
  /// Number of feed messages that remain, 0 for an endless feed.
  std::uint32_t count = 0;
  std::string payload;
  answer_stream answer;
};

/// Table of requests with stable handles; rows of removed requests are reused.
class request_table {
 public:
  /// @param record the request to add. Invalidates pointers from Find.
  /// @return handle of the request.
  request_handle Insert(request_record record);

  /// @param handle a request that is in the table.
  void Remove(request_handle handle);

  /// @param handle a request, possibly removed.
  /// @return its record, valid until the next Insert; nullptr if it was
  ///     removed.
  request_record* Find(request_handle handle);

  /// Visits every request; the visitor must not insert or remove.
  /// @param visit called with the handle and the record of each request.
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
/// @return the handle as one number, used as `execution::id`.
std::uint64_t PackHandle(request_handle handle);

/// @param packed a result of PackHandle.
/// @return the handle that was packed.
request_handle UnpackHandle(std::uint64_t packed);

}  // namespace corianderplank
