#pragma once

#include "clock.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinelane {

/// Bounds on the attempts of a fleet beyond the first of each request.
struct fleet_retry_limits {
  double Ratio = 0.9; ///< retries per request in a window
  duration Window = std::chrono::seconds(10);
  double OwnAllowance = 2; ///< this VM's share of the fleet's fixed allowance
};

/// Retries that this VM may still send to each service, without coordination
/// with other VMs.
///
/// Load: a service that fails or sheds load while every VM retries. Harm
/// prevented: the retries of the fleet keep it overloaded for good. The fleet's
/// bound holds in every window: its retries are at most a ratio of the requests
/// plus a fixed allowance, where the requests are those of the window itself,
/// of the window before, or of the one half a window before, whichever has
/// most. Each VM keeps this bound for the requests it received, so the sum
/// keeps it too. A retry counts in all windows of the next ten seconds, so it
/// is allowed only if it fits into each of them without any further request.
/// Both are counted in slots of a twentieth of the window; at the edges of a
/// window, slots of retries count in full and slots of requests not at all.
class fleet_retry_budget {
public:
  explicit fleet_retry_budget(fleet_retry_limits Limits) : Limits(Limits) {}

  void setLimits(fleet_retry_limits Value) { Limits = Value; }
  /// Counts a caller's request for `Service`.
  void recordRequest(std::string_view Service, mono_time Now);
  /// Takes one retry if available. A `Share` below 1 leaves the rest to more
  /// urgent retries.
  bool tryAcquire(std::string_view Service, mono_time Now, double Share = 1);
  /// Retries available now.
  double available(std::string_view Service, mono_time Now, double Share = 1);

private:
  static constexpr std::int64_t Slots = 20; ///< per window
  static constexpr std::int64_t History = 2 * Slots + 1;
  using counts = std::array<unsigned, History>;
  struct account {
    counts Requests{};
    counts Retries{};
    std::int64_t Slot = 0; ///< newest slot
  };
  account &at(std::string_view Service, mono_time Now);
  /// Retries that fit into the window whose newest slot is `Ahead` slots from
  /// now.
  double availableIn(const account &Account, std::int64_t Ahead,
                     double Share) const;

  fleet_retry_limits Limits;
  std::unordered_map<std::string, account> Accounts;
};

} // namespace clementinelane
