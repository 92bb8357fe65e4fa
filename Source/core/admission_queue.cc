#include "core/admission_queue.h"

#include <algorithm>

namespace corianderplank {
namespace {

/// Virtual time that each start costs a class of weight 1.
constexpr std::uint64_t kStrideOfWeightOne = 1 << 20;

}  // namespace

void admission_queue::Configure(const std::vector<traffic_class>& classes,
                                std::uint32_t capacity,
                                std::uint32_t slots) {
  capacity_ = capacity;
  // Never shrinks, because removed classes may still have waiting requests.
  queues_.resize(std::max({classes.size(), queues_.size(), std::size_t{1}}));
  for (std::size_t index = 0; index < classes.size(); ++index) {
    class_queue& queue = queues_[index];
    queue.weight = std::max(1U, classes[index].weight);
    queue.stride = kStrideOfWeightOne / queue.weight;
    queue.max_running =
        std::max(1U, slots * classes[index].max_share_permille / 1000);
  }
}

admission_queue::class_queue& admission_queue::QueueOf(
    std::uint8_t traffic_class) {
  const std::size_t index =
      std::min<std::size_t>(traffic_class, queues_.size() - 1);
  return queues_[index];
}

admission_queue::class_queue* admission_queue::LowestWeightBelow(
    std::uint32_t weight) {
  class_queue* lowest = nullptr;
  for (class_queue& queue : queues_) {
    if (queue.waiting.empty() || queue.weight >= weight) {
      continue;
    }
    if (lowest == nullptr || queue.weight < lowest->weight) {
      lowest = &queue;
    }
  }
  return lowest;
}

admission_result admission_queue::Push(std::uint8_t traffic_class,
                                       const waiting_request& request) {
  class_queue& queue = QueueOf(traffic_class);
  admission_result result;
  if (size_ >= capacity_) {
    class_queue* victim = LowestWeightBelow(queue.weight);
    if (victim == nullptr) {
      return result;
    }
    result.displaced = victim->waiting.back().handle;
    victim->waiting.pop_back();
    --size_;
  }
  if (queue.waiting.empty()) {
    // A class gains no advantage from the time in which it had no requests.
    queue.pass = std::max(queue.pass, virtual_time_);
  }
  queue.waiting.push_back(request);
  ++size_;
  result.accepted = true;
  return result;
}

std::optional<request_handle> admission_queue::Pop(std::uint32_t free_slots) {
  if (free_slots == 0) {
    return std::nullopt;
  }
  class_queue* next = nullptr;
  for (class_queue& queue : queues_) {
    if (queue.waiting.empty() || queue.running >= queue.max_running) {
      continue;
    }
    if (next == nullptr || queue.pass < next->pass) {
      next = &queue;
    }
  }
  if (next == nullptr) {
    return std::nullopt;
  }
  const request_handle handle = next->waiting.front().handle;
  next->waiting.pop_front();
  --size_;
  ++next->running;
  virtual_time_ = next->pass;
  next->pass += next->stride;
  return handle;
}

std::vector<request_handle> admission_queue::RemoveExpired(time_point now) {
  std::vector<request_handle> expired;
  for (class_queue& queue : queues_) {
    std::erase_if(queue.waiting, [&](const waiting_request& item) {
      const bool expired_now = item.deadline <= now;
      if (expired_now) {
        expired.push_back(item.handle);
      }
      return expired_now;
    });
  }
  size_ -= expired.size();
  return expired;
}

void admission_queue::Remove(request_handle handle) {
  for (class_queue& queue : queues_) {
    size_ -= std::erase_if(queue.waiting, [&](const waiting_request& item) {
      return item.handle == handle;
    });
  }
}

void admission_queue::OnFinished(std::uint8_t traffic_class) {
  class_queue& queue = QueueOf(traffic_class);
  queue.running -= std::min(queue.running, 1U);
}

}  // namespace corianderplank
