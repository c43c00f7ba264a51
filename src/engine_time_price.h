#pragma once

#include "clock.h"

#include <map>
#include <string>
#include <string_view>

namespace clementinelane {

/// Prices engine time by the delay that it causes other requests of the
/// service. Does no I/O.
///
/// Load: engines near capacity, and requests that differ in urgency, length and
/// target latency. Harm prevented: a request with a long target takes the
/// largest model because it can wait itself, and requests with short targets
/// behind it are late or are answered by a small model. A delay costs a request
/// in proportion to its target latency. Requests that are less urgent than the
/// payer count in part.
class engine_time_price {
public:
  /// Counts a request for an engine of the service. 0 is the most urgent.
  void recordRequest(std::string_view Service, unsigned Priority,
                     duration TargetLatency);
  /// Cost of delaying all other requests of the service by `Delay`, relative to
  /// the value of an answer in time.
  double of(std::string_view Service, unsigned Priority, duration TargetLatency,
            duration Delay) const;

private:
  /// Requests of one priority, and the sum of their inverse targets; both are
  /// weighted by age.
  struct share {
    double Requests = 0;
    double InverseTargets = 0; ///< 1/s
  };
  using shares = std::map<unsigned, share>;

  std::map<std::string, shares, std::less<>> Services;
};

} // namespace clementinelane
