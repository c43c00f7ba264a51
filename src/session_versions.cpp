#include "session_versions.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>

namespace clementinelane {

std::uint32_t versionHash(std::string_view Version) {
  return static_cast<std::uint32_t>(stableHash(Version));
}

void session_versions::runStarted(std::uint64_t Session, std::uint32_t Version,
                                  mono_time Now) {
  entry *Entry = findOrAdd(Session, Now);
  if (!Entry)
    return;
  Entry->Version = Version;
  Entry->LastAt = Now;
  ++Entry->Running;
  Entry->IsLocal = true;
  Entry->Source = session_source::Local;
}

// If several requests run concurrently, the one that began last sets the
// version, so the end of another doesn't change it.
void session_versions::runEnded(std::uint64_t Session, mono_time Now) {
  const auto Found = Entries.find(Session);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  Entry.Running -= Entry.Running > 0 ? 1 : 0;
  Entry.LastAt = std::max(Entry.LastAt, Now);
}

void session_versions::runReported(std::uint64_t Session, std::uint32_t Version,
                                   mono_time LastAt, mono_time Now) {
  entry *Entry = findOrAdd(Session, Now);
  if (!Entry || Entry->LastAt > LastAt)
    return;
  Entry->Version = Version;
  Entry->LastAt = LastAt;
  Entry->Source = session_source::Remote;
}

const session_versions::entry *session_versions::find(std::uint64_t Session,
                                                      mono_time Now) const {
  const auto Found = Entries.find(Session);
  return Found != Entries.end() && isAlive(Found->second, Now) ? &Found->second
                                                               : nullptr;
}

duration session_versions::timeLeft(const entry &Entry, mono_time Now) const {
  return Entry.Running > 0 ? Ttl : Entry.LastAt + Ttl - Now;
}

session_versions::entry *session_versions::findOrAdd(std::uint64_t Session,
                                                     mono_time Now) {
  evictExpired(Now);
  if (const auto Found = Entries.find(Session); Found != Entries.end())
    return &Found->second;
  if (Entries.size() >= config::MaxTrackedSessions)
    return nullptr;
  return &Entries[Session];
}

void session_versions::evictExpired(mono_time Now) {
  if (Now - EvictedAt < Ttl)
    return;
  EvictedAt = Now;
  std::erase_if(Entries, [this, Now](const auto &Each) {
    return !isAlive(Each.second, Now);
  });
}

} // namespace clementinelane
