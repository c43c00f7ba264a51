#include "placement.h"

#include <algorithm>

namespace clementinelane {

result<placement> placer::place(const configuration &Config,
                                const placement_request &Request, mono_time) {
  const std::scoped_lock Lock(Mutex);
  std::vector<const endpoint_spec *> Found;
  for (const auto &[Name, Endpoint] : Config.Endpoints) {
    const bool Excluded =
        std::find(Request.Exclude.begin(), Request.Exclude.end(), Name) !=
        Request.Exclude.end();
    if (Endpoint.Pool != Request.Pool || Excluded || Endpoint.Leaving ||
        Loads[Name].Leaving)
      continue;
    if (Request.Only.empty() || Request.Only == Name)
      Found.push_back(&Endpoint);
  }
  if (Found.empty())
    return error_kind::NoEndpoint;
  std::shuffle(Found.begin(), Found.end(), Random);
  const auto Rank = [&](const endpoint_spec *Each) {
    return std::pair(Each->DataCentre != DataCentre,
                     Loads[Each->Name].InFlight);
  };
  std::stable_sort(
      Found.begin(), Found.end(),
      [&](const auto *A, const auto *B) { return Rank(A) < Rank(B); });
  ++Loads[Found.front()->Name].InFlight;
  return placement{*Found.front(),
                   Found.front()->DataCentre == DataCentre ? "local_least"
                                                           : "remote_least",
                   Found.size() > 1 ? Found[1]->Name : ""};
}

void placer::finished(const std::string &Endpoint, std::uint64_t,
                      attempt_outcome, duration, mono_time) {
  const std::scoped_lock Lock(Mutex);
  if (auto &Load = Loads[Endpoint]; Load.InFlight > 0)
    --Load.InFlight;
}

void placer::markLeaving(const std::string &Endpoint, bool IsLeaving) {
  const std::scoped_lock Lock(Mutex);
  Loads[Endpoint].Leaving = IsLeaving;
}

} // namespace clementinelane
