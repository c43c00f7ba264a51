#include "request_mix.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Priorities of routes that are told apart for one priority of a customer.
constexpr unsigned RouteRanks = 16;
/// Shares of ranks that stopped are dropped below this many requests.
constexpr double MinShareRequests = 0.01;

double inverseOf(duration TargetLatency) {
  return 1 / std::chrono::duration<double>(
                 std::max<duration>(TargetLatency, config::MinTimerDelay))
                 .count();
}

/// Time that a request of this rank may wait, in units of its target latency.
double toleranceOf(request_rank Rank) {
  return std::exp2(std::min(Rank.Priority + Rank.Route, config::MaxUrgency));
}

} // namespace

unsigned request_rank::order() const {
  return RouteRanks * Priority + std::min(Route, RouteRanks - 1);
}

void request_mix::recordRequest(std::string_view Service, request_rank Rank,
                                duration TargetLatency) {
  const auto Found = Services.find(Service);
  shares &Shares =
      Found == Services.end() ? Services[std::string(Service)] : Found->second;
  for (auto &[Each, Share] : Shares) {
    Share.Requests *= config::RequestMixForgettingFactor;
    Share.InverseTargets *= config::RequestMixForgettingFactor;
  }
  share &Own = Shares[Rank];
  Own.Requests += 1;
  Own.InverseTargets += inverseOf(TargetLatency);
  std::erase_if(Shares, [](const auto &Entry) {
    return Entry.second.Requests < MinShareRequests;
  });
}

double request_mix::delayCost(std::string_view Service, request_rank Rank,
                              duration TargetLatency, duration Delay) const {
  const double Price =
      config::EngineTimePrice * std::chrono::duration<double>(Delay).count();
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Price * inverseOf(TargetLatency);
  double Requests = 0;
  double Cost = 0;
  for (const auto &[Each, Share] : Found->second) {
    Requests += Share.Requests;
    Cost += Share.InverseTargets *
            (Each <= Rank ? 1.0 : config::LessUrgentDelayWeight);
  }
  return Price * Cost / Requests;
}

double request_mix::tolerance(std::string_view Service, request_rank Rank,
                              duration TargetLatency) const {
  const double Own = toleranceOf(Rank) / inverseOf(TargetLatency);
  double Least = Own;
  if (const auto Found = Services.find(Service); Found != Services.end())
    for (const auto &[Each, Share] : Found->second)
      Least = std::min(Least, toleranceOf(Each) * Share.Requests /
                                  Share.InverseTargets);
  return Own / Least;
}

} // namespace clementinelane
