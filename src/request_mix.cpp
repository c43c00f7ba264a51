#include "request_mix.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Shares of requests that stopped are dropped below this many.
constexpr double MinShareRequests = 0.01;
/// No engine answers faster; a shorter target would outweigh all others.
constexpr auto MinEngineTarget = std::chrono::milliseconds(50);

double inverseOf(duration TargetLatency) {
  return 1 / std::chrono::duration<double>(
                 std::max<duration>(TargetLatency, MinEngineTarget))
                 .count();
}

double toleranceOf(request_rank Rank, duration TargetLatency) {
  return std::exp2(std::min(Rank.Priority + Rank.Route, config::MaxUrgency)) /
         inverseOf(TargetLatency);
}

} // namespace

unsigned request_rank::order() const {
  return (MaxPriority + 1) * Priority + Route;
}

void request_mix::recordRequest(std::string_view Service, request_rank Rank,
                                duration TargetLatency) {
  const auto Found = Services.find(Service);
  shares &Shares =
      Found == Services.end() ? Services[std::string(Service)] : Found->second;
  for (auto &[Kind, Requests] : Shares)
    Requests *= config::RequestMixForgettingFactor;
  Shares[{Rank, TargetLatency}] += 1;
  std::erase_if(Shares, [](const auto &Share) {
    return Share.second < MinShareRequests;
  });
}

double request_mix::delayCost(std::string_view Service, request_rank Rank,
                              duration TargetLatency, duration Delay) const {
  const double Price =
      config::EngineTimePrice * std::chrono::duration<double>(Delay).count();
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Price * inverseOf(TargetLatency);
  double All = 0;
  double Cost = 0;
  for (const auto &[Kind, Requests] : Found->second) {
    const auto &[Each, Target] = Kind;
    All += Requests;
    Cost += Requests * inverseOf(Target) *
            (Each <= Rank ? 1.0 : config::LessUrgentDelayWeight);
  }
  return Price * Cost / All;
}

double request_mix::tolerance(std::string_view Service, request_rank Rank,
                              duration TargetLatency) const {
  const double Own = toleranceOf(Rank, TargetLatency);
  double Least = Own;
  if (const auto Found = Services.find(Service); Found != Services.end())
    for (const auto &[Kind, Requests] : Found->second)
      Least = std::min(Least, toleranceOf(Kind.first, Kind.second));
  return Own / Least;
}

} // namespace clementinelane
