#include "part_quarantine.h"

#include "config.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Fields of a note, in wire order: part, crashes as id and age, cleared ones.
constexpr std::size_t NoteFields = 3;

std::int64_t millisOf(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

/// Number of crashes that lie apart. Endpoints that crash at once have a common
/// cause outside of any request.
std::size_t countApart(const std::map<std::uint64_t, mono_time> &Crashes,
                       const std::set<std::uint64_t> &Explained) {
  std::vector<mono_time> Times;
  for (const auto &[Id, At] : Crashes)
    if (!Explained.contains(Id))
      Times.push_back(At);
  std::sort(Times.begin(), Times.end());
  std::size_t Count = 0;
  mono_time Last{};
  for (const mono_time At : Times)
    if (Count == 0 || At - Last >= config::PartCrashSpacing) {
      ++Count;
      Last = At;
    }
  return Count;
}

} // namespace

std::uint64_t partHash(std::string_view PartId) { return stableHash(PartId); }

std::string encodePartNotes(std::span<const part_note> Notes) {
  auto Body = json::array();
  for (const part_note &Note : Notes) {
    auto Crashes = json::array();
    for (const auto &[Id, Age] : Note.Crashes)
      Crashes.push_back({Id, millisOf(Age)});
    Body.push_back({Note.Part, std::move(Crashes), Note.Cleared});
  }
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<std::vector<part_note>> decodePartNotes(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array())
      return std::nullopt;
    std::vector<part_note> Notes;
    for (const json &Item : Body) {
      if (!Item.is_array() || Item.size() < NoteFields ||
          Item[1].size() > config::MaxCrashesPerPart ||
          Item[2].size() > config::MaxCrashesPerPart)
        return std::nullopt;
      part_note Note{Item[0].get<std::uint64_t>(), {}, {}};
      for (const json &Crash : Item[1])
        Note.Crashes.push_back(
            {Crash.at(0).get<std::uint64_t>(),
             std::chrono::milliseconds(std::clamp<std::int64_t>(
                 Crash.at(1).get<std::int64_t>(), 0,
                 millisOf(config::PartQuarantineTtl)))});
      Note.Cleared = Item[2].get<std::vector<std::uint64_t>>();
      Notes.push_back(std::move(Note));
    }
    return Notes;
  } catch (const json::exception &) {
    return std::nullopt; // the caller reports it
  }
}

const part_quarantine::quarantined_set *
part_quarantine::findSet(std::span<const std::uint64_t> Parts) const {
  const auto IsContained = [Parts](std::uint64_t Part) {
    return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
  };
  for (const auto &[Part, Set] : Quarantined)
    if (std::all_of(Set.Parts.begin(), Set.Parts.end(), IsContained))
      return &Set;
  return nullptr;
}

bool part_quarantine::isQuarantined(
    std::span<const std::uint64_t> Parts) const {
  return findSet(Parts) != nullptr;
}

duration part_quarantine::timeLeft(std::span<const std::uint64_t> Parts,
                                   mono_time Now) const {
  const quarantined_set *Set = findSet(Parts);
  if (!Set)
    return duration::zero();
  return std::max<duration>(duration::zero(),
                            Set->LastCrashAt + config::PartQuarantineTtl - Now);
}

part_quarantine::entry *part_quarantine::touch(std::uint64_t Part,
                                               mono_time Now) {
  const auto [Found, IsNew] = Entries.try_emplace(Part);
  if (IsNew)
    Found->second.ChangedAt = Now;
  return &Found->second;
}

void part_quarantine::noteChange(entry &Entry, mono_time Now) {
  Entry.ChangedAt = Now;
  Entry.SendsLeft = config::CrashNoteRepeats;
  Entry.NextSendAt = Now;
}

// Failure: VMs that know of different crashes replace each other's cleared ones
// without end if old ones give way to new ones. A part that was served after
// this many crashes causes none.
bool part_quarantine::clear(entry &Entry, std::uint64_t Crash) {
  Entry.Crashes.erase(Crash);
  if (Entry.Cleared.size() >= config::MaxCrashesPerPart ||
      std::find(Entry.Cleared.begin(), Entry.Cleared.end(), Crash) !=
          Entry.Cleared.end())
    return false;
  Entry.Cleared.push_back(Crash);
  return true;
}

bool part_quarantine::addCrash(entry &Entry, std::uint64_t Crash,
                               mono_time At) {
  if (Entry.Crashes.size() >= config::MaxCrashesPerPart ||
      Entry.Cleared.size() >= config::MaxCrashesPerPart ||
      std::find(Entry.Cleared.begin(), Entry.Cleared.end(), Crash) !=
          Entry.Cleared.end())
    return false;
  return Entry.Crashes.emplace(Crash, At).second;
}

void part_quarantine::recordCrash(std::uint64_t Crash,
                                  std::span<const std::uint64_t> Parts,
                                  mono_time Now) {
  for (const std::uint64_t Part : Parts) {
    entry &Entry = *touch(Part, Now);
    Entry.IsLocal = true;
    if (addCrash(Entry, Crash, Now))
      noteChange(Entry, Now);
  }
  evictExcess();
  updateQuarantined();
}

void part_quarantine::markServed(std::span<const std::uint64_t> Parts,
                                 mono_time Now) {
  bool IsChange = false;
  for (const std::uint64_t Part : Parts) {
    const auto Found = Entries.find(Part);
    if (Found == Entries.end() || Found->second.Crashes.empty())
      continue;
    Found->second.IsLocal = true;
    release(Part, Now);
    IsChange = true;
  }
  if (IsChange)
    updateQuarantined();
}

void part_quarantine::release(std::uint64_t Part, mono_time Now) {
  const auto Found = Entries.find(Part);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  const auto Crashes = Entry.Crashes;
  for (const auto &[Id, At] : Crashes)
    clear(Entry, Id);
  noteChange(Entry, Now);
  updateQuarantined();
}

void part_quarantine::apply(const part_note &Note, mono_time Now) {
  entry &Entry = *touch(Note.Part, Now);
  bool IsChange = false;
  for (const std::uint64_t Id : Note.Cleared)
    IsChange = clear(Entry, Id) || IsChange;
  for (const auto &[Id, Age] : Note.Crashes)
    IsChange = addCrash(Entry, Id, Now - Age) || IsChange;
  if (IsChange)
    noteChange(Entry, Now);
  evictExcess();
  if (IsChange)
    updateQuarantined();
}

// Failure: the store is down when a part is written. It is written again until
// it was read there.
void part_quarantine::applyStored(const part_note &Note, mono_time Now) {
  apply(Note, Now);
  if (const auto Found = Entries.find(Note.Part); Found != Entries.end())
    Found->second.SavedCrashes = Note.Crashes.size();
}

// Takes the part with the most crashes as the cause of all of them, then the
// one with the most that are left, and so on. Parts that were in flight at all
// of these crashes too may be the cause as well.
void part_quarantine::updateQuarantined() {
  const auto Before = std::exchange(Quarantined, {});
  std::set<std::uint64_t> Explained;
  for (;;) {
    std::uint64_t Cause = 0;
    std::size_t Most = config::PartCrashThreshold - 1;
    for (const auto &[Part, Entry] : Entries)
      if (const std::size_t Count = Entry.Crashes.size() > Most
                                        ? countApart(Entry.Crashes, Explained)
                                        : 0;
          Count > Most) {
        Cause = Part;
        Most = Count;
      }
    if (Most < config::PartCrashThreshold)
      break;
    const entry &Main = Entries.at(Cause);
    quarantined_set Set;
    for (const auto &[Id, At] : Main.Crashes) {
      if (Explained.insert(Id).second)
        Set.Crashes.push_back(Id);
      Set.LastCrashAt = std::max(Set.LastCrashAt, At);
    }
    for (const auto &[Part, Entry] : Entries)
      if (std::all_of(Set.Crashes.begin(), Set.Crashes.end(),
                      [&Entry = Entry](std::uint64_t Id) {
                        return Entry.Crashes.contains(Id);
                      }))
        Set.Parts.push_back(Part);
    Quarantined.emplace(Cause, std::move(Set));
  }
  if (!ChangeHandler)
    return;
  for (const auto &[Part, Set] : Quarantined)
    if (!Before.contains(Part))
      ChangeHandler(Part, Set.Crashes.size());
  for (const auto &[Part, Set] : Before)
    if (!Quarantined.contains(Part))
      ChangeHandler(Part, 0);
}

part_note part_quarantine::noteOf(std::uint64_t Part, const entry &Entry,
                                  mono_time Now) {
  part_note Note{Part, {}, Entry.Cleared};
  for (const auto &[Id, At] : Entry.Crashes)
    Note.Crashes.push_back({Id, Now - At});
  return Note;
}

part_quarantine::outgoing_notes part_quarantine::takeOutgoing(bool IsReader,
                                                              mono_time Now) {
  outgoing_notes Outgoing;
  for (auto &[Part, Entry] : Entries) {
    const bool IsRepeated = IsReader && Quarantined.contains(Part);
    if (Entry.NextSendAt > Now || (Entry.SendsLeft == 0 && !IsRepeated))
      continue;
    const bool IsForAll =
        IsReader && Entry.Crashes.size() + Entry.Cleared.size() > 1;
    if (!IsForAll && !Entry.IsLocal)
      continue;
    auto &Notes = IsForAll ? Outgoing.ForAll : Outgoing.ForReaders;
    if (Notes.size() >= config::MaxPartNotes)
      break; // the rest follows with the next call
    Notes.push_back(noteOf(Part, Entry, Now));
    Entry.SendsLeft -= Entry.SendsLeft > 0 ? 1 : 0;
    Entry.NextSendAt =
        Now + (Entry.SendsLeft > 0 ? duration(config::CrashNoteInterval)
                                   : config::QuarantineResendInterval);
  }
  return Outgoing;
}

std::vector<part_note> part_quarantine::takeUnsaved(mono_time Now) {
  std::vector<part_note> Unsaved;
  for (const auto &[Cause, Set] : Quarantined)
    for (const std::uint64_t Part : Set.Parts) {
      entry &Entry = Entries.at(Part);
      if (Entry.Crashes.size() <= Entry.SavedCrashes ||
          Now - Entry.SaveStartedAt < config::QuarantineSaveRetryDelay)
        continue;
      Entry.SaveStartedAt = Now;
      Unsaved.push_back(noteOf(Part, Entry, Now));
    }
  return Unsaved;
}

std::vector<std::uint64_t> part_quarantine::expire(mono_time Now) {
  std::vector<std::uint64_t> Expired;
  const std::size_t Before = Entries.size();
  for (auto Each = Entries.begin(); Each != Entries.end();) {
    auto &[Part, Entry] = *Each;
    const bool IsExpired = Now - Entry.ChangedAt >= config::PartQuarantineTtl;
    if (Entry.SavedCrashes > 0 && (IsExpired || Entry.Crashes.empty())) {
      Entry.SavedCrashes = 0;
      Expired.push_back(Part);
    }
    Each = IsExpired ? Entries.erase(Each) : std::next(Each);
  }
  if (Entries.size() != Before)
    updateQuarantined();
  return Expired;
}

std::vector<std::uint64_t> part_quarantine::explainedCrashes() const {
  std::vector<std::uint64_t> Crashes;
  for (const auto &[Part, Set] : Quarantined)
    Crashes.insert(Crashes.end(), Set.Crashes.begin(), Set.Crashes.end());
  return Crashes;
}

// Load: many endpoints crash with requests of a thousand customers in flight.
// Evicts the parts that changed longest ago, quarantined ones never.
void part_quarantine::evictExcess() {
  if (Entries.size() <= config::MaxSuspectParts)
    return;
  std::vector<std::pair<mono_time, std::uint64_t>> Order;
  for (const auto &[Part, Entry] : Entries)
    if (!Quarantined.contains(Part))
      Order.emplace_back(Entry.ChangedAt, Part);
  const std::size_t Excess =
      std::min(Order.size(), Entries.size() - config::MaxSuspectParts * 3 / 4);
  std::nth_element(Order.begin(),
                   Order.begin() + static_cast<std::ptrdiff_t>(Excess),
                   Order.end());
  for (std::size_t Each = 0; Each < Excess; ++Each)
    Entries.erase(Order[Each].second);
}

} // namespace clementinelane
