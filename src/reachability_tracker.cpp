#include "reachability_tracker.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Connections that take longer are late whatever their distance.
constexpr auto PromptConnectTime = config::EndpointConnectTimeout / 2;
/// Data centres that are delayed at once until the own link is the likelier
/// cause, and how long a delay counts.
constexpr std::size_t OwnLinkCentres = 2;
constexpr auto DelayTtl = std::chrono::seconds(1);

} // namespace

void reachability_tracker::connected(std::string_view Id,
                                     std::string_view DataCentre,
                                     duration Elapsed, mono_time Now) {
  forget(Id);
  if (Elapsed < PromptConnectTime)
    DelayedAt.clear();
  else
    recordDelay(DataCentre, Now);
  data_centre &Centre = Centres[std::string(DataCentre)];
  Centre.Unanswered.clear();
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  if (Centre.Samples++ == 0) {
    Centre.MeanSeconds = Seconds;
    Centre.DeviationSeconds = Seconds / 2;
    return;
  }
  const double Deviation = Seconds - Centre.MeanSeconds;
  Centre.MeanSeconds += config::ConnectMeanWeight * Deviation;
  Centre.DeviationSeconds += config::ConnectDeviationWeight *
                             (std::abs(Deviation) - Centre.DeviationSeconds);
}

void reachability_tracker::connectFailed(std::string_view Id,
                                         std::string_view DataCentre,
                                         mono_time Now, bool IsRefused) {
  const auto [Endpoint, IsNew] = Unreachable.try_emplace(
      std::string(Id), unreachable_endpoint{std::string(DataCentre), Now});
  Endpoint->second.IsRefused = IsRefused;
  Endpoint->second.IsDoubtful = isOwnLinkUnsteady(Now);
  data_centre &Centre = Centres[std::string(DataCentre)];
  Centre.Unanswered.emplace(Id);
  Centre.IsRefused = IsRefused;
  Centre.IsDoubtful = isOwnLinkUnsteady(Now);
  if (!IsRefused)
    recordDelay(DataCentre, Now);
}

bool reachability_tracker::isCentreUnreachable(
    std::string_view DataCentre) const {
  const auto Centre = Centres.find(DataCentre);
  return Centre != Centres.end() &&
         Centre->second.Unanswered.size() >= config::UnreachableCentreThreshold;
}

bool reachability_tracker::isUnreachable(std::string_view Id,
                                         std::string_view DataCentre) const {
  return Unreachable.contains(Id) || isCentreUnreachable(DataCentre);
}

bool reachability_tracker::isSilent(std::string_view Id,
                                    std::string_view DataCentre) const {
  if (const auto Found = Unreachable.find(Id); Found != Unreachable.end())
    return !Found->second.IsRefused && !Found->second.IsDoubtful;
  const auto Centre = Centres.find(DataCentre);
  return Centre != Centres.end() && isCentreUnreachable(DataCentre) &&
         !Centre->second.IsRefused && !Centre->second.IsDoubtful;
}

bool reachability_tracker::isDoubtful(std::string_view Id) const {
  const auto Found = Unreachable.find(Id);
  return Found != Unreachable.end() && Found->second.IsDoubtful;
}

duration
reachability_tracker::connectTimeout(std::string_view DataCentre) const {
  const auto Found = Centres.find(DataCentre);
  if (Found == Centres.end() ||
      Found->second.Samples < config::MinConnectSamples)
    return config::EndpointConnectTimeout;
  const data_centre &Centre = Found->second;
  const std::chrono::duration<double> Learned(
      Centre.MeanSeconds + config::ConnectDeviations * Centre.DeviationSeconds);
  return std::clamp<duration>(std::chrono::duration_cast<duration>(Learned),
                              config::MinConnectTimeout,
                              config::EndpointConnectTimeout);
}

std::vector<std::string> reachability_tracker::probesDue(
    const std::function<bool(std::string_view Id)> &IsKnown, mono_time Now) {
  std::erase_if(Unreachable,
                [&](const auto &Entry) { return !IsKnown(Entry.first); });
  for (auto &[Name, Centre] : Centres)
    std::erase_if(Centre.Unanswered,
                  [&](const std::string &Id) { return !IsKnown(Id); });
  std::vector<std::string> Due;
  for (auto &[Id, Endpoint] : Unreachable) {
    if (Now - Endpoint.ProbedAt < config::UnreachableProbeInterval ||
        Due.size() >= config::MaxProbesPerRound)
      continue;
    Endpoint.ProbedAt = Now;
    Due.push_back(Id);
  }
  return Due;
}

std::vector<std::string> reachability_tracker::takeNewlyUnreachable() {
  std::vector<std::string> Found;
  for (auto &[Id, Endpoint] : Unreachable)
    if (Endpoint.IsNew && Found.size() < config::MaxProbesPerRound) {
      Endpoint.IsNew = false;
      Found.push_back(Id);
    }
  return Found;
}

void reachability_tracker::peerUnanswered(std::string_view DataCentre,
                                          mono_time Now) {
  recordDelay(DataCentre, Now);
}

// Endpoints that failed while the own link is slow stay marked when it is free
// again, until a connection succeeds. Streams to them may well be alive.
void reachability_tracker::recordDelay(std::string_view DataCentre,
                                       mono_time Now) {
  DelayedAt.insert_or_assign(std::string(DataCentre), Now);
  if (!isOwnLinkSlow(Now))
    return;
  OwnLinkSlowAt = Now;
  for (auto &[Id, Endpoint] : Unreachable)
    Endpoint.IsDoubtful = true;
  for (auto &[Name, Centre] : Centres)
    Centre.IsDoubtful = true;
}

bool reachability_tracker::isOwnLinkSlow(mono_time Now) const {
  const auto Recent = std::count_if(
      DelayedAt.begin(), DelayedAt.end(),
      [Now](const auto &Entry) { return Now - Entry.second <= DelayTtl; });
  return static_cast<std::size_t>(Recent) >= OwnLinkCentres;
}

// A link that fills again after a single prompt connection delays the next ones
// one after the other.
bool reachability_tracker::isOwnLinkUnsteady(mono_time Now) const {
  return OwnLinkSlowAt && Now - *OwnLinkSlowAt <= DelayTtl;
}

void reachability_tracker::forget(std::string_view Id) {
  if (const auto Found = Unreachable.find(Id); Found != Unreachable.end())
    Unreachable.erase(Found);
  for (auto &[Name, Centre] : Centres)
    if (const auto Entry = Centre.Unanswered.find(Id);
        Entry != Centre.Unanswered.end())
      Centre.Unanswered.erase(Entry);
}

} // namespace clementinelane
