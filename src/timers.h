#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

namespace clementinelane {

/// Runs functions after a delay, on a thread of its own.
class timer_service {
public:
  using handle = std::shared_ptr<boost::asio::steady_timer>;

  timer_service()
      : Guard(boost::asio::make_work_guard(Context)),
        Thread([this] { Context.run(); }) {}
  ~timer_service() { stop(); }
  timer_service(const timer_service &) = delete;
  timer_service &operator=(const timer_service &) = delete;

  /// Ends the thread; no timer fires afterwards. Must not be called from a
  /// timer's function.
  void stop() {
    Context.stop();
    if (Thread.joinable())
      Thread.join();
  }

  /// Calls `Run` after `Delay`, unless the handle is cancelled first.
  handle after(std::chrono::steady_clock::duration Delay,
               std::function<void()> Run) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Delay);
    Timer->async_wait(
        [Timer, Run = std::move(Run)](const boost::system::error_code &Error) {
          if (!Error)
            Run();
        });
    return Timer;
  }

  void cancel(const handle &Timer) {
    if (Timer)
      boost::asio::post(Context, [Timer] { Timer->cancel(); });
  }

private:
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Thread;
};

} // namespace clementinelane
