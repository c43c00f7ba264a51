#include "fleet_retry_budget.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// Sums the slots from `First` down to `Last`, as ages counted back from the
/// newest slot, 0. Slots beyond the history or in the future count as empty.
template <typename Counts>
unsigned sumOf(const Counts &Values, std::int64_t Newest, std::int64_t First,
               std::int64_t Last) {
  const auto Size = static_cast<std::int64_t>(Values.size());
  unsigned Sum = 0;
  for (std::int64_t Back = std::max<std::int64_t>(Last, 0);
       Back <= std::min(First, Size - 1); ++Back)
    if (Newest >= Back)
      Sum += Values[static_cast<std::size_t>((Newest - Back) % Size)];
  return Sum;
}

} // namespace

fleet_retry_budget::account &fleet_retry_budget::at(std::string_view Service,
                                                    mono_time Now) {
  account &Account = Accounts[std::string(Service)];
  const std::int64_t Slot = Now.time_since_epoch() / (Limits.Window / Slots);
  const std::int64_t Passed = std::min(Slot - Account.Slot, History);
  for (std::int64_t I = 0; I < Passed; ++I) {
    const auto Index = static_cast<std::size_t>((Slot - I) % History);
    Account.Requests[Index] = 0;
    Account.Retries[Index] = 0;
  }
  Account.Slot = std::max(Account.Slot, Slot);
  return Account;
}

void fleet_retry_budget::recordRequest(std::string_view Service,
                                       mono_time Now) {
  account &Account = at(Service, Now);
  ++Account.Requests[static_cast<std::size_t>(Account.Slot % History)];
}

double fleet_retry_budget::availableIn(const account &Account,
                                       std::int64_t Ahead, double Share) const {
  // Ages of slots. The window of the newest slot may begin within that slot.
  const auto RequestsIn = [&](std::int64_t WindowsBack) {
    const std::int64_t Last = WindowsBack * (Slots / 2) - Ahead;
    return sumOf(Account.Requests, Account.Slot, Last + Slots - 1,
                 WindowsBack > 0 ? Last + 1 : Last);
  };
  const unsigned MaxRequests =
      std::max({RequestsIn(0), RequestsIn(1), RequestsIn(2)});
  const unsigned Retries =
      sumOf(Account.Retries, Account.Slot, Slots - Ahead, 0);
  return Share * (Limits.Ratio * MaxRequests + Limits.OwnAllowance) - Retries;
}

double fleet_retry_budget::available(std::string_view Service, mono_time Now,
                                     double Share) {
  const account &Account = at(Service, Now);
  double Minimum = availableIn(Account, 0, Share);
  for (std::int64_t Ahead = 1; Ahead <= Slots; ++Ahead)
    Minimum = std::min(Minimum, availableIn(Account, Ahead, Share));
  return Minimum;
}

bool fleet_retry_budget::tryAcquire(std::string_view Service, mono_time Now,
                                    double Share) {
  if (available(Service, Now, Share) < 1)
    return false;
  account &Account = at(Service, Now);
  ++Account.Retries[static_cast<std::size_t>(Account.Slot % History)];
  return true;
}

} // namespace clementinelane
