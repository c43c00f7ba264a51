#include "retry_budget.h"

#include <algorithm>

namespace clementinelane {

void retry_budget::earn(std::string_view Customer) {
  const std::scoped_lock Lock(Mutex);
  ++Stats.Answers;
  double &Balance = Accounts[std::string(Customer)].Balance;
  Balance = std::min(config::MaxRetryBalance, Balance + config::RetryRatio);
}

// Load: a pool that fails entirely. Harm prevented: every request turns into
// MaxAttempts attempts at endpoints already in trouble. Retries are a fixed
// fraction of answers, so there are hardly any when no answers come. Each
// customer has its own budget, so that one with failing requests doesn't use up
// the others'. A customer without recent retry requests has its full balance
// back; otherwise it would get an error where one retry harms nobody.
bool retry_budget::spend(std::string_view Customer, mono_time Now) {
  const std::scoped_lock Lock(Mutex);
  auto &[Balance, LastSpendAt] = Accounts[std::string(Customer)];
  if (Now - LastSpendAt >= config::RetryRefillDelay)
    Balance = config::MaxRetryBalance;
  LastSpendAt = Now;
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
