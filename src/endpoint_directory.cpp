#include "endpoint_directory.h"

#include "config.h"
#include "peer_loads.h"

#include <algorithm>
#include <set>
#include <utility>

namespace clementinelane {

void endpoint_directory::apply(std::string_view Id,
                               std::optional<endpoint_info> Info,
                               mono_time Now) {
  const auto Held = Outdated.find(Id);
  const bool WasOutdated = Held != Outdated.end();
  if (WasOutdated)
    Outdated.erase(Held);
  if (Info) {
    Info->Id = Id;
    if (WasOutdated || isNewLife(*Info))
      removeReplaced(*Info, Now);
    put(std::move(*Info));
    return;
  }
  if (const auto Entry = Entries.find(Id); Entry != Entries.end())
    remove(Entry, isLapse(Now), Now);
}

bool endpoint_directory::isNewLife(const endpoint_info &Info) const {
  const endpoint_info *Known = find(Info.Id);
  return !Known || Known->Incarnation != Info.Incarnation;
}

void endpoint_directory::put(endpoint_info Info) {
  const std::string Id = Info.Id;
  if (find(Id) && isNewLife(Info))
    Leaves.forget(digestHash(Id));
  Removed.erase(Id);
  Entries.insert_or_assign(Id, entry{std::move(Info), std::nullopt});
}

// Failure: an endpoint crashes and another one starts at its address. The old
// entry stays listed for some heartbeats and attracts requests that can't run
// there.
void endpoint_directory::removeReplaced(const endpoint_info &By,
                                        mono_time Now) {
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    const endpoint_info &Old = Entry->second.Info;
    const bool IsReplaced =
        Old.Address == By.Address && Old.Id != By.Id &&
        (Old.Incarnation < By.Incarnation ||
         (Entry->second.KeptUntil && By.State == endpoint_state::Ready));
    Entry = IsReplaced ? erase(Entry, Now) : std::next(Entry);
  }
}

endpoint_directory::entries::iterator
endpoint_directory::erase(entries::iterator Entry, mono_time Now) {
  if (Removed.size() >= config::MaxRemovedEntries)
    Removed.erase(std::min_element(Removed.begin(), Removed.end(),
                                   [](const auto &A, const auto &B) {
                                     return A.second.At < B.second.At;
                                   }));
  Removed.insert_or_assign(Entry->first,
                           removal{Entry->second.Info.Incarnation, Now});
  return Entries.erase(Entry);
}

bool endpoint_directory::isLapse(mono_time Now) const {
  return IsSourceLost || (SourceRestoredAt && Now - *SourceRestoredAt < Grace);
}

void endpoint_directory::remove(entries::iterator Entry, bool IsLapse,
                                mono_time Now) {
  // An endpoint that announced its leave doesn't register again.
  if (!IsLapse || isLeaving(Entry->second.Info)) {
    erase(Entry, Now);
    return;
  }
  const bool IsOutage = isLapse(Now) && !IsSourceLost && !IsRestoredListDue;
  if (!Entry->second.KeptUntil)
    Entry->second.KeptUntil = (IsOutage ? *SourceRestoredAt : Now) + Grace;
}

void endpoint_directory::onStoreEra(mono_time Now) {
  std::erase_if(Removed, [Now](const auto &Entry) {
    return Now - Entry.second.At >= config::RemovedEntryTtl;
  });
  IsRestoredListDue = true;
  AreRestoredOrdersDue = true;
}

/// The newest incarnation that is known to be gone or leaving, if `Listed`
/// isn't newer.
std::optional<std::uint64_t>
endpoint_directory::outdatedUntil(const endpoint_info &Listed) const {
  const auto NotNewer = [&Listed](std::uint64_t Gone) {
    return Listed.Incarnation <= Gone ? std::optional(Gone) : std::nullopt;
  };
  if (const auto Held = Outdated.find(Listed.Id); Held != Outdated.end())
    return NotNewer(Held->second);
  if (!IsRestoredListDue)
    return std::nullopt;
  if (const endpoint_info *Known = find(Listed.Id)) {
    const bool IsGone = Known->State == endpoint_state::Leaving ||
                        Listed.Incarnation < Known->Incarnation;
    return IsGone ? NotNewer(Known->Incarnation) : std::nullopt;
  }
  if (const auto Gone = Removed.find(Listed.Id); Gone != Removed.end())
    return NotNewer(Gone->second.Incarnation);
  const bool HasLaterOwner =
      std::any_of(Entries.begin(), Entries.end(), [&Listed](const auto &Entry) {
        const endpoint_info &Other = Entry.second.Info;
        return Other.Address == Listed.Address &&
               Other.Incarnation > Listed.Incarnation;
      });
  return HasLaterOwner ? std::optional(Listed.Incarnation) : std::nullopt;
}

void endpoint_directory::replace(std::vector<endpoint_info> Infos,
                                 mono_time Now) {
  std::set<std::string, std::less<>> Listed;
  std::set<std::string, std::less<>> Addresses;
  std::map<std::string, std::uint64_t, std::less<>> StillOutdated;
  for (endpoint_info &Info : Infos) {
    if (const auto Until = outdatedUntil(Info)) {
      StillOutdated.emplace(Info.Id, *Until);
      Info.State = endpoint_state::Leaving;
      // The known incarnation is missing from the list.
      if (const auto *Known = find(Info.Id);
          Known && Known->Incarnation > Info.Incarnation)
        continue;
    } else if (isNewLife(Info)) {
      removeReplaced(Info, Now);
    }
    if (Info.State == endpoint_state::Ready)
      Addresses.insert(Info.Address);
    Listed.insert(Info.Id);
    put(std::move(Info));
  }
  Outdated = std::move(StillOutdated);
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    const auto This = Entry++;
    if (Listed.contains(This->first))
      continue;
    const bool IsKept = IsRestoredListDue || This->second.KeptUntil;
    const bool IsReplaced =
        IsKept && Addresses.contains(This->second.Info.Address);
    remove(This, !IsReplaced && (IsKept || isLapse(Now)), Now);
  }
  IsRestoredListDue = false;
  IsSynced = true;
}

void endpoint_directory::onSourceLost(mono_time /*Now*/) {
  IsSourceLost = true;
}

void endpoint_directory::onSourceRestored(mono_time Now) {
  if (!IsSourceLost)
    return;
  IsSourceLost = false;
  SourceRestoredAt = Now;
  for (auto &[Id, Entry] : Entries)
    if (Entry.KeptUntil)
      Entry.KeptUntil = Now + Grace;
  for (auto &[Centre, Until] : LostEvacuations)
    Until = Now + config::LostEvacuationGrace;
}

void endpoint_directory::setEvacuated(
    std::set<std::string, std::less<>> DataCentres, mono_time Now) {
  if (std::exchange(AreRestoredOrdersDue, false))
    for (const std::string &Centre : Evacuated)
      LostEvacuations.insert_or_assign(Centre,
                                       Now + config::LostEvacuationGrace);
  Evacuated = std::move(DataCentres);
  std::erase_if(LostEvacuations, [this](const auto &Lost) {
    return Evacuated.contains(Lost.first);
  });
  for (const auto &[Centre, Until] : LostEvacuations)
    Evacuated.insert(Centre);
}

std::vector<std::string> endpoint_directory::expireEvacuations(mono_time Now) {
  std::vector<std::string> Ended;
  // Meanwhile the operator can't write its orders again.
  if (IsSourceLost)
    return Ended;
  std::erase_if(LostEvacuations, [&Ended, Now](const auto &Lost) {
    if (Lost.second > Now)
      return false;
    Ended.push_back(Lost.first);
    return true;
  });
  for (const std::string &Centre : Ended)
    Evacuated.erase(Centre);
  return Ended;
}

bool endpoint_directory::recordLeave(std::string_view Id, mono_time Now) {
  return Leaves.recordAnswer(digestHash(Id), Now);
}

bool endpoint_directory::isLeaving(const endpoint_info &Info) const {
  return Info.State == endpoint_state::Leaving ||
         (Leaves.size() > 0 && Leaves.isLeaving(digestHash(Info.Id)));
}

bool endpoint_directory::expire(mono_time Now) {
  const bool HasReturned = Leaves.expire(Now);
  if (IsSourceLost)
    return HasReturned;
  for (auto Entry = Entries.begin(); Entry != Entries.end();) {
    const auto &KeptUntil = Entry->second.KeptUntil;
    Entry =
        KeptUntil && *KeptUntil <= Now ? erase(Entry, Now) : std::next(Entry);
  }
  // Before the list of a new era they are all needed.
  if (!IsRestoredListDue)
    std::erase_if(Removed, [Now](const auto &Entry) {
      return Now - Entry.second.At >= config::RemovedEntryTtl;
    });
  return HasReturned;
}

std::vector<const endpoint_info *>
endpoint_directory::usable(std::string_view Service) const {
  std::vector<const endpoint_info *> Found;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Info.Service == Service && !isLeaving(Entry.Info) &&
        !Evacuated.contains(Entry.Info.DataCentre))
      Found.push_back(&Entry.Info);
  return Found;
}

std::vector<const endpoint_info *>
endpoint_directory::inDataCentre(std::string_view DataCentre) const {
  std::vector<const endpoint_info *> Found;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Info.DataCentre == DataCentre)
      Found.push_back(&Entry.Info);
  return Found;
}

const endpoint_info *
endpoint_directory::findByAddress(std::string_view Address) const {
  const endpoint_info *Found = nullptr;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.Info.Address != Address)
      continue;
    if (!isLeaving(Entry.Info))
      return &Entry.Info;
    Found = &Entry.Info;
  }
  return Found;
}

std::vector<const endpoint_info *> endpoint_directory::all() const {
  std::vector<const endpoint_info *> Found;
  Found.reserve(Entries.size());
  for (const auto &[Id, Entry] : Entries)
    Found.push_back(&Entry.Info);
  return Found;
}

const endpoint_info *endpoint_directory::find(std::string_view Id) const {
  const auto Entry = Entries.find(Id);
  return Entry == Entries.end() ? nullptr : &Entry->second.Info;
}

} // namespace clementinelane
