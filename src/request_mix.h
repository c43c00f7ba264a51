#pragma once

#include "clock.h"

#include <compare>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace clementinelane {

/// Urgency of a request as configured; lower values are more urgent. A
/// customer's priority takes precedence over its route's. Higher priorities
/// than MaxPriority count as that.
struct request_rank {
  static constexpr unsigned MaxPriority = 15;
  unsigned Priority = 0; ///< the customer's, or the route's if it has none
  unsigned Route = 0;    ///< the route's
  auto operator<=>(const request_rank &) const = default;
  /// Position of this rank among all ranks.
  unsigned order() const;
};

/// Weighs the requests of a service against each other by rank and target
/// latency. Does no I/O.
///
/// Load: engines near capacity, and requests that differ in urgency, length and
/// target latency. Harm prevented: requests with long targets take the largest
/// model because they can wait themselves, and run first because their work is
/// short, while requests with short targets behind them are late or are
/// answered by a small model. A delay costs a request in proportion to its
/// target latency; requests that are less urgent than the payer count in part.
class request_mix {
public:
  /// Counts a request for an engine of the service.
  void recordRequest(std::string_view Service, request_rank Rank,
                     duration TargetLatency);
  /// Cost of delaying the service's requests by `Delay`, relative to the value
  /// of an answer in time.
  double delayCost(std::string_view Service, request_rank Rank,
                   duration TargetLatency, duration Delay) const;
  /// How many times longer than the most urgent requests of the service this
  /// one may wait for an engine: by its target latency, doubled by each step of
  /// its customer's and of its route's priority. 1 if this VM has seen no
  /// others.
  double tolerance(std::string_view Service, request_rank Rank,
                   duration TargetLatency) const;

private:
  /// Requests by rank and target; each request lowers the weight of those
  /// before it.
  using shares = std::map<std::pair<request_rank, duration>, double>;

  std::map<std::string, shares, std::less<>> Services;
};

} // namespace clementinelane
