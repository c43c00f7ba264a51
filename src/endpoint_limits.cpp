#include "endpoint_limits.h"

#include "config.h"

#include <algorithm>

namespace clementinelane {

// Load: a rolling replacement of VMs moves the ownership of endpoints
// repeatedly. New owners wait for one interval first; otherwise each change
// would add a request at once.
void endpoint_limits::setVms(std::uint64_t Own,
                             std::vector<std::uint64_t> Others, mono_time Now) {
  if (!Owners.setVms(Own, std::move(Others)))
    return;
  for (auto &[Endpoint, Entry] : Entries) {
    if (!Entry.Limit)
      continue;
    const bool WasOwner = Entry.IsOwner;
    Entry.IsOwner = Owners.owns(Endpoint, ownerCountFor(*Entry.Limit));
    if (Entry.IsOwner && !WasOwner)
      Entry.NextSendAt =
          std::max(Entry.NextSendAt, Now + spacing(*Entry.Limit));
  }
}

std::size_t endpoint_limits::ownerCountFor(double Limit) {
  return config::MinLimitOwners +
         static_cast<std::size_t>(std::min(Limit, config::MaxEndpointLimit));
}

// An endpoint with a limit of zero still gets an occasional request, since only
// an answer shows that it accepts requests again.
duration endpoint_limits::spacing(double Limit) const {
  const auto Count =
      static_cast<double>(Owners.ownerCount(ownerCountFor(Limit)));
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      Count / std::max(Limit, config::MinEndpointLimit)));
}

void endpoint_limits::set(std::uint32_t Endpoint, std::optional<double> Limit,
                          mono_time At, bool IsLocal) {
  entry &Entry = Entries[Endpoint];
  const bool HasChanged = Entry.Limit != Limit;
  Entry.Limit = Limit;
  Entry.AnsweredAt = At;
  Entry.IsLocal = IsLocal;
  if (Limit && HasChanged)
    Entry.IsOwner = Owners.owns(Endpoint, ownerCountFor(*Limit));
}

bool endpoint_limits::recordAnswer(std::uint32_t Endpoint,
                                   std::optional<double> RequestsPerSecond,
                                   mono_time Now) {
  const auto Found = Entries.find(Endpoint);
  if (Found == Entries.end() && !RequestsPerSecond)
    return false;
  const bool IsChange =
      Found == Entries.end() || Found->second.Limit != RequestsPerSecond;
  set(Endpoint, RequestsPerSecond, Now, true);
  return IsChange;
}

void endpoint_limits::applyPeerLimitNote(const limit_note &Note,
                                         mono_time Now) {
  const mono_time At = Now - Note.Age;
  const auto Found = Entries.find(Note.Endpoint);
  if (Found == Entries.end() ? !Note.RequestsPerSecond
                             : At <= Found->second.AnsweredAt)
    return;
  set(Note.Endpoint, Note.RequestsPerSecond, At, false);
}

bool endpoint_limits::isLimited(std::uint32_t Endpoint) const {
  const auto Found = Entries.find(Endpoint);
  return Found != Entries.end() && Found->second.Limit;
}

bool endpoint_limits::maySend(std::uint32_t Endpoint, mono_time Now) const {
  const auto At = nextSendTime(Endpoint, Now);
  return At && *At <= Now;
}

std::optional<mono_time> endpoint_limits::nextSendTime(std::uint32_t Endpoint,
                                                       mono_time Now) const {
  const auto Found = Entries.find(Endpoint);
  if (Found == Entries.end() || !Found->second.Limit)
    return Now;
  if (!Found->second.IsOwner)
    return std::nullopt;
  return std::max(Now, Found->second.NextSendAt);
}

void endpoint_limits::recordSend(std::uint32_t Endpoint, mono_time Now) {
  if (const auto Found = Entries.find(Endpoint);
      Found != Entries.end() && Found->second.Limit)
    Found->second.NextSendAt = Now + spacing(*Found->second.Limit);
}

std::vector<limit_note> endpoint_limits::ownNotes(mono_time Now) const {
  std::vector<limit_note> Notes;
  for (const auto &[Endpoint, Entry] : Entries)
    if (Entry.IsLocal && Now - Entry.AnsweredAt < config::LimitNoteTtl &&
        Notes.size() < config::MaxDigestLimits)
      Notes.push_back({Endpoint, Entry.Limit,
                       std::chrono::ceil<std::chrono::milliseconds>(
                           Now - Entry.AnsweredAt)});
  return Notes;
}

void endpoint_limits::expire(mono_time Now) {
  std::erase_if(Entries, [Now](const auto &Item) {
    const duration Age = Now - Item.second.AnsweredAt;
    return Age >= (Item.second.Limit ? duration(config::LimitTtl)
                                     : config::LimitNoteTtl);
  });
}

std::size_t endpoint_limits::countLimited() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &Item) { return !!Item.second.Limit; }));
}

} // namespace clementinelane
