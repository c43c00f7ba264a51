#pragma once

#include "change.h"
#include "clock.h"
#include "log_client.h"
#include "peers.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace clementinelane {

/// Identity of this VM and retention of the log.
struct follower_settings {
  std::string Vm;
  std::string DataCentre;
  std::uint64_t RetentionRecords = 0; ///< minimum that the log keeps
  std::chrono::seconds RetentionTime{0};
};

/// A peer's configuration offset.
struct peer_offset {
  std::string Address; ///< that was queried
  std::string Vm;
  std::string DataCentre;
  std::uint64_t Accepted = 0;
  std::uint64_t Next = 0;
  MSGPACK_DEFINE_MAP(Address, Vm, DataCentre, Accepted, Next)
};

namespace follower_event {
struct log_read {
  std::uint64_t From = 0;
  log_batch Batch;
};
struct log_bounds_read {
  log_bounds Bounds;
};
struct log_failed {
  std::uint64_t From = 0;
  error_kind Kind = error_kind::LogUnavailable; ///< or LogExpired
};
struct peer_offset_received {
  peer_offset Offset;
};
/// A peer's offset learned by gossip rather than from the peer itself.
struct gossip_offset_received {
  std::string Address;
  std::uint64_t Accepted = 0;
};
struct state_received {
  std::string Address;
  config_state State;
};
struct peer_failed {
  std::string Address;
};
/// Peers that can be queried now.
struct peers_updated {
  std::vector<peer_info> Peers;
};
struct tick {
  std::int64_t WallSeconds = 0;
};
} // namespace follower_event

using follower_input =
    std::variant<follower_event::log_read, follower_event::log_bounds_read,
                 follower_event::log_failed,
                 follower_event::peer_offset_received,
                 follower_event::gossip_offset_received,
                 follower_event::state_received, follower_event::peer_failed,
                 follower_event::peers_updated, follower_event::tick>;

namespace follower_action {
struct query_offset {
  std::string Address;
};
struct fetch_state {
  std::string Address;
};
struct append_snapshot {
  std::string Bytes;
};
/// This configuration may be served to entry and peers from now on.
struct publish_config {
  std::uint64_t Offset = 0;
};
/// The verdict on one record.
struct verdict {
  change_verdict Verdict;
};
/// A condition that an operator must be alerted to.
struct alarm {
  std::string Event;
  std::string Detail;
};
} // namespace follower_action

using follower_output =
    std::variant<follower_action::query_offset, follower_action::fetch_state,
                 follower_action::append_snapshot,
                 follower_action::publish_config, follower_action::verdict,
                 follower_action::alarm>;

/// The next request to the log.
struct log_request {
  enum class kind : std::uint8_t { Wait, Bounds, Read };
  kind Kind = kind::Wait;
  std::uint64_t From = 0;
  bool MayPoll = false; ///< long poll for the next record
};

/// Counters since the start, for metrics.
struct follower_counts {
  std::uint64_t Accepted = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t Unreadable = 0;
  std::uint64_t SnapshotsRequested = 0;
  std::uint64_t SnapshotsMismatched = 0;
  std::uint64_t StatesAdopted = 0; ///< from peers or from a snapshot
  std::uint64_t StatesRejected = 0;
  std::uint64_t LogErrors = 0;
  std::uint64_t LogRegressions = 0;
  std::uint64_t PeersUnreachable = 0;
};

/// State that the readiness and status routes report.
struct follower_status {
  std::uint64_t Accepted = 0;
  std::uint64_t Next = 0;
  std::uint64_t HighestPeerOffset = 0; ///< highest accepted, over all peers
  bool IsReady = false;
  bool IsBehind = false;
  bool IsLogReachable = false;
  bool IsLogSuspect = false; ///< truncated, or records were replaced
  bool IsSchemaTooNew = false;
  bool IsScanning = false; ///< our position in the log has expired
};

/// Follows the configuration stream and decides which state is in force here.
/// A state machine without I/O: log reads and peer replies are its events.
///
/// The configuration never goes back: a truncated log, or a peer or snapshot
/// with a lower offset, does not change it. At the start nothing is served
/// before peers of both kinds (own and other data centre) were queried and the
/// highest known offset is reached.
class config_follower {
public:
  config_follower(follower_settings Settings, mono_time Now);

  std::vector<follower_output> handle(const follower_input &Input,
                                      mono_time Now);

  log_request nextRequest(mono_time Now) const;
  follower_status status() const;
  const follower_counts &counts() const { return Counts; }
  const config_replica &replica() const { return Replica; }
  /// Offsets that peers reported, by VM.
  const std::map<std::string, peer_offset> &peerOffsets() const {
    return Offsets;
  }

private:
  using outputs = std::vector<follower_output>;

  void on(const follower_event::log_read &Event, mono_time Now, outputs &Out);
  void on(const follower_event::log_bounds_read &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::log_failed &Event, mono_time Now, outputs &Out);
  void on(const follower_event::peer_offset_received &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::gossip_offset_received &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::state_received &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::peer_failed &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::peers_updated &Event, mono_time Now,
          outputs &Out);
  void on(const follower_event::tick &Event, mono_time Now, outputs &Out);

  bool verifyHistory(const follower_event::log_read &Event, outputs &Out);
  void markLogSuspect(std::string Detail, outputs &Out);
  void applyRecords(const log_batch &Batch, outputs &Out);
  void scanRecords(const log_batch &Batch, mono_time Now, outputs &Out);
  bool adoptState(config_state State);
  void count(const change_verdict &Verdict, outputs &Out);
  void queryPeers(mono_time Now, outputs &Out);
  void queryPeer(bool InOwnDataCentre, outputs &Out);
  bool isOwnDataCentre(const peer_info &Peer) const;
  void updatePeersChecked(mono_time Now);
  void fetchIfBehind(const peer_offset &Offset, mono_time Now, outputs &Out);
  void appendSnapshotIfDue(std::int64_t WallSeconds, mono_time Now,
                           outputs &Out);
  bool isSnapshotDue(std::int64_t WallSeconds) const;
  std::size_t snapshotRank() const;
  void publishIfReady(outputs &Out);

  follower_settings Settings;
  config_replica Replica;
  follower_counts Counts;

  // The log.
  bool LogReachable = false;
  bool LogSuspect = false;
  bool SchemaTooNew = false;
  bool CaughtUp = false;
  bool NeedsVerify = false;
  bool Scanning = false;
  bool NeedsBounds = false;
  std::uint64_t ScanFrom = 0;
  mono_time NextScanAt{};

  // Peers.
  mono_time StartedAt;
  std::vector<peer_info> Peers;
  std::map<std::string, std::string> DataCentres; ///< by peer address
  std::map<std::string, peer_offset> Offsets;
  std::set<std::string> PendingQueries; ///< queried, not yet answered
  std::set<std::string> QueriedPeers;
  bool OwnDataCentreAnswered = false;
  bool OtherDataCentreAnswered = false;
  bool PeersReceived = false;
  bool PeersChecked = false;
  std::uint64_t HighestPeerOffset = 0;
  std::optional<mono_time> BehindSince;
  std::optional<mono_time> FetchingUntil;
  std::optional<mono_time> LastQueryAt;
  std::size_t QueryRounds = 0;

  // Snapshots and readiness.
  std::optional<mono_time> SnapshotDueSince;
  std::optional<mono_time> SnapshotRequestedAt;
  bool Ready = false;
  std::uint64_t Published = 0;
};

} // namespace clementinelane
