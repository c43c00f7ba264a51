#include "retry_budget.h"

#include <algorithm>

namespace clementinelane {

double &retry_budget::balanceOf(std::string_view Customer) {
  return Balances.try_emplace(std::string(Customer), config::RetryReserve)
      .first->second;
}

void retry_budget::earn(std::string_view Customer) {
  const std::scoped_lock Lock(Mutex);
  ++Stats.Answers;
  double &Balance = balanceOf(Customer);
  Balance = std::min(config::RetryReserve, Balance + config::RetryRatio);
}

// Load: a pool that fails whole. Harm prevented: every request turns into
// MaxAttempts attempts, on endpoints that have trouble already. Retries are a
// fixed part of the answers, so that without answers there are none, and each
// customer has its own, so that one with broken work doesn't use up the
// others'.
bool retry_budget::spend(std::string_view Customer) {
  const std::scoped_lock Lock(Mutex);
  double &Balance = balanceOf(Customer);
  if (Balance < 1) {
    ++Stats.Denied;
    return false;
  }
  --Balance;
  ++Stats.Allowed;
  return true;
}

retry_stats retry_budget::stats() const {
  const std::scoped_lock Lock(Mutex);
  return Stats;
}

} // namespace clementinelane
