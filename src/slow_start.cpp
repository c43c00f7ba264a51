#include "slow_start.h"

#include "config.h"

#include <algorithm>

namespace clementinelane {

namespace {

/// An endpoint takes longer to restart.
constexpr auto MinRestartTime = std::chrono::milliseconds(500);

} // namespace

void slow_start::setRule(std::string_view Service,
                         const slow_start_rule &Rule) {
  Rules.insert_or_assign(std::string(Service), Rule);
}

bool slow_start::isRateLimited(std::string_view Service) const {
  const auto Rule = Rules.find(Service);
  return Rule != Rules.end() && Rule->second.RequestsPerSecond > 0;
}

duration slow_start::coldTime(std::string_view Service) const {
  return isRateLimited(Service) ? Rules.find(Service)->second.ColdTime
                                : duration::zero();
}

void slow_start::setVms(std::uint64_t OwnHash,
                        std::vector<std::uint64_t> OtherHashes) {
  if (!Owners.setVms(OwnHash, std::move(OtherHashes)))
    return;
  for (auto &[Endpoint, Entry] : Entries)
    Entry.IsOwner = Owners.owns(Endpoint, config::SlowStartOwners);
}

slow_start::entry &slow_start::at(std::uint32_t Endpoint) {
  const auto [Found, IsNew] = Entries.try_emplace(Endpoint);
  if (IsNew)
    Found->second.IsOwner = Owners.owns(Endpoint, config::SlowStartOwners);
  return Found->second;
}

void slow_start::markCold(std::uint32_t Endpoint, duration For, mono_time Now) {
  if (For <= duration::zero())
    return;
  entry &Entry = at(Endpoint);
  Entry.SharedColdUntil =
      std::max(Entry.SharedColdUntil,
               Now + std::min<duration>(For, config::MaxColdTime));
}

void slow_start::markRestarted(std::uint32_t Endpoint, std::string_view Service,
                               mono_time Now) {
  if (!isRateLimited(Service))
    return;
  entry &Entry = at(Endpoint);
  if (Entry.LocalColdUntil <= Now)
    Entry.LocalColdSince = Now;
  Entry.LocalColdUntil = Now + coldTime(Service);
}

void slow_start::retractRestart(std::uint32_t Endpoint, mono_time Now) {
  const auto Entry = Entries.find(Endpoint);
  if (Entry != Entries.end() &&
      Now - Entry->second.LocalColdSince < MinRestartTime)
    Entry->second.LocalColdUntil = {};
}

void slow_start::applyPeerColdNote(const cold_note &Note, mono_time Now) {
  markCold(Note.Endpoint, Note.Remaining, Now);
}

bool slow_start::isCold(std::uint32_t Endpoint, mono_time Now) const {
  const auto Entry = Entries.find(Endpoint);
  return Entry != Entries.end() && Entry->second.coldUntil() > Now;
}

bool slow_start::maySend(std::uint32_t Endpoint, std::string_view Service,
                         mono_time Now) const {
  const auto Entry = Entries.find(Endpoint);
  if (Entry == Entries.end() || Entry->second.coldUntil() <= Now ||
      !isRateLimited(Service))
    return true;
  return Entry->second.IsOwner && Entry->second.NextSendAt <= Now;
}

mono_time slow_start::nextSendTime(std::uint32_t Endpoint,
                                   mono_time Now) const {
  const auto Found = Entries.find(Endpoint);
  if (Found == Entries.end())
    return Now;
  const entry &Entry = Found->second;
  const mono_time Place = Entry.IsOwner ? Entry.NextSendAt : Entry.coldUntil();
  return std::max(Now, std::min(Place, Entry.coldUntil()));
}

duration slow_start::spacing(std::string_view Service) const {
  const auto Count =
      static_cast<double>(Owners.ownerCount(config::SlowStartOwners));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      Count / Rules.find(Service)->second.RequestsPerSecond));
}

void slow_start::recordSend(std::uint32_t Endpoint, std::string_view Service,
                            mono_time Now) {
  if (isCold(Endpoint, Now) && isRateLimited(Service))
    Entries[Endpoint].NextSendAt = Now + spacing(Service);
}

void slow_start::expire(mono_time Now) {
  std::erase_if(Entries, [Now](const auto &Entry) {
    return std::max(Entry.second.coldUntil(), Entry.second.NextSendAt) <= Now;
  });
}

std::vector<cold_note> slow_start::ownNotes(mono_time Now,
                                            duration MinAge) const {
  std::vector<cold_note> Notes;
  for (const auto &[Endpoint, Entry] : Entries)
    if (Entry.LocalColdUntil > Now && Now - Entry.LocalColdSince >= MinAge &&
        Notes.size() < config::MaxDigestCold)
      Notes.push_back({Endpoint, std::chrono::ceil<std::chrono::milliseconds>(
                                     Entry.LocalColdUntil - Now)});
  return Notes;
}

std::size_t slow_start::countCold(mono_time Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [Now](const auto &Entry) {
        return Entry.second.coldUntil() > Now;
      }));
}

} // namespace clementinelane
