#include "crash_detector.h"

#include "config.h"

#include <utility>

namespace clementinelane {

crash_detector::verdict
crash_detector::connectionLost(const endpoint_info &Endpoint,
                               crash_suspect Suspect, mono_time Now) {
  auto [Found, IsNew] = Entries.try_emplace(Endpoint.Id);
  entry &Entry = Found->second;
  if (!IsNew && Entry.Incarnation != Endpoint.Incarnation) {
    Entry = entry{};
    IsNew = true;
  }
  if (!IsNew && Entry.HasCrashed)
    return verdict::Crashed;
  Entry.Suspects.push_back(std::move(Suspect));
  if (!IsNew)
    return verdict::Wait;
  Entry.Incarnation = Endpoint.Incarnation;
  Entry.At = Now;
  return verdict::Probe;
}

std::vector<crash_suspect>
crash_detector::probeFinished(std::string_view EndpointId, bool IsAnswered,
                              mono_time Now) {
  const auto Found = Entries.find(EndpointId);
  if (Found == Entries.end())
    return {};
  if (IsAnswered) {
    Entries.erase(Found);
    return {};
  }
  Found->second.HasCrashed = true;
  Found->second.At = Now;
  return std::exchange(Found->second.Suspects, {});
}

void crash_detector::expire(mono_time Now) {
  std::erase_if(Entries, [Now](const auto &Item) {
    return Now - Item.second.At >= config::CrashVerdictTtl;
  });
}

} // namespace clementinelane
