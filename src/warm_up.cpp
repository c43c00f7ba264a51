#include "warm_up.h"

#include "config.h"

#include <algorithm>

namespace clementinelane {

void warm_up::setRule(std::string_view Service, const cold_rule &Rule) {
  Rules.insert_or_assign(std::string(Service), Rule);
}

bool warm_up::isBounded(std::string_view Service) const {
  const auto Rule = Rules.find(Service);
  return Rule != Rules.end() && Rule->second.RequestsPerSecond > 0;
}

duration warm_up::coldTime(std::string_view Service) const {
  return isBounded(Service) ? Rules.find(Service)->second.Time
                            : duration::zero();
}

void warm_up::setVms(std::uint64_t OwnHash,
                     std::vector<std::uint64_t> OtherHashes) {
  if (!Owners.setVms(OwnHash, std::move(OtherHashes)))
    return;
  for (auto &[Endpoint, Entry] : Entries)
    Entry.IsOwner = Owners.owns(Endpoint, config::WarmUpOwners);
}

warm_up::entry &warm_up::at(std::uint32_t Endpoint) {
  const auto [Found, IsNew] = Entries.try_emplace(Endpoint);
  if (IsNew)
    Found->second.IsOwner = Owners.owns(Endpoint, config::WarmUpOwners);
  return Found->second;
}

void warm_up::noteCold(std::uint32_t Endpoint, duration For, mono_time Now) {
  if (For <= duration::zero())
    return;
  entry &Entry = at(Endpoint);
  Entry.ColdUntil = std::max(
      Entry.ColdUntil, Now + std::min<duration>(For, config::MostColdTime));
}

void warm_up::noteStart(std::uint32_t Endpoint, std::string_view Service,
                        mono_time Now) {
  if (!isBounded(Service))
    return;
  entry &Entry = at(Endpoint);
  Entry.SeenUntil = Now + coldTime(Service);
  Entry.ColdUntil = std::max(Entry.ColdUntil, Entry.SeenUntil);
}

void warm_up::noteTold(const cold_note &Note, mono_time Now) {
  noteCold(Note.Endpoint, Note.Left, Now);
}

bool warm_up::isCold(std::uint32_t Endpoint, mono_time Now) const {
  const auto Entry = Entries.find(Endpoint);
  return Entry != Entries.end() && Entry->second.ColdUntil > Now;
}

bool warm_up::mayTake(std::uint32_t Endpoint, std::string_view Service,
                      mono_time Now) const {
  const auto Entry = Entries.find(Endpoint);
  if (Entry == Entries.end() || Entry->second.ColdUntil <= Now ||
      !isBounded(Service))
    return true;
  return Entry->second.IsOwner && Entry->second.NextAt <= Now;
}

mono_time warm_up::nextAt(std::uint32_t Endpoint, mono_time Now) const {
  const auto Found = Entries.find(Endpoint);
  if (Found == Entries.end())
    return Now;
  const entry &Entry = Found->second;
  const mono_time Place = Entry.IsOwner ? Entry.NextAt : Entry.ColdUntil;
  return std::max(Now, std::min(Place, Entry.ColdUntil));
}

duration warm_up::spacing(std::string_view Service) const {
  const auto Count = static_cast<double>(Owners.owners(config::WarmUpOwners));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      Count / Rules.find(Service)->second.RequestsPerSecond));
}

void warm_up::taken(std::uint32_t Endpoint, std::string_view Service,
                    mono_time Now) {
  if (isCold(Endpoint, Now) && isBounded(Service))
    Entries[Endpoint].NextAt = Now + spacing(Service);
}

void warm_up::expire(mono_time Now) {
  std::erase_if(Entries, [Now](const auto &Entry) {
    return std::max(Entry.second.ColdUntil, Entry.second.NextAt) <= Now;
  });
}

std::vector<cold_note> warm_up::notes(mono_time Now) const {
  std::vector<cold_note> Notes;
  for (const auto &[Endpoint, Entry] : Entries)
    if (Entry.SeenUntil > Now && Notes.size() < config::MaxDigestCold)
      Notes.push_back({Endpoint, std::chrono::ceil<std::chrono::milliseconds>(
                                     Entry.SeenUntil - Now)});
  return Notes;
}

std::size_t warm_up::cold(mono_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [Now](const auto &Entry) {
        return Entry.second.ColdUntil > Now;
      }));
}

} // namespace clementinelane
