#pragma once

#include "config.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinelane {

/// Counters over all customers, for metrics and the bench.
struct retry_stats {
  std::uint64_t Answers = 0;
  std::uint64_t Allowed = 0;
  std::uint64_t Denied = 0;
};

/// Retries that each customer may still make on this VM. Each answer earns
/// part of one.
class retry_budget {
public:
  /// An attempt was answered.
  void earn(std::string_view Customer);
  /// Takes one retry out, if there is one.
  bool spend(std::string_view Customer);
  retry_stats stats() const;

private:
  double &balanceOf(std::string_view Customer);

  mutable std::mutex Mutex;
  std::unordered_map<std::string, double> Balances;
  retry_stats Stats;
};

} // namespace clementinelane
