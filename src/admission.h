#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "config.h"
#include "request.h"

#include <functional>
#include <string>
#include <string_view>

namespace clementinelane {

/// A request as admission control sees it.
struct admission_request {
  std::string Id;
  std::string Customer;
  std::string Pool;
  double Weight = 1;               ///< of the customer in fair queueing
  double QuotaTokensPerSecond = 0; ///< 0: unlimited
  priority Priority = priority::Normal;
  std::uint64_t Tokens = 0; ///< estimated, prompt and answer
  mono_time Deadline;
};

struct admission_verdict {
  std::error_code Error; ///< unset: admitted
  std::chrono::milliseconds RetryAfter{0};
  std::string_view Rule;       ///< rule that decided; static string
  std::string_view RunnerUp{}; ///< rule considered next; static string
};

/// Capacity of a pool that this VM may use now.
struct pool_capacity {
  double Concurrency = 0; ///< requests at once; 0: no known endpoint
  double SecondsPerToken =
      config::InitialSecondsPerToken; ///< per estimated token
};

/// Admits, queues or refuses requests.
class admission_controller {
public:
  virtual ~admission_controller() = default;
  /// Calls `Done` exactly once, at once or later, from any thread.
  virtual void offer(const admission_request &Request,
                     std::function<void(const admission_verdict &)> Done) = 0;
  /// Ends a running or queued request, whatever its outcome.
  virtual void finished(std::string_view Id) = 0;
};

/// Admits every request.
class unlimited_admission final : public admission_controller {
public:
  void offer(const admission_request &,
             std::function<void(const admission_verdict &)> Done) override {
    Done({});
  }
  void finished(std::string_view) override {}
};

} // namespace clementinelane
