#include "reach_watch.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

void reach_watch::connected(std::string_view Id, std::string_view DataCentre,
                            duration Took) {
  forget(Id);
  data_centre &Centre = Centres[std::string(DataCentre)];
  Centre.Unanswered.clear();
  const double Seconds = std::chrono::duration<double>(Took).count();
  if (Centre.Samples++ == 0) {
    Centre.MeanSeconds = Seconds;
    Centre.DeviationSeconds = Seconds / 2;
    return;
  }
  const double Off = Seconds - Centre.MeanSeconds;
  Centre.MeanSeconds += config::ConnectMeanWeight * Off;
  Centre.DeviationSeconds += config::ConnectDeviationWeight *
                             (std::abs(Off) - Centre.DeviationSeconds);
}

void reach_watch::failed(std::string_view Id, std::string_view DataCentre,
                         mono_time Now) {
  Silent.try_emplace(std::string(Id),
                     silent_endpoint{std::string(DataCentre), Now});
  Centres[std::string(DataCentre)].Unanswered.emplace(Id);
}

bool reach_watch::isCentreSilent(std::string_view DataCentre) const {
  const auto Centre = Centres.find(DataCentre);
  return Centre != Centres.end() &&
         Centre->second.Unanswered.size() >= config::SilentCentreEndpoints;
}

bool reach_watch::isSilent(std::string_view Id,
                           std::string_view DataCentre) const {
  return Silent.contains(Id) || isCentreSilent(DataCentre);
}

duration reach_watch::connectTimeout(std::string_view DataCentre) const {
  const auto Found = Centres.find(DataCentre);
  if (Found == Centres.end() ||
      Found->second.Samples < config::ConnectLeastSamples)
    return config::EndpointConnectTimeout;
  const data_centre &Centre = Found->second;
  const std::chrono::duration<double> Learned(
      Centre.MeanSeconds + config::ConnectDeviations * Centre.DeviationSeconds);
  return std::clamp<duration>(std::chrono::duration_cast<duration>(Learned),
                              config::LeastConnectTimeout,
                              config::EndpointConnectTimeout);
}

std::vector<std::string>
reach_watch::probesDue(const std::function<bool(std::string_view Id)> &IsKnown,
                       mono_time Now) {
  std::erase_if(Silent,
                [&](const auto &Entry) { return !IsKnown(Entry.first); });
  for (auto &[Name, Centre] : Centres)
    std::erase_if(Centre.Unanswered,
                  [&](const std::string &Id) { return !IsKnown(Id); });
  std::vector<std::string> Due;
  for (auto &[Id, Endpoint] : Silent) {
    if (Now - Endpoint.ProbedAt < config::SilentProbePause ||
        Due.size() >= config::MaxSilentProbes)
      continue;
    Endpoint.ProbedAt = Now;
    Due.push_back(Id);
  }
  return Due;
}

void reach_watch::forget(std::string_view Id) {
  if (const auto Found = Silent.find(Id); Found != Silent.end())
    Silent.erase(Found);
  for (auto &[Name, Centre] : Centres)
    if (const auto Entry = Centre.Unanswered.find(Id);
        Entry != Centre.Unanswered.end())
      Centre.Unanswered.erase(Entry);
}

} // namespace clementinelane
