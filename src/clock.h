#pragma once

#include <atomic>
#include <chrono>
#include <ctime>

namespace clementinelane {

/// Monotonic time; decisions and state machines receive it as `Now`.
using mono_time = std::chrono::steady_clock::time_point;
/// Wall-clock time; only for data that leaves the process (tokens, log lines,
/// usage).
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// The clock interface. Only I/O code reads it; state machines receive the time
/// as an argument.
class runtime_clock {
public:
  virtual ~runtime_clock() = default;
  virtual mono_time now() const = 0;
  virtual wall_time wallNow() const = 0;
  /// Monotonic time that includes the time the VM was suspended. Leases and
  /// deadlines need it: now() stops during a suspend, so a lease would be held
  /// past its expiry.
  virtual mono_time bootNow() const { return now(); }
};

/// The clocks of the operating system.
class system_runtime_clock final : public runtime_clock {
public:
  mono_time now() const override { return std::chrono::steady_clock::now(); }
  wall_time wallNow() const override {
    return std::chrono::system_clock::now();
  }
  mono_time bootNow() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return mono_time(std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec));
  }
};

/// A clock that only moves when advanced; for tests and benchmarks.
class manual_clock final : public runtime_clock {
public:
  mono_time now() const override { return mono_time(duration(Elapsed.load())); }
  wall_time wallNow() const override {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(
        duration(Elapsed.load())));
  }
  void advance(duration By) { Elapsed += By.count(); }

private:
  std::atomic<duration::rep> Elapsed{0};
};

} // namespace clementinelane
