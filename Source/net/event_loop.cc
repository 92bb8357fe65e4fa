#include "net/event_loop.h"

#include <csignal>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace corianderplank {
namespace asio = boost::asio;

struct event_loop::state {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{
      context.get_executor()};
  std::unique_ptr<asio::signal_set> stop_signals;
  std::unique_ptr<asio::signal_set> reload_signals;

  void Repeat(std::shared_ptr<asio::steady_timer> timer,
              std::chrono::milliseconds period,
              std::shared_ptr<std::function<void()>> function) {
    // Counts from now, so that a paused process does not catch up.
    timer->expires_after(period);
    timer->async_wait([this, timer, period, function](auto error) {
      if (error) {
        return;
      }
      (*function)();
      Repeat(timer, period, function);
    });
  }

  void WaitForSignal(asio::signal_set& signals,
                     std::shared_ptr<std::function<void()>> function) {
    signals.async_wait([this, &signals, function](auto error, int /*number*/) {
      if (error) {
        return;
      }
      (*function)();
      WaitForSignal(signals, function);
    });
  }
};

event_loop::event_loop() : state_(std::make_unique<state>()) {}
event_loop::~event_loop() = default;

void event_loop::Run() {
  state_->context.run();
}

void event_loop::Stop() {
  state_->context.stop();
}

void event_loop::Post(std::function<void()> function) {
  asio::post(state_->context, std::move(function));
}

void event_loop::After(std::chrono::milliseconds delay,
                       std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(state_->context, delay);
  timer->async_wait([timer, function = std::move(function)](auto error) {
    if (!error) {
      function();
    }
  });
}

void event_loop::Every(std::chrono::milliseconds period,
                       std::function<void()> function) {
  state_->Repeat(std::make_shared<asio::steady_timer>(state_->context), period,
                 std::make_shared<std::function<void()>>(std::move(function)));
}

void event_loop::OnStopSignal(std::function<void()> function) {
  state_->stop_signals =
      std::make_unique<asio::signal_set>(state_->context, SIGINT, SIGTERM);
  state_->WaitForSignal(
      *state_->stop_signals,
      std::make_shared<std::function<void()>>(std::move(function)));
}

void event_loop::OnReloadSignal(std::function<void()> function) {
  state_->reload_signals =
      std::make_unique<asio::signal_set>(state_->context, SIGHUP);
  state_->WaitForSignal(
      *state_->reload_signals,
      std::make_shared<std::function<void()>>(std::move(function)));
}

boost::asio::io_context& event_loop::Context() {
  return state_->context;
}

}  // namespace corianderplank
