#pragma once

#include "clock.h"
#include "config.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinelane {

/// Counters over all customers, for metrics and the benchmarks.
struct retry_stats {
  std::uint64_t Answers = 0;
  std::uint64_t Allowed = 0;
  std::uint64_t Denied = 0;
};

/// Budget of retries per customer on this VM. Each answer earns a fraction of a
/// retry; a time without retry requests restores the full balance.
class retry_budget {
public:
  /// Credits the customer for an answered attempt.
  void earn(std::string_view Customer);
  /// Debits one retry; false if the balance is too low.
  bool spend(std::string_view Customer, mono_time Now);
  retry_stats stats() const;

private:
  struct account {
    double Balance = config::MaxRetryBalance;
    mono_time LastSpendAt{};
  };

  mutable std::mutex Mutex;
  std::unordered_map<std::string, account> Accounts;
  retry_stats Stats;
};

} // namespace clementinelane
