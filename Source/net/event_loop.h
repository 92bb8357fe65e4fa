/// @file
/// One thread's loop of events, timers and signals, on Asio.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace corianderplank {

/// Runs handlers one at a time on the thread that calls Run.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until Stop is called.
  void Run();

  /// Ends Run; may be called from any thread.
  void Stop();

  /// Runs a function on the loop's thread; may be called from any thread.
  /// @param function the function.
  void Post(std::function<void()> function);

  /// @param delay how long to wait.
  /// @param function called once, unless the loop ends first.
  void After(std::chrono::milliseconds delay, std::function<void()> function);

  /// @param period time between two calls.
  /// @param function called until the loop ends.
  void Every(std::chrono::milliseconds period, std::function<void()> function);

  /// @param function called on each SIGTERM or SIGINT.
  void OnStopSignal(std::function<void()> function);

  /// @param function called on each SIGHUP.
  void OnReloadSignal(std::function<void()> function);

  /// @return the Asio context, for the other parts of this library.
  boost::asio::io_context& Context();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace corianderplank
