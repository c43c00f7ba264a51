#include "run_registry.h"

#include "config.h"
#include "hashing.h"
#include "message_pack.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace clementinelane {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

/// Numbers of fields of a message and of an entry on the wire.
constexpr std::size_t MessageFields = 4;
constexpr std::size_t EntryFields = 4;
constexpr unsigned MessageKindCount = 4;

run_entry entryOf(const session_key &Key, const session_run &Run,
                  mono_time Now) {
  return {Key, Run.Version,
          std::chrono::ceil<milliseconds>(
              std::max<duration>(duration::zero(), Now - Run.LastAt))};
}

session_run runOf(const run_entry &Entry, mono_time Now) {
  return {Entry.Key.Session, Entry.Version, Now - Entry.Age};
}

} // namespace

std::string encodeRunMessage(const run_message &Message) {
  auto Entries = json::array();
  for (const run_entry &Entry : Message.Entries)
    Entries.push_back({Entry.Key.Service, Entry.Key.Session, Entry.Version,
                       Entry.Age.count()});
  const json Body = {static_cast<unsigned>(Message.Kind),
                     Message.SequenceNumber, Message.CoversSessionTtl ? 1 : 0,
                     std::move(Entries)};
  std::string Bytes;
  json::to_msgpack(Body, Bytes);
  return Bytes;
}

std::optional<run_message> decodeRunMessage(std::string_view Bytes) {
  try {
    const json Body = decodeMessagePack(Bytes);
    if (!Body.is_array() || Body.size() < MessageFields)
      return std::nullopt;
    const auto Kind = Body[0].get<unsigned>();
    if (Kind >= MessageKindCount)
      return std::nullopt;
    run_message Message{static_cast<run_message_kind>(Kind),
                        Body[1].get<std::uint64_t>(),
                        Body[2].get<unsigned>() != 0,
                        {}};
    for (const json &Entry : Body[3]) {
      if (!Entry.is_array() || Entry.size() < EntryFields)
        return std::nullopt;
      Message.Entries.push_back(
          {{Entry[0].get<std::uint32_t>(), Entry[1].get<std::uint64_t>()},
           Entry[2].get<std::uint32_t>(),
           milliseconds(Entry[3].get<std::uint32_t>())});
    }
    return Message;
  } catch (const json::exception &) {
    return std::nullopt; // the caller logs it
  }
}

void run_registry::setPeers(std::span<const std::string> Addresses) {
  Vms.clear();
  Vms.push_back({stableHash(OwnAddress), OwnAddress});
  for (const std::string &Address : Addresses)
    Vms.push_back({stableHash(Address), Address});
}

std::vector<std::string> run_registry::ownersOf(const session_key &Key) const {
  using rank = std::pair<std::uint64_t, const peer *>;
  std::array<rank, config::OwnersPerSession> Best{};
  const std::uint64_t Seed = mixBits(Key.Session ^ Key.Service);
  for (const peer &Vm : Vms) {
    rank Candidate{mixBits(Vm.Hash ^ Seed), &Vm};
    for (rank &Each : Best)
      if (!Each.second || Candidate.first > Each.first)
        std::swap(Candidate, Each);
  }
  std::vector<std::string> Owners;
  for (const auto &[Weight, Vm] : Best)
    if (Vm)
      Owners.push_back(Vm->Address);
  return Owners;
}

void run_registry::replicate(const session_key &Key, const session_run &Run) {
  for (std::string &Owner : ownersOf(Key)) {
    if (Owner == OwnAddress)
      continue;
    if (QueuedRuns >= config::MaxQueuedRuns) {
      ++LostUpdates;
      continue;
    }
    ++QueuedRuns;
    Queued[std::move(Owner)].push_back({Key, Run});
  }
}

void run_registry::send(std::uint64_t SequenceNumber, batch &Batch,
                        mono_time Now) {
  run_message Message{run_message_kind::Update, SequenceNumber, false, {}};
  for (const auto &[Key, Run] : Batch.Runs)
    Message.Entries.push_back(entryOf(Key, Run, Now));
  Batch.SentAt = Now;
  ++Batch.SendCount;
  Transport.sendRunMessage(Batch.Owner, encodeRunMessage(Message));
}

void run_registry::flush(mono_time Now) {
  for (std::size_t Remaining = config::MaxRunDatagramsPerFlush;
       Remaining > 0 && !Queued.empty(); --Remaining) {
    const auto First = Queued.begin();
    std::vector<keyed_run> &Runs = First->second;
    const std::size_t Count = std::min(Runs.size(), config::MaxRunsPerDatagram);
    const auto BatchBegin = Runs.end() - static_cast<std::ptrdiff_t>(Count);
    batch &Batch = Unacknowledged[++LastSequenceNumber];
    Batch.Owner = First->first;
    Batch.Runs.assign(BatchBegin, Runs.end());
    Runs.erase(BatchBegin, Runs.end());
    QueuedRuns -= Count;
    if (Runs.empty())
      Queued.erase(First);
    send(LastSequenceNumber, Batch, Now);
  }
}

void run_registry::keepNewest(pending_lookup &Lookup, const session_run &Run) {
  if (!Lookup.Newest || Run.LastAt > Lookup.Newest->LastAt)
    Lookup.Newest = Run;
}

void run_registry::lookUp(const session_key &Key, mono_time Now,
                          handler Handler) {
  const std::uint64_t SequenceNumber = ++LastSequenceNumber;
  pending_lookup &Lookup = Lookups[SequenceNumber];
  Lookup.Key = Key;
  Lookup.StartedAt = Now;
  Lookup.Handler = std::move(Handler);
  Lookup.PendingOwners = ownersOf(Key);
  if (std::erase(Lookup.PendingOwners, OwnAddress) > 0 ||
      Lookup.PendingOwners.empty()) {
    Lookup.IsAnswered = true;
    Lookup.HasCompleteAnswer = Records.coversSessionTtl(Now);
    if (const auto Run = Records.lastRun(Key, Now))
      keepNewest(Lookup, *Run);
  }
  if (Lookup.PendingOwners.empty())
    return finishLookup(SequenceNumber);
  sendQuery(SequenceNumber, Lookup);
}

void run_registry::sendQuery(std::uint64_t SequenceNumber,
                             const pending_lookup &Lookup) {
  const std::string Bytes = encodeRunMessage(
      {run_message_kind::Query, SequenceNumber, false, {{Lookup.Key, 0, {}}}});
  for (const std::string &Owner : Lookup.PendingOwners)
    Transport.sendRunMessage(Owner, Bytes);
}

void run_registry::receive(const std::string &Sender,
                           const run_message &Message, mono_time Now) {
  switch (Message.Kind) {
  case run_message_kind::Update:
    for (const run_entry &Entry : Message.Entries)
      Records.takeRun(Entry.Key, runOf(Entry, Now), Now);
    Transport.sendRunMessage(
        Sender, encodeRunMessage({run_message_kind::Acknowledgement,
                                  Message.SequenceNumber,
                                  false,
                                  {}}));
    return;
  case run_message_kind::Acknowledgement:
    Unacknowledged.erase(Message.SequenceNumber);
    return;
  case run_message_kind::Query:
    return answerQuery(Sender, Message, Now);
  case run_message_kind::Answer:
    return receiveAnswer(Sender, Message, Now);
  }
}

void run_registry::answerQuery(const std::string &To,
                               const run_message &Message, mono_time Now) {
  run_message Answer{run_message_kind::Answer,
                     Message.SequenceNumber,
                     Records.coversSessionTtl(Now),
                     {}};
  for (const run_entry &Entry : Message.Entries)
    if (const auto Run = Records.lastRun(Entry.Key, Now))
      Answer.Entries.push_back(entryOf(Entry.Key, *Run, Now));
  Transport.sendRunMessage(To, encodeRunMessage(Answer));
}

void run_registry::receiveAnswer(const std::string &Sender,
                                 const run_message &Message, mono_time Now) {
  const auto Found = Lookups.find(Message.SequenceNumber);
  if (Found == Lookups.end())
    return;
  pending_lookup &Lookup = Found->second;
  if (std::erase(Lookup.PendingOwners, Sender) == 0)
    return;
  Lookup.IsAnswered = true;
  Lookup.HasCompleteAnswer =
      Lookup.HasCompleteAnswer || Message.CoversSessionTtl;
  for (const run_entry &Entry : Message.Entries)
    if (Entry.Key.Session == Lookup.Key.Session)
      keepNewest(Lookup, runOf(Entry, Now));
  if (Lookup.PendingOwners.empty())
    finishLookup(Message.SequenceNumber);
}

void run_registry::finishLookup(std::uint64_t SequenceNumber) {
  const pending_lookup Lookup =
      std::move(Lookups.extract(SequenceNumber).mapped());
  UnansweredLookups += Lookup.IsAnswered ? 0 : 1;
  Lookup.Handler({Lookup.IsAnswered, Lookup.Newest});
}

// Failure: an owner that has just started has no records yet, or an owner has
// stopped. A run or a complete answer from another owner is enough then. If no
// owner answers before the timeout, the lookup ends unanswered.
void run_registry::expire(mono_time Now) {
  std::vector<std::uint64_t> Expired;
  for (auto &[SequenceNumber, Lookup] : Lookups) {
    const duration Age = Now - Lookup.StartedAt;
    const bool IsKnown = Lookup.HasCompleteAnswer || Lookup.Newest;
    if (Age >= config::RunQueryTimeout ||
        (Age >= config::RunQueryRetryDelay && IsKnown)) {
      Expired.push_back(SequenceNumber);
    } else if (Age >= config::RunQueryRetryDelay && !Lookup.IsRetried) {
      Lookup.IsRetried = true;
      sendQuery(SequenceNumber, Lookup);
    }
  }
  for (const std::uint64_t SequenceNumber : Expired)
    finishLookup(SequenceNumber);
  for (auto Each = Unacknowledged.begin(); Each != Unacknowledged.end();) {
    auto &[SequenceNumber, Batch] = *Each;
    if (Now - Batch.SentAt < config::RunRetransmitInterval) {
      ++Each;
    } else if (Batch.SendCount < config::MaxRunTransmissions) {
      send(SequenceNumber, Batch, Now);
      ++Each;
    } else {
      LostUpdates += Batch.Runs.size();
      Each = Unacknowledged.erase(Each);
    }
  }
  flush(Now);
}

std::optional<mono_time> run_registry::nextExpiry() const {
  std::optional<mono_time> Next;
  const auto Consider = [&Next](mono_time At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[SequenceNumber, Lookup] : Lookups)
    Consider(Lookup.StartedAt + (Lookup.IsRetried || Lookup.HasCompleteAnswer
                                     ? config::RunQueryTimeout
                                     : config::RunQueryRetryDelay));
  return Next;
}

} // namespace clementinelane
