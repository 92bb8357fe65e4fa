/// @file
/// Runs a function on another thread's loop and waits for its result.
#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>

#include "net/event_loop.h"

namespace corianderplank {

/// @param loop the other thread's loop.
/// @param timeout how long to wait.
/// @param function the function.
/// @return its result, or nothing when the loop was too slow.
template <typename result>
std::optional<result> RunOn(event_loop& loop,
                            std::chrono::milliseconds timeout,
                            std::function<result()> function) {
  auto promise = std::make_shared<std::promise<result>>();
  std::future<result> future = promise->get_future();
  loop.Post([promise, function = std::move(function)] {
    promise->set_value(function());
  });
  if (future.wait_for(timeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

}  // namespace corianderplank
