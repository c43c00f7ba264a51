#include "gossip_store.h"

#include "membership_p.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

namespace {

using std::chrono::duration_cast;
using std::chrono::seconds;

bool isNewer(const gossip_entry &Entry, const gossip_entry &Known) {
  return std::tie(Entry.Version, Entry.Value) >
         std::tie(Known.Version, Known.Value);
}

/// Whether `Entry` is sent with its age.
bool carriesAge(const gossip_entry &Entry) {
  return traitsOf(Entry.Kind)->MaxAge != duration{0} ||
         (Entry.Kind == static_cast<std::uint8_t>(entry_kind::Member) &&
          isDead(Entry.Version));
}

} // namespace

std::string gossip_store::idOf(std::uint8_t Kind, std::string_view Source,
                               std::string_view Key) {
  std::string Id(1, static_cast<char>(Kind));
  Id.append(Source).append(1, '\0').append(Key);
  return Id;
}

gossip_entry gossip_store::withCurrentAge(const stored &Stored, mono_time Now) {
  gossip_entry Entry = Stored.Entry;
  Entry.AgeSeconds =
      carriesAge(Entry)
          ? static_cast<std::uint32_t>(
                duration_cast<seconds>(Now - Stored.CreatedAt).count())
          : 0;
  return Entry;
}

// Guard: a dead member that one VM has forgotten would be reintroduced for ever
// by another that has not, and tables would only grow. So its entry carries its
// age, and for the second half of its retention time it is kept but not sent.
bool gossip_store::isPropagated(const stored &Stored, mono_time Now) {
  const bool IsDeadMember =
      Stored.Entry.Kind == static_cast<std::uint8_t>(entry_kind::Member) &&
      isDead(Stored.Entry.Version);
  return !IsDeadMember || Now - Stored.CreatedAt < config::ForgetDeadAfter / 2;
}

bool gossip_store::merge(const gossip_entry &Entry, mono_time Now,
                         bool Propagate) {
  const kind_traits *Traits = traitsOf(Entry.Kind);
  if (!Traits)
    return false;
  std::string Id = idOf(Entry.Kind, Entry.Source, Entry.Key);
  const auto Found = Entries.find(Id);
  // Guard: messages arrive late, duplicated and out of order. Accepting an
  // older entry would make offsets or counters go back, so only newer ones are
  // accepted.
  if (Found != Entries.end() && !isNewer(Entry, Found->second.Entry))
    return false;
  const duration Age = seconds(Entry.AgeSeconds);
  if (Traits->MaxAge != duration{0} && Age >= Traits->MaxAge)
    return false;
  stored Stored{Entry, Now - Age};
  if (Found == Entries.end() && !isPropagated(Stored, Now))
    return false;
  if (Found != Entries.end())
    std::erase_if(Queue, [&](const auto &Each) { return Each.Id == Id; });
  Entries[Id] = std::move(Stored);
  if (Propagate)
    Queue.push_back({std::move(Id), 0, 0});
  return true;
}

const gossip_entry *gossip_store::find(entry_kind Kind, std::string_view Source,
                                       std::string_view Key) const {
  const auto Found =
      Entries.find(idOf(static_cast<std::uint8_t>(Kind), Source, Key));
  return Found == Entries.end() ? nullptr : &Found->second.Entry;
}

void gossip_store::forEach(
    entry_kind Kind,
    const std::function<void(const gossip_entry &)> &Visit) const {
  for (const auto &[Id, Stored] : Entries)
    if (Stored.Entry.Kind == static_cast<std::uint8_t>(Kind))
      Visit(Stored.Entry);
}

bool gossip_store::isFullySent(const queued_entry &Queued,
                               bool MayRelay) const {
  const auto Found = Entries.find(Queued.Id);
  if (Found == Entries.end())
    return true;
  const bool NeedsRemote =
      MayRelay &&
      traitsOf(Found->second.Entry.Kind)->Scope == entry_scope::Everywhere;
  return Queued.LocalSent >= config::GossipTransmits &&
         (!NeedsRemote || Queued.RemoteSent >= config::GossipTransmits);
}

bool gossip_store::appendIfFits(queued_entry &Queued, bool IsLocal,
                                bool IsUrgent, std::size_t &Bytes,
                                mono_time Now, std::vector<gossip_entry> &Out) {
  const auto Found = Entries.find(Queued.Id);
  if (Found == Entries.end())
    return true;
  const kind_traits &Traits = *traitsOf(Found->second.Entry.Kind);
  unsigned &Sent = IsLocal ? Queued.LocalSent : Queued.RemoteSent;
  if (Traits.IsUrgent != IsUrgent || Sent >= config::GossipTransmits ||
      (!IsLocal && Traits.Scope == entry_scope::DataCentre))
    return true;
  const std::size_t Size = wireBytes(Found->second.Entry);
  if (Size > Bytes)
    return false;
  Bytes -= Size;
  ++Sent;
  Out.push_back(withCurrentAge(Found->second, Now));
  return true;
}

// Load: a roll-out changes 1,100 offsets while a rack fails. Older entries
// would delay the notice of a dead VM, and callers would still be routed to it.
// So members and offsets are sent before digests, each newest first; the next
// sync repairs what did not fit.
std::vector<gossip_entry> gossip_store::takeQueued(std::size_t Bytes,
                                                   bool IsLocal, bool MayRelay,
                                                   mono_time Now) {
  std::vector<gossip_entry> Out;
  for (const bool IsUrgent : {true, false})
    for (auto Each = Queue.rbegin(); Each != Queue.rend(); ++Each)
      if (!appendIfFits(*Each, IsLocal, IsUrgent, Bytes, Now, Out))
        break;
  std::erase_if(Queue,
                [&](const auto &Each) { return isFullySent(Each, MayRelay); });
  return Out;
}

sync_buckets gossip_store::buckets(mono_time Now) const {
  sync_buckets Hashes{};
  for (const auto &[Id, Stored] : Entries) {
    if (!traitsOf(Stored.Entry.Kind)->IsHashed || !isPropagated(Stored, Now))
      continue;
    const std::uint64_t Bucket = XXH64(Id.data(), Id.size(), 0);
    Hashes[Bucket % Hashes.size()] ^=
        XXH64(Id.data(), Id.size(), Stored.Entry.Version);
  }
  return Hashes;
}

std::vector<gossip_entry>
gossip_store::differingEntries(const std::vector<std::uint64_t> &Theirs,
                               std::size_t First, std::size_t Bytes,
                               mono_time Now) const {
  const sync_buckets Ours = buckets(Now);
  std::array<std::vector<const stored *>, config::SyncBuckets> Groups;
  for (const auto &[Id, Stored] : Entries) {
    const std::size_t Bucket = XXH64(Id.data(), Id.size(), 0) % Ours.size();
    const bool Differs =
        Bucket >= Theirs.size() || Theirs[Bucket] != Ours[Bucket];
    if (Differs && traitsOf(Stored.Entry.Kind)->IsHashed &&
        isPropagated(Stored, Now))
      Groups[Bucket].push_back(&Stored);
  }
  std::vector<gossip_entry> Out;
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    for (const stored *Each : Groups[(First + Index) % Groups.size()]) {
      const std::size_t Size = wireBytes(Each->Entry);
      if (Size > Bytes)
        return Out;
      Bytes -= Size;
      Out.push_back(withCurrentAge(*Each, Now));
    }
  return Out;
}

std::vector<gossip_entry> gossip_store::randomEntries(std::size_t Bytes,
                                                      bool IsLocal,
                                                      std::mt19937_64 &Random,
                                                      mono_time Now) const {
  std::vector<const stored *> Candidates;
  for (const auto &[Id, Stored] : Entries) {
    const kind_traits &Traits = *traitsOf(Stored.Entry.Kind);
    // Entries that expire by age are republished before that, so they need no
    // repair.
    if (!Traits.IsHashed && Traits.MaxAge == duration{0} &&
        (IsLocal || Traits.Scope == entry_scope::Everywhere))
      Candidates.push_back(&Stored);
  }
  std::shuffle(Candidates.begin(), Candidates.end(), Random);
  // The few per-data-centre minimums are sent first, so all of them are in each
  // sample.
  std::stable_partition(
      Candidates.begin(), Candidates.end(), [](const stored *Each) {
        return Each->Entry.Kind ==
               static_cast<std::uint8_t>(entry_kind::CentreOffset);
      });
  std::vector<gossip_entry> Out;
  for (const stored *Each : Candidates) {
    const std::size_t Size = wireBytes(Each->Entry);
    if (Size > Bytes)
      break;
    Bytes -= Size;
    Out.push_back(withCurrentAge(*Each, Now));
  }
  return Out;
}

void gossip_store::expire(mono_time Now) {
  std::erase_if(Entries, [&](const auto &Item) {
    const duration MaxAge = traitsOf(Item.second.Entry.Kind)->MaxAge;
    return MaxAge != duration{0} && Now - Item.second.CreatedAt >= MaxAge;
  });
}

void gossip_store::forget(std::string_view Source) {
  std::erase_if(Entries, [&](const auto &Item) {
    return Item.second.Entry.Source == Source;
  });
}

} // namespace clementinelane
