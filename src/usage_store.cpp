#include "usage_store.h"

#include "config.h"
#include "intent_home.h"
#include "usage_ledger.h"

#include <algorithm>

namespace clementinelane {

namespace {

namespace event = usage_event;
namespace action = usage_action;

/// Bytes of a record and of a part, without the strings.
constexpr std::size_t RecordOverheadBytes = 160;
constexpr std::size_t PartOverheadBytes = 80;

std::size_t sizeOf(const usage_record &Record) {
  std::size_t Bytes = RecordOverheadBytes + Record.RequestId.size() +
                      Record.Customer.size() + Record.Work.size();
  for (const usage_part &Part : Record.Parts)
    Bytes += PartOverheadBytes + Part.Version.size() + Part.Endpoint.size();
  return Bytes;
}

} // namespace

std::vector<usage_output> usage_store::handle(const usage_input &Event,
                                              mono_time Now) {
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  advance(Now);
  return std::exchange(Actions, {});
}

// Load: an outage of the log under steady load. Harm prevented: work that can't
// be billed. Work is accepted while the store is below its byte limit and
// records can be made durable: in the log, or by enough holders.
bool usage_store::hasRoom(mono_time Now) const {
  if (OwnBytes >= config::MaxUsageOwnBytes)
    return false;
  return !IsLogDown || holderCandidates(Now).size() >= config::UsageHolders;
}

void usage_store::on(const event::keep &Event, mono_time Now) {
  const std::size_t Bytes = sizeOf(Event.Record);
  const std::uint64_t Id = ++LastSequence;
  Own[Id] = {Event.Record, Bytes, Event.Ticket, false, {}};
  OwnBytes += Bytes;
  ++UnsafeRecords;
  Unsent.push_back(Id);
  if (!UnsentSince)
    UnsentSince = Now;
  Tickets.emplace_back(Now + config::UsageKeepTimeout, Id);
}

void usage_store::on(const event::appended &Event, mono_time) {
  IsLogDown = static_cast<bool>(Event.Error);
  // If only the response was lost, the records are appended again; readers
  // deduplicate them.
  if (Event.Error)
    return Appending.clear();
  dropAppended();
}

void usage_store::dropAppended() {
  std::map<std::string, usage_release> ByVm;
  for (const std::uint64_t Id : std::exchange(Appending, {})) {
    const auto Found = Own.find(Id);
    own_record &Record = Found->second;
    answer(Record, {});
    for (const std::string &Vm : Record.Holders)
      ByVm[Vm].RequestIds.push_back(Record.Record.RequestId);
    OwnBytes -= Record.Bytes;
    if (!Record.IsHeld)
      --UnsafeRecords;
    Own.erase(Found);
  }
  releaseHolders(ByVm);
}

void usage_store::releaseHolders(
    const std::map<std::string, usage_release> &ByVm) {
  for (const auto &[Vm, Release] : ByVm) {
    const peer_info *To = findPeer(Vm);
    if (!To)
      continue;
    usage_release Out = Release;
    Out.Owner = Self.Vm;
    Out.Incarnation = Self.Incarnation;
    emit(action::send_release{*To, std::move(Out)});
  }
}

void usage_store::answer(own_record &Record, std::error_code Error) {
  if (Record.Ticket)
    emit(action::kept{*std::exchange(Record.Ticket, std::nullopt), Error});
}

void usage_store::expireTickets(mono_time Now) {
  while (!Tickets.empty() && Tickets.front().first <= Now) {
    if (const auto Found = Own.find(Tickets.front().second); Found != Own.end())
      answer(Found->second, error_kind::LogUnavailable);
    Tickets.pop_front();
  }
}

/// VMs that can hold records, by descending rendezvous weight.
std::vector<peer_info> usage_store::holderCandidates(mono_time Now) const {
  std::vector<peer_info> Found;
  for (const peer_info &Peer : Peers) {
    const auto Paused = PausedUntil.find(Peer.Vm);
    if (!Peer.IsLeaving &&
        (Paused == PausedUntil.end() || Paused->second <= Now))
      Found.push_back(Peer);
  }
  std::sort(Found.begin(), Found.end(), [&](const auto &A, const auto &B) {
    return rendezvousWeight(A.Vm, Self.Vm) > rendezvousWeight(B.Vm, Self.Vm);
  });
  return Found;
}

bool usage_store::spansDataCentres(const batch &Batch) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const peer_info &Peer) {
    return Peer.DataCentre != Self.DataCentre &&
           (Batch.Held.contains(Peer.Vm) || Batch.Pending.contains(Peer.Vm));
  });
}

// If a VM and both its holders were in one data centre, usage would be lost
// with that data centre. The last holder is therefore chosen from another data
// centre, as long as one there is available.
const peer_info *usage_store::nextHolder(const batch &Batch,
                                         mono_time Now) const {
  const auto Found = holderCandidates(Now);
  const bool IsLast =
      Batch.Held.size() + Batch.Pending.size() + 1 >= config::UsageHolders;
  const bool PrefersRemote = IsLast && !spansDataCentres(Batch);
  const peer_info *First = nullptr;
  for (const peer_info &Peer : Found) {
    if (Batch.Tried.contains(Peer.Vm))
      continue;
    if (!PrefersRemote || Peer.DataCentre != Self.DataCentre)
      return findPeer(Peer.Vm);
    if (!First)
      First = findPeer(Peer.Vm);
  }
  return First;
}

const peer_info *usage_store::findPeer(std::string_view Vm) const {
  const auto Found =
      std::find_if(Peers.begin(), Peers.end(),
                   [&](const peer_info &Peer) { return Peer.Vm == Vm; });
  return Found == Peers.end() ? nullptr : &*Found;
}

void usage_store::sendBatch(mono_time Now) {
  const std::uint64_t Id = ++LastBatchId;
  batch &Batch = Batches[Id];
  std::size_t Bytes = 0;
  while (!Unsent.empty()) {
    const auto Found = Own.find(Unsent.front());
    if (Found != Own.end()) {
      if (Bytes > 0 && Bytes + Found->second.Bytes > config::MaxUsageBatchBytes)
        break;
      Bytes += Found->second.Bytes;
      Batch.Own.emplace_back(Unsent.front(), Found->second.Record.RequestId);
    }
    Unsent.pop_front();
  }
  UnsentSince = Unsent.empty() ? std::nullopt : std::optional(Now);
  requestHolders(Id, Batch, Now);
  completeBatch(Id);
}

void usage_store::requestHolders(std::uint64_t Id, batch &Batch,
                                 mono_time Now) {
  usage_hold Hold{Self.Vm, Self.Incarnation, {}, {}};
  for (const auto &[Each, RequestId] : Batch.Own)
    if (const auto Found = Own.find(Each); Found != Own.end())
      Hold.Records.push_back(Found->second.Record);
  if (Hold.Records.empty())
    return;
  std::vector<peer_info> To;
  while (Batch.Held.size() + Batch.Pending.size() < config::UsageHolders) {
    const peer_info *Peer = nextHolder(Batch, Now);
    if (!Peer)
      break;
    Batch.Tried.insert(Peer->Vm);
    Batch.Pending.insert(Peer->Vm);
    To.push_back(*Peer);
  }
  Hold.Holders.assign(Batch.Held.begin(), Batch.Held.end());
  Hold.Holders.insert(Hold.Holders.end(), Batch.Pending.begin(),
                      Batch.Pending.end());
  for (const peer_info &Peer : To)
    emit(action::send_hold{Id, Peer, Hold});
}

void usage_store::on(const event::hold_replied &Event, mono_time Now) {
  const auto Found = Batches.find(Event.Batch);
  if (Found == Batches.end())
    return;
  batch &Batch = Found->second;
  Batch.Pending.erase(Event.Vm);
  if (Event.Error) {
    PausedUntil[Event.Vm] = Now + config::UsageHolderRetryDelay;
    requestHolders(Event.Batch, Batch, Now);
    return completeBatch(Event.Batch);
  }
  Batch.Held.insert(Event.Vm);
  for (const auto &[Id, RequestId] : Batch.Own)
    if (const auto Record = Own.find(Id); Record != Own.end())
      Record->second.Holders.insert(Event.Vm);
  releaseAppended(Batch, Event.Vm);
  completeBatch(Event.Batch);
}

/// Releases records that were appended to the log before the holder replied.
void usage_store::releaseAppended(const batch &Batch, const std::string &Vm) {
  std::map<std::string, usage_release> ByVm;
  for (const auto &[Id, RequestId] : Batch.Own)
    if (!Own.contains(Id))
      ByVm[Vm].RequestIds.push_back(RequestId);
  releaseHolders(ByVm);
}

void usage_store::completeBatch(std::uint64_t Id) {
  const auto Found = Batches.find(Id);
  const batch &Batch = Found->second;
  if (Batch.Held.size() >= config::UsageHolders)
    for (const auto &[Each, RequestId] : Batch.Own)
      if (const auto Record = Own.find(Each); Record != Own.end()) {
        if (!std::exchange(Record->second.IsHeld, true))
          --UnsafeRecords;
        answer(Record->second, {});
      }
  // With no candidates left, the records wait for the log alone.
  if (Batch.Pending.empty())
    Batches.erase(Found);
}

void usage_store::on(const event::hold_requested &Event, mono_time Now) {
  const usage_hold &Hold = Event.Hold;
  std::size_t Bytes = 0;
  for (const usage_record &Record : Hold.Records)
    Bytes += sizeOf(Record);
  // Load: all VMs of a fleet hold records for each other in a long outage of
  // the log. Harm prevented: a VM runs out of memory. The owner tries another
  // holder, and refuses new work when there is none.
  if (HeldBytes + Bytes > config::MaxUsageHeldBytes || IsDraining)
    return emit(action::answer_hold{Event.Call, error_kind::UsageStoreFull});
  held_records &Held = this->Held[{Hold.Owner, Hold.Incarnation}];
  Held.Owner = Hold.Owner;
  Held.Incarnation = Hold.Incarnation;
  Held.Holders = Hold.Holders;
  for (const usage_record &Record : Hold.Records) {
    if (!Held.Records.emplace(Record.RequestId, Record).second)
      continue;
    Held.Order.emplace_back(Now, Record.RequestId);
    Held.Bytes += sizeOf(Record);
    HeldBytes += sizeOf(Record);
  }
  // A newer process of the owner means that older ones have ended.
  for (auto &[Key, Other] : this->Held)
    if (Key.first == Hold.Owner && Key.second < Hold.Incarnation &&
        !Other.LeavingSince)
      Other.LeavingSince = Now;
  emit(action::answer_hold{Event.Call, {}});
}

void usage_store::on(const event::released &Event, mono_time Now) {
  const usage_release &Release = Event.Release;
  const auto Found = Held.find({Release.Owner, Release.Incarnation});
  if (Found == Held.end())
    return;
  held_records &Held = Found->second;
  for (const std::string &Id : Release.RequestIds) {
    const auto Record = Held.Records.find(Id);
    if (Record == Held.Records.end())
      continue;
    const std::size_t Bytes = sizeOf(Record->second);
    Held.Bytes -= Bytes;
    HeldBytes -= Bytes;
    Held.Records.erase(Record);
  }
  if (Release.IsLeaving && !Held.LeavingSince)
    Held.LeavingSince = Now;
  if (Held.Records.empty())
    this->Held.erase(Found);
}

void usage_store::on(const event::peers_updated &Event, mono_time Now) {
  Peers = Event.Peers;
  for (auto &[Key, Held] : this->Held) {
    if (findPeer(Held.Owner))
      Held.LostSince.reset();
    else if (!Held.LostSince)
      Held.LostSince = Now;
  }
  dropLostHolders();
}

// Without this check, usage whose holder is lost during an outage of the log
// would be lost with its VM. Records with too few holders are sent to others.
void usage_store::dropLostHolders() {
  if (!IsLogDown)
    return;
  for (auto &[Id, Record] : Own) {
    std::erase_if(Record.Holders, [&](const std::string &Vm) {
      return findPeer(Vm) == nullptr;
    });
    if (Record.IsHeld && Record.Holders.size() < config::UsageHolders) {
      Record.IsHeld = false;
      ++UnsafeRecords;
    }
  }
}

void usage_store::resendUnheld(mono_time Now) {
  const bool IsIdle = Batches.empty() && Unsent.empty();
  if (!IsLogDown || !IsIdle || UnsafeRecords == 0 ||
      holderCandidates(Now).size() < config::UsageHolders)
    return;
  for (const auto &[Id, Record] : Own)
    if (!Record.IsHeld)
      Unsent.push_back(Id);
  UnsentSince = Now;
}

void usage_store::on(const event::tick &, mono_time Now) {
  if (Wake && *Wake <= Now)
    Wake.reset();
  expireTickets(Now);
  takeOverLost(Now);
  resendUnheld(Now);
}

// If a VM dies with usage that isn't in the log, the work would never be
// billed. Its holders append their copies: the first by rendezvous weight soon,
// the next later, in case the first is lost too.
void usage_store::takeOverLost(mono_time Now) {
  for (auto Each = Held.begin(); Each != Held.end();) {
    if (!isTakeoverDue(Each->second, Now)) {
      takeOverExpired(Each->second, Now);
      ++Each;
      continue;
    }
    takeOverAll(Each->second);
    Each = Held.erase(Each);
  }
}

bool usage_store::isTakeoverDue(const held_records &Held, mono_time Now) const {
  const auto Rank = std::count_if(
      Held.Holders.begin(), Held.Holders.end(), [&](const std::string &Vm) {
        return findPeer(Vm) && rendezvousWeight(Vm, Held.Owner) >
                                   rendezvousWeight(Self.Vm, Held.Owner);
      });
  if (Held.LeavingSince)
    return Now - *Held.LeavingSince >= config::UsageTakeoverDelay * Rank;
  return Held.LostSince &&
         Now - *Held.LostSince >= config::UsageTakeoverDelay * (Rank + 1);
}

// Records taken over count as this VM's own and get new holders, in case this
// VM is lost in the same outage.
void usage_store::takeOver(usage_record Record) {
  const std::size_t Bytes = sizeOf(Record);
  OwnBytes += Bytes;
  ++UnsafeRecords;
  Own[++LastSequence] = {std::move(Record), Bytes, std::nullopt, false, {}};
}

void usage_store::takeOverAll(held_records &Held) {
  HeldBytes -= Held.Bytes;
  for (auto &[RequestId, Record] : Held.Records)
    takeOver(std::move(Record));
}

// If a release is lost, or membership never reports that an owner is gone,
// records would be held for ever. Expired ones are appended while the log is
// up.
void usage_store::takeOverExpired(held_records &Held, mono_time Now) {
  while (!IsLogDown && !Held.Order.empty() &&
         Held.Order.front().first + config::MaxUsageHoldTime <= Now) {
    auto Record = Held.Records.extract(Held.Order.front().second);
    Held.Order.pop_front();
    if (Record.empty())
      continue;
    const std::size_t Bytes = sizeOf(Record.mapped());
    Held.Bytes -= Bytes;
    HeldBytes -= Bytes;
    takeOver(std::move(Record.mapped()));
  }
}

void usage_store::on(const event::drain &, mono_time) {
  if (std::exchange(IsDraining, true))
    return;
  std::set<std::string> Holders;
  for (const auto &[Id, Record] : Own)
    Holders.insert(Record.Holders.begin(), Record.Holders.end());
  // Holders append the records that don't reach the log before the stop.
  std::map<std::string, usage_release> ByVm;
  for (const std::string &Vm : Holders)
    ByVm[Vm].IsLeaving = true;
  releaseHolders(ByVm);
}

/// Time between two appends of this VM: its share of the fleet's append rate.
std::chrono::milliseconds usage_store::appendInterval() const {
  return std::chrono::milliseconds(1000 * (Peers.size() + 1) /
                                   config::UsageAppendsPerSecond);
}

void usage_store::advance(mono_time Now) {
  if (UnsentSince) {
    if (*UnsentSince + config::UsageBatchDelay <= Now)
      sendBatch(Now);
    else
      wakeAt(*UnsentSince + config::UsageBatchDelay, Now);
  }
  if (Own.empty() || !Appending.empty())
    return;
  std::chrono::milliseconds Gap =
      IsDraining ? config::UsageBatchDelay : appendInterval();
  if (IsLogDown)
    Gap = std::max<std::chrono::milliseconds>(Gap, config::ReconnectDelay);
  if (LastAppend && Now < *LastAppend + Gap)
    return wakeAt(*LastAppend + Gap, Now);
  appendRecords(Now);
}

void usage_store::wakeAt(mono_time At, mono_time Now) {
  if (Wake && Now < *Wake && *Wake <= At)
    return;
  Wake = At;
  emit(action::wake{At});
}

void usage_store::appendRecords(mono_time Now) {
  std::vector<usage_record> Records;
  std::size_t Bytes = 0;
  for (const auto &[Id, Record] : Own) {
    if (Bytes > 0 && Bytes + Record.Bytes > config::MaxUsageBatchBytes)
      break;
    Bytes += Record.Bytes;
    Records.push_back(Record.Record);
    Appending.push_back(Id);
  }
  ++Appends;
  LastAppend = Now;
  emit(action::append{encodeUsage(Records)});
}

} // namespace clementinelane
