#include "request_quarantine.h"

#include "config.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace clementinelane {

namespace {

using json = nlohmann::json;

/// Fields of a note, in wire order: request, time of the latest crash, crashes,
/// their ages, survived ones. Notes of older VMs end after the crashes.
constexpr std::size_t OldNoteFields = 3;
constexpr std::size_t NoteFields = 5;

std::vector<std::chrono::milliseconds> decodeAges(const json &Body) {
  std::vector<std::chrono::milliseconds> Ages;
  for (const json &Each : Body)
    Ages.emplace_back(std::clamp<std::int64_t>(
        Each.get<std::int64_t>(), 0,
        std::chrono::milliseconds(config::QuarantineTtl).count()));
  return Ages;
}

} // namespace

std::uint64_t crashId(std::string_view EndpointId, std::uint64_t Incarnation) {
  return stableHash(EndpointId, Incarnation);
}

std::string encodeCrashNotes(std::span<const crash_note> Notes) {
  auto Body = json::array();
  for (const crash_note &Note : Notes) {
    auto Ages = json::array();
    for (const auto Age : Note.Ages)
      Ages.push_back(Age.count());
    Body.push_back({Note.Request, Note.LastMs, Note.Crashes, std::move(Ages),
                    Note.Survived});
  }
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<std::vector<crash_note>>
decodeCrashNotes(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array())
      return std::nullopt;
    std::vector<crash_note> Notes;
    for (const json &Note : Body) {
      if (!Note.is_array() || Note.size() < OldNoteFields ||
          Note[2].size() > config::MaxCrashesPerRequest)
        return std::nullopt;
      crash_note Read{Note[0].get<std::uint64_t>(),
                      Note[2].get<std::vector<std::uint64_t>>(),
                      Note[1].get<std::int64_t>()};
      if (Note.size() >= NoteFields) {
        if (Note[3].size() > config::MaxCrashesPerRequest ||
            Note[4].size() > config::MaxCrashesPerRequest)
          return std::nullopt;
        Read.Ages = decodeAges(Note[3]);
        Read.Survived = Note[4].get<std::vector<std::uint64_t>>();
      }
      Notes.push_back(std::move(Read));
    }
    return Notes;
  } catch (const json::exception &) {
    return std::nullopt; // the caller reports it
  }
}

bool request_quarantine::isQuarantined(std::uint64_t Request) const {
  const auto Found = Entries.find(Request);
  return Found != Entries.end() && Found->second.IsQuarantined;
}

duration request_quarantine::timeLeft(std::uint64_t Request,
                                      mono_time Now) const {
  const auto Found = Entries.find(Request);
  if (Found == Entries.end())
    return duration::zero();
  return std::max<duration>(duration::zero(),
                            Found->second.LastAt + config::QuarantineTtl - Now);
}

std::optional<mono_time>
request_quarantine::lastServed(std::uint64_t Request) const {
  const auto Found = ServedIndex.find(Request);
  return Found == ServedIndex.end() ? std::nullopt
                                    : std::optional(Found->second->At);
}

void request_quarantine::rememberServed(std::uint64_t Request, mono_time Now) {
  if (const auto Found = ServedIndex.find(Request);
      Found != ServedIndex.end()) {
    Found->second->At = Now;
    Served.splice(Served.end(), Served, Found->second);
    return;
  }
  ServedIndex.emplace(Request, Served.insert(Served.end(), {Request, Now}));
  if (Served.size() <= config::MaxServedRequests)
    return;
  ServedIndex.erase(Served.front().Request);
  Served.pop_front();
}

// Load: identical requests from many callers. Some are in flight at endpoints
// that crash for another reason; quarantining them would reject all of these
// callers.
void request_quarantine::markServed(std::uint64_t Request, mono_time Now) {
  rememberServed(Request, Now);
  const auto Found = Entries.find(Request);
  if (Found == Entries.end() || Found->second.Crashes.empty())
    return;
  entry &Entry = Found->second;
  for (const crash &Each : std::vector<crash>(Entry.Crashes))
    survive(Entry, Each.Id);
  Entry.IsLocal = true;
  noteChange(Entry, Now);
  updateQuarantined(Request, Entry, Now);
}

bool request_quarantine::wasInFlight(const entry &Entry, std::uint64_t Crash) {
  const auto Has = [Crash](const std::vector<std::uint64_t> &Ids) {
    return std::find(Ids.begin(), Ids.end(), Crash) != Ids.end();
  };
  return std::any_of(Entry.Crashes.begin(), Entry.Crashes.end(),
                     [Crash](const auto &Each) { return Each.Id == Crash; }) ||
         Has(Entry.Cleared) || Has(Entry.Survived);
}

void request_quarantine::noteChange(entry &Entry, mono_time Now) {
  Entry.ChangedAt = Now;
  Entry.SendsLeft = config::CrashNoteRepeats;
  Entry.NextSendAt = Now;
}

// Failure: VMs that know of different survived crashes replace each other's
// without end. Only one that counted until now replaces the oldest.
bool request_quarantine::survive(entry &Entry, std::uint64_t Crash) {
  const bool DidCount = std::erase_if(Entry.Crashes, [Crash](const auto &Each) {
                          return Each.Id == Crash;
                        }) > 0;
  if (std::find(Entry.Survived.begin(), Entry.Survived.end(), Crash) !=
      Entry.Survived.end())
    return DidCount;
  if (Entry.Survived.size() >= config::MaxCrashesPerRequest) {
    if (!DidCount)
      return false;
    Entry.Survived.erase(Entry.Survived.begin());
  }
  Entry.Survived.push_back(Crash);
  return DidCount;
}

request_quarantine::entry *
request_quarantine::addCrashes(std::uint64_t Request,
                               std::span<const crash> Crashes, mono_time Now) {
  if (Crashes.empty())
    return nullptr;
  entry &Entry = Entries[Request];
  const auto ServedAt = lastServed(Request);
  for (const crash &Each : Crashes) {
    const bool IsSurvived =
        std::find(Entry.Survived.begin(), Entry.Survived.end(), Each.Id) !=
        Entry.Survived.end();
    if (IsSurvived) {
      // The sender doesn't know it yet.
      Entry.SendsLeft = std::max(Entry.SendsLeft, 1U);
      continue;
    }
    if (ServedAt && Each.At <= *ServedAt) {
      survive(Entry, Each.Id);
      Entry.IsLocal = true;
      noteChange(Entry, Now);
      continue;
    }
    if (wasInFlight(Entry, Each.Id) ||
        Entry.Crashes.size() >= config::MaxCrashesPerRequest)
      continue;
    Entry.Crashes.push_back(Each);
    // Only a new crash extends the quarantine. Quarantined requests are
    // rebroadcast continually, and would otherwise never expire.
    Entry.LastAt = std::max(Entry.LastAt, Each.At);
    noteChange(Entry, Now);
  }
  return &Entry;
}

void request_quarantine::addSurvived(std::uint64_t Request,
                                     std::span<const std::uint64_t> Survived,
                                     mono_time Now) {
  if (Survived.empty())
    return;
  const auto [Found, IsNew] = Entries.try_emplace(Request);
  entry &Entry = Found->second;
  if (IsNew)
    Entry.LastAt = Now;
  for (const std::uint64_t Crash : Survived)
    if (survive(Entry, Crash))
      noteChange(Entry, Now);
  updateQuarantined(Request, Entry, Now);
}

void request_quarantine::updateQuarantined(std::uint64_t Request, entry &Entry,
                                           mono_time Now) {
  const bool Was = Entry.IsQuarantined;
  Entry.IsQuarantined =
      Entry.Crashes.size() >= config::QuarantineCrashThreshold;
  Entry.WasQuarantined = Entry.WasQuarantined || Entry.IsQuarantined;
  if (Entry.IsQuarantined && !Was && QuarantinedHandler)
    QuarantinedHandler(noteOf(Request, Entry, Now));
}

void request_quarantine::recordCrash(std::uint64_t Crash,
                                     std::span<const std::uint64_t> Requests,
                                     mono_time Now) {
  const crash Seen{Crash, Now, Now};
  for (const std::uint64_t Request : Requests)
    if (entry *Entry = addCrashes(Request, {&Seen, 1}, Now)) {
      Entry->IsLocal = true;
      updateQuarantined(Request, *Entry, Now);
    }
  evictExcess();
}

void request_quarantine::applyPeerCrashNote(const crash_note &Note,
                                            mono_time Now) {
  if (Note.isRelease()) {
    releaseRequest(Note.Request);
    return;
  }
  addSurvived(Note.Request, Note.Survived, Now);
  std::vector<crash> Crashes;
  for (std::size_t Each = 0; Each < Note.Crashes.size(); ++Each)
    Crashes.push_back(
        {Note.Crashes[Each],
         Now - (Each < Note.Ages.size() ? Note.Ages[Each]
                                        : std::chrono::milliseconds(0)),
         Now});
  if (entry *Entry = addCrashes(Note.Request, Crashes, Now))
    updateQuarantined(Note.Request, *Entry, Now);
  evictExcess();
}

// Wall clocks differ between VMs, so an age from the store proves no order: the
// crashes count as later than any success of this VM.
void request_quarantine::applyStoredNote(const crash_note &Note, duration Age,
                                         mono_time Now) {
  if (Age >= config::QuarantineTtl)
    return;
  addSurvived(Note.Request, Note.Survived, Now);
  const mono_time Before = Entries[Note.Request].LastAt;
  std::vector<crash> Crashes;
  for (const std::uint64_t Id : Note.Crashes)
    Crashes.push_back({Id, Now, Now});
  if (entry *Entry = addCrashes(Note.Request, Crashes, Now)) {
    Entry->LastAt = std::max(Before, Now - Age);
    updateQuarantined(Note.Request, *Entry, Now);
  }
  Entries[Note.Request].Stored = Note.Crashes;
  evictExcess();
}

void request_quarantine::releaseRequest(std::uint64_t Request) {
  Entries.erase(Request);
}

void request_quarantine::clearCrashes(std::span<const std::uint64_t> Crashes) {
  for (auto &Item : Entries) {
    entry &Entry = Item.second;
    std::erase_if(Entry.Crashes, [&Entry, Crashes](const crash &Each) {
      const bool IsCleared =
          std::find(Crashes.begin(), Crashes.end(), Each.Id) != Crashes.end();
      if (IsCleared && Entry.Cleared.size() < config::MaxCrashesPerRequest)
        Entry.Cleared.push_back(Each.Id);
      return IsCleared;
    });
    Entry.IsQuarantined =
        Entry.IsQuarantined &&
        Entry.Crashes.size() >= config::QuarantineCrashThreshold;
  }
}

crash_note request_quarantine::noteOf(std::uint64_t Request, const entry &Entry,
                                      mono_time Now) {
  crash_note Note;
  Note.Request = Request;
  Note.Survived = Entry.Survived;
  for (const crash &Each : Entry.Crashes) {
    Note.Crashes.push_back(Each.Id);
    // Rounded down: a crash must not look earlier than it was.
    Note.Ages.push_back(
        std::max(std::chrono::milliseconds(0),
                 std::chrono::floor<std::chrono::milliseconds>(Now - Each.At)));
  }
  return Note;
}

// Datagrams may be lost, so each note is sent several times. Requests that are
// or were quarantined are rebroadcast continually, for VMs that were paused or
// partitioned. Suspects near the threshold are sent to all, since a VM that
// served them since then clears them.
request_quarantine::outgoing_notes
request_quarantine::takeOutgoing(bool IsReader, mono_time Now) {
  outgoing_notes Outgoing;
  for (auto &[Request, Entry] : Entries) {
    const bool IsNews = Entry.SendsLeft > 0;
    const bool IsForAll =
        IsReader &&
        (Entry.WasQuarantined ||
         (IsNews && (!Entry.Survived.empty() ||
                     Entry.Crashes.size() >= config::StoreCrashThreshold)));
    const bool IsForReaders = Entry.IsLocal && IsNews;
    if (Entry.NextSendAt > Now ||
        (Entry.Crashes.empty() && Entry.Survived.empty()) ||
        !(IsForAll || IsForReaders))
      continue;
    auto &Notes = IsForAll ? Outgoing.Quarantined : Outgoing.Suspects;
    if (Notes.size() >= config::MaxCrashNotes)
      break; // the rest follows with the next call
    Notes.push_back(noteOf(Request, Entry, Now));
    Entry.SendsLeft -= Entry.SendsLeft > 0 ? 1 : 0;
    Entry.NextSendAt =
        Now + (Entry.SendsLeft > 0 ? duration(config::CrashNoteInterval)
                                   : config::QuarantineResendInterval);
  }
  return Outgoing;
}

/// Whether the store lacks a crash that counts, or counts one that doesn't.
bool request_quarantine::isSaveDue(const entry &Entry) {
  const auto Has = [](const std::vector<std::uint64_t> &Ids, std::uint64_t Id) {
    return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
  };
  const bool LacksCrash =
      Entry.Crashes.size() >= config::StoreCrashThreshold &&
      std::any_of(
          Entry.Crashes.begin(), Entry.Crashes.end(),
          [&](const crash &Each) { return !Has(Entry.Stored, Each.Id); });
  return LacksCrash ||
         std::any_of(Entry.Stored.begin(), Entry.Stored.end(),
                     [&](std::uint64_t Id) { return Has(Entry.Survived, Id); });
}

std::vector<crash_note> request_quarantine::takeUnsaved(duration MinAge,
                                                        mono_time Now) {
  std::vector<crash_note> Unsaved;
  for (auto &[Request, Entry] : Entries) {
    const bool IsDue =
        isSaveDue(Entry) && Now - Entry.ChangedAt >= MinAge &&
        Now - Entry.SaveStartedAt >= config::QuarantineSaveRetryDelay;
    if (!IsDue || Unsaved.size() >= config::MaxCrashNotes)
      continue;
    Entry.SaveStartedAt = Now;
    Unsaved.push_back(noteOf(Request, Entry, Now));
  }
  return Unsaved;
}

// Load: a request that crashes endpoints has dozens of others in flight beside
// it, which are retried elsewhere and may meet it again. They are cleared of
// its crashes. Their notes may arrive before its own, so crashes are attributed
// only after a delay.
void request_quarantine::clearExplainedCrashes(mono_time Now) {
  std::unordered_set<std::uint64_t> Explained;
  for (const auto &[Request, Entry] : Entries)
    if (Entry.IsQuarantined)
      for (const crash &Each : Entry.Crashes)
        if (Now - Each.FirstSeenAt >= config::CrashAttributionDelay)
          Explained.insert(Each.Id);
  if (Explained.empty())
    return;
  for (auto &Item : Entries) {
    entry &Entry = Item.second;
    if (Entry.IsQuarantined)
      continue;
    const auto Kept = std::partition(Entry.Crashes.begin(), Entry.Crashes.end(),
                                     [&Explained](const crash &Each) {
                                       return !Explained.contains(Each.Id);
                                     });
    std::for_each(Kept, Entry.Crashes.end(), [&Entry](const crash &Each) {
      Entry.Cleared.push_back(Each.Id);
    });
    Entry.Crashes.erase(Kept, Entry.Crashes.end());
    if (Entry.Cleared.size() > config::MaxCrashesPerRequest)
      Entry.Cleared.erase(Entry.Cleared.begin(),
                          Entry.Cleared.end() - config::MaxCrashesPerRequest);
  }
}

// Load: several requests crash endpoints at the same time, and a harmless one
// is in flight during three of the crashes. Harm prevented: it stays
// quarantined as long as they do. It is released if each of its crashes is
// shared with a quarantined request that also has crashes without it.
bool request_quarantine::isExplainedByOthers(
    const entry &Entry, std::span<const entry *const> Quarantined) {
  const auto HasOtherCrashes = [&](const entry &Other) {
    return !std::all_of(
        Other.Crashes.begin(), Other.Crashes.end(),
        [&](const crash &Each) { return wasInFlight(Entry, Each.Id); });
  };
  const auto IsExplained = [&](const crash &Each) {
    return std::any_of(
        Quarantined.begin(), Quarantined.end(), [&](const entry *Other) {
          return Other != &Entry && wasInFlight(*Other, Each.Id) &&
                 HasOtherCrashes(*Other);
        });
  };
  return std::all_of(Entry.Crashes.begin(), Entry.Crashes.end(), IsExplained);
}

std::vector<std::uint64_t> request_quarantine::releaseExplained(mono_time Now) {
  std::vector<const entry *> Quarantined;
  for (const auto &[Request, Entry] : Entries)
    if (Entry.IsQuarantined)
      Quarantined.push_back(&Entry);
  std::vector<std::uint64_t> Released;
  for (const auto &[Request, Entry] : Entries)
    if (Entry.IsQuarantined &&
        Now - Entry.ChangedAt >= config::CrashAttributionDelay &&
        isExplainedByOthers(Entry, Quarantined))
      Released.push_back(Request);
  for (const std::uint64_t Request : Released)
    Entries.erase(Request);
  return Released;
}

std::vector<std::uint64_t> request_quarantine::expire(mono_time Now) {
  if (Now - ClearedAt < config::CrashAttributionDelay)
    return {};
  ClearedAt = Now;
  std::vector<std::uint64_t> Expired = releaseExplained(Now);
  clearExplainedCrashes(Now);
  std::erase_if(Entries, [&Expired, Now](const auto &Item) {
    const auto &[Request, Entry] = Item;
    const duration Life = Entry.IsQuarantined ? duration(config::QuarantineTtl)
                                              : config::SuspectTtl;
    const bool IsExpired = Now - Entry.LastAt >= Life;
    if (IsExpired && !Entry.Stored.empty())
      Expired.push_back(Request);
    return IsExpired;
  });
  return Expired;
}

// Load: all endpoints of a data centre crash at once, with thousands of
// requests in flight. Evicts the entries with the oldest crashes, quarantined
// ones last.
void request_quarantine::evictExcess() {
  if (Entries.size() <= config::MaxSuspects)
    return;
  std::vector<std::pair<std::pair<bool, mono_time>, std::uint64_t>> Order;
  Order.reserve(Entries.size());
  for (const auto &[Request, Entry] : Entries)
    Order.push_back({{Entry.IsQuarantined, Entry.LastAt}, Request});
  const std::size_t Excess = Entries.size() - config::MaxSuspects * 3 / 4;
  std::nth_element(Order.begin(),
                   Order.begin() + static_cast<std::ptrdiff_t>(Excess),
                   Order.end());
  for (std::size_t Each = 0; Each < Excess; ++Each)
    Entries.erase(Order[Each].second);
}

std::size_t request_quarantine::countQuarantined() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &Item) {
        return Item.second.IsQuarantined;
      }));
}

} // namespace clementinelane
