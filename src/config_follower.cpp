#include "config_follower.h"

#include "config.h"
#include "request.h"

#include <algorithm>
#include <xxhash.h>

namespace clementinelane {

namespace {

namespace action = follower_action;

} // namespace

config_follower::config_follower(follower_settings Settings, mono_time Now)
    : Settings(std::move(Settings)), StartedAt(Now) {}

std::vector<follower_output>
config_follower::handle(const follower_input &Input, mono_time Now) {
  outputs Out;
  std::visit([&](const auto &Event) { on(Event, Now, Out); }, Input);
  updatePeersChecked(Now);
  publishIfReady(Out);
  return Out;
}

log_request config_follower::nextRequest(mono_time Now) const {
  // A new VM queries its peers first: their state is one message, the log up
  // to a third of its retention.
  if (!PeersChecked && Replica.state().Next == 0)
    return {};
  if (NeedsBounds)
    return {log_request::kind::Bounds, 0, false};
  if (Scanning) {
    if (Now < NextScanAt)
      return {};
    return {log_request::kind::Read, ScanFrom, false};
  }
  const std::uint64_t Next = Replica.state().Next;
  if (NeedsVerify && Replica.state().TailHash != 0 && Next > 0)
    return {log_request::kind::Read, Next - 1, false};
  if (LogSuspect || SchemaTooNew)
    return {log_request::kind::Read, Next, false};
  return {log_request::kind::Read, Next, true};
}

void config_follower::on(const follower_event::log_read &Event, mono_time Now,
                         outputs &Out) {
  LogReachable = true;
  if (Scanning)
    return scanRecords(Event.Batch, Now, Out);
  if (!verifyHistory(Event, Out))
    return;
  applyRecords(Event.Batch, Out);
}

// Guard: the log service may lose its last records in an outage and reuse their
// offsets. It shows as a `next` below ours, or as a different record at the
// offset of the last one we applied. Applying from there would revert accepted
// changes on this VM only, so nothing is applied and the configuration in force
// stays until the log returns our last record again.
bool config_follower::verifyHistory(const follower_event::log_read &Event,
                                    outputs &Out) {
  const std::uint64_t Next = Replica.state().Next;
  const std::uint64_t TailHash = Replica.state().TailHash;
  const log_batch &Batch = Event.Batch;
  if (Batch.Next < Next || Batch.First > Batch.Next) {
    markLogSuspect("log ends at " + std::to_string(Batch.Next) +
                       ", we have applied up to " + std::to_string(Next),
                   Out);
    return false;
  }
  if (Event.From + 1 == Next && TailHash != 0) {
    const bool IsSameRecord =
        !Batch.Records.empty() && Batch.Records.front().Offset == Event.From &&
        hashOfRecord(Batch.Records.front().Bytes) == TailHash;
    if (!IsSameRecord) {
      markLogSuspect("record " + std::to_string(Event.From) +
                         " is not the record applied before",
                     Out);
      return false;
    }
    NeedsVerify = false;
  }
  // Offsets must be consecutive from the requested one on.
  std::uint64_t Expected = Event.From;
  for (const log_record &Record : Batch.Records) {
    if (Record.Offset != Expected++) {
      markLogSuspect("offset " + std::to_string(Record.Offset) +
                         " in place of " + std::to_string(Expected - 1),
                     Out);
      return false;
    }
  }
  if (LogSuspect && TailHash != 0 && NeedsVerify)
    return false;
  LogSuspect = false;
  return true;
}

void config_follower::markLogSuspect(std::string Detail, outputs &Out) {
  NeedsVerify = true;
  if (!LogSuspect) {
    ++Counts.LogRegressions;
    Out.push_back(action::alarm{"log_regressed", std::move(Detail)});
  }
  LogSuspect = true;
}

void config_follower::applyRecords(const log_batch &Batch, outputs &Out) {
  for (const log_record &Record : Batch.Records) {
    if (Record.Offset < Replica.state().Next)
      continue;
    const change_verdict Verdict = Replica.apply(Record.Offset, Record.Bytes);
    if (Verdict.Error == error_kind::SchemaTooNew) {
      if (!SchemaTooNew)
        Out.push_back(action::alarm{"schema_too_new", Verdict.Detail});
      SchemaTooNew = true;
      return;
    }
    SchemaTooNew = false;
    count(Verdict, Out);
    Out.push_back(action::verdict{Verdict});
  }
  if (Replica.state().Next == Batch.Next)
    CaughtUp = true;
}

void config_follower::count(const change_verdict &Verdict, outputs &Out) {
  if (Verdict.Error == error_kind::RecordCorrupt) {
    ++Counts.Unreadable;
    Out.push_back(action::alarm{"record_unreadable",
                                "offset " + std::to_string(Verdict.Offset) +
                                    ": " + Verdict.Detail});
    return;
  }
  if (Verdict.IsSnapshot && Verdict.Error) {
    ++Counts.SnapshotsMismatched;
    Out.push_back(action::alarm{"snapshot_differs", Verdict.Detail});
    return;
  }
  if (Verdict.IsSnapshot) {
    SnapshotDueSince.reset();
    return;
  }
  ++(Verdict.Error ? Counts.Rejected : Counts.Accepted);
}

void config_follower::on(const follower_event::log_bounds_read &Event,
                         mono_time, outputs &Out) {
  LogReachable = true;
  NeedsBounds = false;
  if (Event.Bounds.Next < Replica.state().Next)
    return markLogSuspect("log ends at " + std::to_string(Event.Bounds.Next),
                          Out);
  Scanning = Event.Bounds.First > Replica.state().Next;
  ScanFrom = Event.Bounds.First;
}

void config_follower::on(const follower_event::log_failed &Event, mono_time,
                         outputs &Out) {
  if (Event.Kind != error_kind::LogExpired) {
    ++Counts.LogErrors;
    LogReachable = false;
    NeedsVerify = true;
    return;
  }
  LogReachable = true;
  if (!Scanning && Event.From < Replica.state().Next) {
    // Only our last record has expired; the records after it are still kept.
    NeedsVerify = false;
    return;
  }
  if (!Scanning)
    Out.push_back(action::alarm{"log_expired",
                                "records from " + std::to_string(Event.From) +
                                    " have expired; scanning for a snapshot"});
  NeedsBounds = true;
}

void config_follower::scanRecords(const log_batch &Batch, mono_time Now,
                                  outputs &Out) {
  if (Batch.First <= Replica.state().Next) {
    Scanning = false; // a peer's state was adopted; the log has what follows
    return;
  }
  for (const log_record &Record : Batch.Records) {
    ScanFrom = Record.Offset + 1;
    if (kindOfRecord(Record.Bytes) != SnapshotKind)
      continue;
    const auto Snapshot = decodeSnapshot(Record.Bytes);
    if (!Snapshot) {
      ++Counts.Unreadable;
      continue;
    }
    // Records between this snapshot and the oldest record kept are lost.
    if (Snapshot.value().State.Next < Batch.First)
      continue;
    if (adoptState(Snapshot.value().State)) {
      Scanning = false;
      return;
    }
  }
  if (ScanFrom < Batch.Next && !Batch.Records.empty())
    return;
  Out.push_back(action::alarm{
      "no_snapshot", "the log holds none to go on from; querying peers"});
  ScanFrom = Batch.First;
  NextScanAt = Now + config::SnapshotScanInterval;
  NeedsBounds = true;
}

bool config_follower::adoptState(config_state State) {
  if (!Replica.adopt(std::move(State))) {
    ++Counts.StatesRejected;
    return false;
  }
  ++Counts.StatesAdopted;
  CaughtUp = false;
  SchemaTooNew = Replica.state().Schema > config::ConfigSchema;
  return true;
}

void config_follower::on(const follower_event::peer_offset_received &Event,
                         mono_time Now, outputs &Out) {
  const peer_offset &Offset = Event.Offset;
  PendingQueries.erase(Offset.Address);
  DataCentres[Offset.Address] = Offset.DataCentre;
  Offsets[Offset.Vm] = Offset;
  if (Offset.Vm != Settings.Vm)
    (Offset.DataCentre == Settings.DataCentre ? OwnDataCentreAnswered
                                              : OtherDataCentreAnswered) = true;
  HighestPeerOffset = std::max(HighestPeerOffset, Offset.Accepted);
  fetchIfBehind(Offset, Now, Out);
}

void config_follower::on(const follower_event::gossip_offset_received &Event,
                         mono_time Now, outputs &Out) {
  HighestPeerOffset = std::max(HighestPeerOffset, Event.Accepted);
  fetchIfBehind({Event.Address, "", "", Event.Accepted, 0}, Now, Out);
}

// Load: each change makes every VM lag its peers for a moment, and the state of
// a large folder is a megabyte. Harm prevented: 1,100 VMs fetch states from one
// another at each change, 0.3 a second. So a VM that follows the log gets
// PeerFetchDelay to read the change itself; one that can't (log unreachable,
// expired, suspect or of a newer schema) fetches at once.
void config_follower::fetchIfBehind(const peer_offset &Offset, mono_time Now,
                                    outputs &Out) {
  if (Offset.Accepted <= Replica.state().Accepted)
    return;
  if (!BehindSince)
    BehindSince = Now;
  const bool IsTailingLog = LogReachable && CaughtUp && !Scanning &&
                            !LogSuspect && !SchemaTooNew && !NeedsBounds;
  if (IsTailingLog && Now - *BehindSince < config::PeerFetchDelay)
    return;
  if (FetchingUntil && Now < *FetchingUntil)
    return;
  FetchingUntil = Now + config::LinkCallTimeout;
  Out.push_back(action::fetch_state{Offset.Address});
}

void config_follower::on(const follower_event::state_received &Event, mono_time,
                         outputs &Out) {
  FetchingUntil.reset();
  PendingQueries.erase(Event.Address);
  HighestPeerOffset = std::max(HighestPeerOffset, Event.State.Accepted);
  if (Event.State.Next <= Replica.state().Next)
    return;
  if (!adoptState(Event.State))
    Out.push_back(action::alarm{"peer_state_refused",
                                "state of " + Event.Address +
                                    " is older or cannot be parsed"});
}

void config_follower::on(const follower_event::peer_failed &Event, mono_time,
                         outputs &) {
  ++Counts.PeersUnreachable;
  FetchingUntil.reset();
  PendingQueries.erase(Event.Address);
}

void config_follower::on(const follower_event::peers_updated &Event, mono_time,
                         outputs &) {
  Peers = Event.Peers;
  PeersReceived = true;
  // Seeds are configured by address only; their replies carry the VM's name.
  for (const auto &[Vm, Offset] : Offsets)
    for (peer_info &Peer : Peers)
      if (Peer.Vm.empty() && Peer.ControlLink == Offset.Address)
        Peer.Vm = Vm;
}

void config_follower::on(const follower_event::tick &Event, mono_time Now,
                         outputs &Out) {
  queryPeers(Now, Out);
  appendSnapshotIfDue(Event.WallSeconds, Now, Out);
}

bool config_follower::isOwnDataCentre(const peer_info &Peer) const {
  if (!Peer.DataCentre.empty())
    return Peer.DataCentre == Settings.DataCentre;
  const auto Known = DataCentres.find(Peer.ControlLink);
  return Known != DataCentres.end() && Known->second == Settings.DataCentre;
}

// Load: one query of some 100 bytes to one peer of the own and one of another
// data centre per PeerCheckInterval, at any size of the fleet. Harm prevented:
// a VM that cannot reach the log falls behind without noticing.
void config_follower::queryPeers(mono_time Now, outputs &Out) {
  if (Peers.empty())
    return;
  const duration Interval = PeersChecked ? duration(config::PeerCheckInterval)
                                         : duration(config::StartPeerInterval);
  if (LastQueryAt && Now - *LastQueryAt < Interval)
    return;
  LastQueryAt = Now;
  ++QueryRounds;
  queryPeer(true, Out);
  queryPeer(false, Out);
}

void config_follower::queryPeer(bool InOwnDataCentre, outputs &Out) {
  std::vector<const peer_info *> Matching;
  for (const peer_info &Peer : Peers)
    if (isOwnDataCentre(Peer) == InOwnDataCentre)
      Matching.push_back(&Peer);
  if (Matching.empty())
    return;
  // The hash of our name spreads the queries of many VMs over the peers.
  const std::size_t Index =
      (QueryRounds + hashOfRecord(Settings.Vm)) % Matching.size();
  const std::string &Address = Matching[Index]->ControlLink;
  if (PendingQueries.contains(Address))
    return;
  QueriedPeers.insert(Address);
  PendingQueries.insert(Address);
  Out.push_back(action::query_offset{Address});
}

/// The check at the start ends when peers of both kinds (own and other data
/// centre) have answered, when all known peers were queried and none is
/// pending, or after StartPeerTimeout.
void config_follower::updatePeersChecked(mono_time Now) {
  if (Replica.state().Accepted >= HighestPeerOffset)
    BehindSince.reset();
  if (PeersChecked)
    return;
  const bool AllQueried =
      std::all_of(Peers.begin(), Peers.end(), [&](const peer_info &Peer) {
        return QueriedPeers.contains(Peer.ControlLink);
      });
  const bool IsTimedOut = Now - StartedAt >= config::StartPeerTimeout;
  PeersChecked = (OwnDataCentreAnswered && OtherDataCentreAnswered) ||
                 IsTimedOut ||
                 (PeersReceived && PendingQueries.empty() && AllQueried);
}

void config_follower::publishIfReady(outputs &Out) {
  const config_state &State = Replica.state();
  // Guard: a VM that starts while the log is unreachable or behind would serve
  // an old configuration, and a withdrawn version would take work again. It is
  // ready only after it reached the highest known offset and consulted an
  // up-to-date source: the end of the log, or a peer.
  if (!Ready)
    Ready = PeersChecked && State.Accepted > 0 &&
            State.Accepted >= HighestPeerOffset &&
            (CaughtUp || OwnDataCentreAnswered || OtherDataCentreAnswered);
  if (!Ready || State.Accepted <= Published)
    return;
  Published = State.Accepted;
  Out.push_back(action::publish_config{Published});
}

bool config_follower::isSnapshotDue(std::int64_t WallSeconds) const {
  const config_state &State = Replica.state();
  if (!LogReachable || !CaughtUp || LogSuspect || SchemaTooNew || Scanning ||
      !Ready)
    return false;
  if (State.SnapshotNext == 0)
    return true;
  const std::uint64_t Records = State.Next - State.SnapshotNext;
  const std::int64_t Age = WallSeconds - State.SnapshotAt;
  // A new snapshot is needed even without accepted changes, since the last one
  // expires too.
  return Records * 3 >= Settings.RetentionRecords ||
         Age * 3 >= Settings.RetentionTime.count();
}

/// Our rank in the rendezvous order of all VMs for this snapshot.
std::size_t config_follower::snapshotRank() const {
  const auto Weight = [&](std::string_view Vm) {
    return XXH3_64bits_withSeed(Vm.data(), Vm.size(),
                                Replica.state().SnapshotNext);
  };
  const auto Own = Weight(Settings.Vm);
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const peer_info &Peer) {
        return !Peer.Vm.empty() && Weight(Peer.Vm) > Own;
      }));
}

// Load: a third of the retention of 25,000 changes a day. Harm prevented:
// expired records are lost to a VM that starts, and with them the
// configuration; or 1,100 VMs append a megabyte each at once. A third leaves
// time for two more tries. Each VM waits SnapshotRankDelay times its rank in
// rendezvous order, enough to read the snapshot of the VM before it; two
// snapshots at once are harmless.
void config_follower::appendSnapshotIfDue(std::int64_t WallSeconds,
                                          mono_time Now, outputs &Out) {
  if (!isSnapshotDue(WallSeconds)) {
    SnapshotDueSince.reset();
    return;
  }
  if (!SnapshotDueSince)
    SnapshotDueSince = Now;
  if (Now - *SnapshotDueSince < config::SnapshotRankDelay * snapshotRank())
    return;
  if (SnapshotRequestedAt &&
      Now - *SnapshotRequestedAt < config::SnapshotRetryDelay)
    return;
  SnapshotRequestedAt = Now;
  ++Counts.SnapshotsRequested;
  snapshot_record Snapshot;
  Snapshot.Schema = config::ConfigSchema;
  Snapshot.Vm = Settings.Vm;
  Snapshot.At = WallSeconds;
  Snapshot.State = Replica.state();
  Snapshot.Digest = digestOf(Snapshot.State);
  Snapshot.Id = Settings.Vm + "-" + std::to_string(Snapshot.State.Next);
  Out.push_back(action::append_snapshot{encodeSnapshot(Snapshot)});
}

follower_status config_follower::status() const {
  const config_state &State = Replica.state();
  follower_status Status;
  Status.Accepted = State.Accepted;
  Status.Next = State.Next;
  Status.HighestPeerOffset = std::max(HighestPeerOffset, State.Accepted);
  Status.IsReady = Ready;
  Status.IsBehind =
      State.Accepted < HighestPeerOffset || Scanning || SchemaTooNew;
  Status.IsLogReachable = LogReachable;
  Status.IsLogSuspect = LogSuspect;
  Status.IsSchemaTooNew = SchemaTooNew;
  Status.IsScanning = Scanning;
  return Status;
}

} // namespace clementinelane
