#include "engine_time_price.h"

#include "config.h"

#include <algorithm>

namespace clementinelane {

namespace {

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double inverseOf(duration TargetLatency) {
  return 1 / std::max(seconds(TargetLatency), seconds(config::MinTimerDelay));
}

} // namespace

void engine_time_price::recordRequest(std::string_view Service,
                                      unsigned Priority,
                                      duration TargetLatency) {
  const auto Found = Services.find(Service);
  shares &Shares =
      Found == Services.end() ? Services[std::string(Service)] : Found->second;
  for (auto &[Each, Share] : Shares) {
    Share.Requests *= config::RequestMixForgettingFactor;
    Share.InverseTargets *= config::RequestMixForgettingFactor;
  }
  share &Own = Shares[Priority];
  Own.Requests += 1;
  Own.InverseTargets += inverseOf(TargetLatency);
}

double engine_time_price::of(std::string_view Service, unsigned Priority,
                             duration TargetLatency, duration Delay) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return config::EngineTimePrice * seconds(Delay) * inverseOf(TargetLatency);
  double Requests = 0;
  double Cost = 0;
  for (const auto &[Each, Share] : Found->second) {
    Requests += Share.Requests;
    Cost += Share.InverseTargets *
            (Each <= Priority ? 1.0 : config::LessUrgentDelayWeight);
  }
  return config::EngineTimePrice * seconds(Delay) * Cost / Requests;
}

} // namespace clementinelane
