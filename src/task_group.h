#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <pplx/pplxtasks.h>

namespace clementinelane {

/// Tasks on the pplx thread pool. The destructor waits for all of them.
class task_group {
public:
  ~task_group() { wait(); }
  task_group() = default;
  task_group(const task_group &) = delete;
  task_group &operator=(const task_group &) = delete;

  void run(std::function<void()> Task) {
    {
      const std::scoped_lock Lock(Mutex);
      ++Open;
    }
    pplx::create_task([this, Task = std::move(Task)] {
      Task();
      const std::scoped_lock Lock(Mutex);
      --Open;
      Changed.notify_all();
    });
  }

  void wait() {
    std::unique_lock Lock(Mutex);
    Changed.wait(Lock, [this] { return Open == 0; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  unsigned Open = 0;
};

} // namespace clementinelane
