#pragma once

#include "clock.h"
#include "endpoint_directory.h"
#include "endpoint_limits.h"
#include "endpoint_pauses.h"
#include "engine_pace.h"
#include "peer_loads.h"
#include "peer_paths.h"
#include "reachability_tracker.h"
#include "rejection_guard.h"
#include "slow_start.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace clementinelane {

/// What one attempt requires of an endpoint.
struct endpoint_request {
  std::string_view Service;
  std::string_view Model;     ///< empty for a plain service
  std::uint64_t Affinity = 0; ///< hash of the shared prompt prefix
  double Work = 1;            ///< of the whole attempt; see call_work
  double AnswerWork = 0;      ///< part of Work after the first byte
  double SharedWork = 0;      ///< part of Work that a prefix cache hit saves
  std::span<const std::string> Excluded; ///< ids that failed this request
  /// Ids that this VM failed to connect to for this request.
  std::span<const std::string> Unconnected;
  bool PrefersPeers = false; ///< connect through peers if possible
  bool WasRejected = false;  ///< an endpoint rejected the request
  /// Whether the request may run on the endpoint's version.
  std::function<bool(const endpoint_info &)> IsAllowed;
};

/// A selected endpoint and the work queued before the attempt's first byte.
struct chosen_endpoint : endpoint_info {
  work_ahead Ahead;
  std::string Peer{}; ///< router to connect through; empty: direct
};

/// How an attempt ended; feeds the health statistics.
enum class attempt_result : std::uint8_t {
  Served,
  Failed,      ///< answered with an error of its own
  Full,        ///< rejected for lack of capacity; not run
  Unreachable, ///< connection failed
  Refused,     ///< connection refused
  Untunnelled, ///< a peer opened no tunnel to it; says nothing of its health
  Replaced,    ///< another endpoint now uses its address
  Broken,      ///< connection lost or stalled, or malformed answer
  Cancelled    ///< by this VM or by the caller
};

/// Load balancer: selects an endpoint for each attempt. Does no I/O.
///
/// Load: long prompts with shared prefixes, a few of them hot, on endpoints
/// that fail, slow down or vanish while still listed. Harm prevented: the same
/// prefix computed on every endpoint; a queue behind a hot prefix; each VM
/// rediscovering a dead endpoint with every request.
class endpoint_choice {
public:
  endpoint_choice(const endpoint_directory &Directory, const peer_loads &Peers,
                  std::string DataCentre, std::uint64_t Seed)
      : Directory(Directory), Peers(Peers), DataCentre(std::move(DataCentre)),
        Random(Seed), Guard(Seed), Paths(this->DataCentre) {}

  /// Returns the endpoint that choose() would select, without reserving it.
  std::optional<chosen_endpoint> peek(const endpoint_request &Request,
                                      mono_time Now);
  /// Selects an endpoint and counts the attempt as in flight there.
  std::optional<chosen_endpoint> choose(const endpoint_request &Request,
                                        mono_time Now);
  /// Earliest time at which this VM may send a request to a cold, paused or
  /// rate-limited endpoint; for requests that have no endpoint now.
  std::optional<mono_time> nextSendTime(const endpoint_request &Request,
                                        mono_time Now) const;
  /// Work in flight at an endpoint, from all VMs.
  double outstandingWork(std::string_view Id) const;
  /// Mean work in flight per endpoint of a service.
  double meanOutstandingWork(std::string_view Service) const;
  /// Subtracts finished work `By` of an attempt at `Id`.
  void reportProgress(std::string_view Id, double By);
  /// Ends an attempt at `Id` with `Work` unfinished. `FirstByte` is the time to
  /// its first byte, if there was one.
  void attemptEnded(std::string_view Id, double Work, attempt_result Result,
                    std::optional<duration> FirstByte, mono_time Now);
  /// A connection to the endpoint succeeded, for an attempt or a probe.
  void connected(const endpoint_info &Endpoint, duration Elapsed,
                 mono_time Now);
  /// A peer connected to the endpoint, for an attempt or a probe.
  void connectedThroughPeer(const endpoint_info &Endpoint, mono_time Now);
  /// A connection to the endpoint failed.
  void connectFailed(const endpoint_info &Endpoint, bool IsRefused,
                     mono_time Now);
  /// Stores the rate limit that an answer of the endpoint announced, or its
  /// absence. Returns true if the limit changed.
  bool recordLimit(std::string_view Id, std::optional<double> RequestsPerSecond,
                   mono_time Now);
  /// The endpoint rejected a request of this VM and wants no more for `Time`.
  /// Returns when the pause ends.
  mono_time pause(std::string_view Id, duration Time, mono_time Now) {
    return Pauses.pause(Id, Time, Now);
  }
  /// Whether the endpoint takes requests of this VM, as it announced itself.
  bool takesRequests(const endpoint_info &Endpoint, mono_time Now) const;
  /// The shortest pause left, if all endpoints for the request are paused.
  std::optional<duration> pauseLeft(const endpoint_request &Request,
                                    mono_time Now) const;
  /// Paused endpoints of the service for a log line, with the milliseconds
  /// left.
  std::string describePauses(std::string_view Service, mono_time Now) const;
  endpoint_pauses &pauses() { return Pauses; }
  const endpoint_pauses &pauses() const { return Pauses; }
  /// Stores the rejection limit that an answer of the endpoint's service
  /// announced, or its absence. Returns true if the limit changed.
  bool recordRejectionLimit(std::string_view Service,
                            std::optional<double> RejectionsPerSecond,
                            mono_time Now);
  /// Treats the endpoints of a data centre as cold: their caches may be lost.
  void markDataCentreCold(std::string_view DataCentre, mono_time Now);
  slow_start &slowStart() { return SlowStart; }
  const slow_start &slowStart() const { return SlowStart; }
  endpoint_limits &limits() { return Limits; }
  const endpoint_limits &limits() const { return Limits; }
  rejection_guard &guard() { return Guard; }
  const rejection_guard &guard() const { return Guard; }
  duration connectTimeout(const endpoint_info &Endpoint) const {
    return Reach.connectTimeout(Endpoint.DataCentre);
  }
  bool isUnreachable(const endpoint_info &Endpoint) const {
    return Reach.isUnreachable(Endpoint.Id, Endpoint.DataCentre) ||
           Paths.isLost(Endpoint);
  }
  /// Whether established connections to the endpoint have probably died without
  /// a reset. `Peer`: the router that they go through; empty: direct.
  bool isPathSilent(const endpoint_info &Endpoint, std::string_view Peer,
                    mono_time Now) const {
    if (Reach.isOwnLinkSlow(Now))
      return false;
    return Peer.empty() ? Reach.isSilent(Endpoint.Id, Endpoint.DataCentre)
                        : !Paths.isLive(Peer);
  }
  /// Whether this VM's own link delays its connections, so that a failed one
  /// says nothing of the endpoint.
  bool isOwnLinkSlow(mono_time Now) const { return Reach.isOwnLinkSlow(Now); }
  void tunnelFailed(std::string_view Peer, const endpoint_info &Endpoint,
                    tunnel_failure Failure, mono_time Now);
  peer_paths &paths() { return Paths; }
  const peer_paths &paths() const { return Paths; }
  /// Draws a peer that may reach the endpoint.
  std::optional<std::string> choosePeer(const endpoint_info &Endpoint,
                                        mono_time Now) {
    return Paths.choosePeer(Endpoint, random(), Now);
  }
  /// Endpoint groups of which this VM can't connect to any endpoint.
  std::vector<std::uint32_t> lostGroups() const;
  /// Whether the endpoint belongs to such a group.
  bool hasLostGroupOf(const endpoint_info &Endpoint) const;
  /// Endpoints that became unreachable since the last call, a few at a time,
  /// unless this VM's own links are known to be the cause.
  std::vector<endpoint_info> newlyUnreachable();
  /// Unreachable endpoints that are due for a connection probe.
  std::vector<endpoint_info> probesDue(mono_time Now);
  /// Drops state of endpoints that the directory no longer lists.
  void eraseRemoved();
  /// Work of this VM in flight, for the load digest.
  std::vector<endpoint_load> loads() const;
  /// Attempts in flight at endpoints of `Service`, of this VM and from
  /// digests, and the slots of these endpoints.
  struct occupancy {
    double Running = 0;
    double Slots = 0;
    double BusySlots = 0;
    double busyPart() const { return Slots > 0 ? BusySlots / Slots : 0; }
  };
  occupancy occupancyOf(std::string_view Service) const;
  /// Number of endpoints that the last connection attempt didn't reach.
  std::size_t countUnreachable() const { return Reach.countUnreachable(); }
  /// Number of endpoints avoided now.
  std::size_t countAvoided(mono_time Now) const;

private:
  /// Whether failed connections to the endpoint are its own fault.
  bool saysOfEndpoint(const endpoint_info &Endpoint, mono_time Now) const;
  struct state {
    bool IsReplaced = false; ///< until it returns with another incarnation
    std::uint64_t Incarnation = 0;
    std::uint64_t IdHash = 0;
    std::uint32_t DigestHash = 0;
    double Work = 0;                  ///< of this VM's attempts in flight
    unsigned Running = 0;             ///< this VM's attempts in flight
    double FailureRate = 0;           ///< moving average
    double MeanFirstByte = 0;         ///< moving average, seconds
    unsigned ConsecutiveFailures = 0; ///< for the backoff
    mono_time AvoidedUntil{};
    mono_time NotConnectedUntil{}; ///< avoided for direct connections
  };
  using candidates = std::vector<std::pair<const endpoint_info *, state *>>;

  state &stateOf(const endpoint_info &Info);
  candidates candidatesFor(const endpoint_request &Request, mono_time Now);
  candidates withPath(const candidates &All, const endpoint_request &Request,
                      mono_time Now) const;
  bool needsPeer(const endpoint_info &Endpoint,
                 const endpoint_request &Request) const {
    return Request.PrefersPeers || isUnreachable(Endpoint);
  }
  mono_time avoidedUntil(const endpoint_info &Endpoint,
                         const state &State) const;
  candidates healthy(const candidates &All, mono_time Now) const;
  chosen_endpoint pickEngine(const candidates &From,
                             const endpoint_request &Request) const;
  chosen_endpoint pickPlain(const candidates &From);
  double totalWork(const state &State) const;
  admission_query admissionQuery(const endpoint_info &Endpoint,
                                 const state &State,
                                 const endpoint_request &Request) const;
  bool isAdmitted(const endpoint_info &Endpoint, const state &State,
                  const endpoint_request &Request, mono_time Now);
  std::uint64_t random();

  const endpoint_directory &Directory;
  const peer_loads &Peers;
  std::string DataCentre;
  std::uint64_t Random;
  std::map<std::string, state, std::less<>> States;
  reachability_tracker Reach;
  slow_start SlowStart;
  endpoint_limits Limits;
  endpoint_pauses Pauses;
  rejection_guard Guard;
  peer_paths Paths;
};

} // namespace clementinelane
