#include "core/request_table.h"

#include <utility>

namespace corianderplank {

request_handle request_table::Insert(request_record record) {
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(rows_.size()));
    rows_.emplace_back();
  }
  const std::uint32_t index = free_.back();
  free_.pop_back();
  row& target_row = rows_[index];
  target_row.used = true;
  target_row.record = std::move(record);
  ++size_;
  return {index, target_row.generation};
}

void request_table::Remove(request_handle handle) {
  row& target_row = rows_[handle.index];
  target_row.used = false;
  ++target_row.generation;
  target_row.record = request_record();
  free_.push_back(handle.index);
  --size_;
}

request_record* request_table::Find(request_handle handle) {
  if (handle.index >= rows_.size()) {
    return nullptr;
  }
  row& target_row = rows_[handle.index];
  const bool is_valid =
      target_row.used && target_row.generation == handle.generation;
  return is_valid ? &target_row.record : nullptr;
}

void request_table::ForEach(
    const std::function<void(request_handle, request_record&)>& visit) {
  for (std::uint32_t index = 0; index < rows_.size(); ++index) {
    if (rows_[index].used) {
      visit({index, rows_[index].generation}, rows_[index].record);
    }
  }
}

std::uint64_t PackHandle(request_handle handle) {
  return (std::uint64_t{handle.index} << 32) | handle.generation;
}

request_handle UnpackHandle(std::uint64_t packed) {
  return {static_cast<std::uint32_t>(packed >> 32),
          static_cast<std::uint32_t>(packed)};
}

}  // namespace corianderplank
