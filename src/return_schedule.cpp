#include "return_schedule.h"

#include <algorithm>

namespace clementinelane {

namespace {

constexpr auto LateTolerance = std::chrono::seconds(2);
constexpr std::size_t MaxPlanned = 4096;

} // namespace

duration return_schedule::plan(const share_key &Key, std::uint64_t Request,
                               double RatePerSecond, duration Longest,
                               mono_time Now) {
  const auto Spacing = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / std::max(RatePerSecond, 0.01)));
  const auto Known = LastPlanned.find(Key);
  const mono_time At =
      std::max(Now, Known == LastPlanned.end() ? Now : Known->second) + Spacing;
  if (At - Now > Longest || Due.size() >= MaxPlanned)
    return At - Now;
  LastPlanned[Key] = At;
  Due[Request] = At;
  return At - Now;
}

return_standing return_schedule::standingOf(std::uint64_t Request,
                                            mono_time Now) const {
  const auto Found = Due.find(Request);
  if (Found == Due.end())
    return return_standing::Unplanned;
  return Found->second > Now ? return_standing::Early : return_standing::Due;
}

void return_schedule::finish(std::uint64_t Request) { Due.erase(Request); }

void return_schedule::applyPeer(const return_note &Note, mono_time Now) {
  if (Due.size() < MaxPlanned)
    Due[Note.Request] = Now + Note.DueIn;
}

std::vector<return_note> return_schedule::takeOutgoing(mono_time) { return {}; }

void return_schedule::expire(mono_time Now) {
  std::erase_if(Due, [Now](const auto &Each) {
    return Now - Each.second > LateTolerance;
  });
  std::erase_if(LastPlanned, [Now](const auto &Each) {
    return Now - Each.second > LateTolerance;
  });
}

} // namespace clementinelane
