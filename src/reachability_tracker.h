#pragma once

#include "clock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Tracks which endpoints accept connections, from this VM's attempts and
/// probes. Does no I/O.
///
/// Failure: a data centre is cut off, or an endpoint crashes or loses power,
/// while it is still listed. Connections are refused, or packets are dropped
/// and each attempt runs into its connect timeout. Harm prevented: every
/// request rediscovers each such endpoint, is late, or fails after several
/// tries while reachable endpoints are left. One failed connection marks an
/// endpoint unreachable; several failed endpoints without a success in between
/// mark their data centre. Unreachable endpoints are probed with connections
/// that carry no request; the first success clears the mark.
/// The connect timeout adapts to the data centre: mean connect time plus
/// several deviations, so that a slow VM or a long distance isn't mistaken for
/// an outage.
/// Load: more traffic than this VM's link carries. Harm prevented: connections
/// wait on the link for longer than the timeout, each verdict is wrong, and
/// streams that still run are given up for connections that fail as well.
class reachability_tracker {
public:
  /// A connection was established after `Elapsed`.
  void connected(std::string_view Id, std::string_view DataCentre,
                 duration Elapsed, mono_time Now);
  /// A connection was refused or timed out.
  void connectFailed(std::string_view Id, std::string_view DataCentre,
                     mono_time Now, bool IsRefused = false);

  bool isUnreachable(std::string_view Id, std::string_view DataCentre) const;
  /// Whether packets to the endpoint seem to be dropped. Where connections are
  /// refused instead, established ones would have been reset if they were
  /// dead.
  bool isSilent(std::string_view Id, std::string_view DataCentre) const;
  /// Whether only its data centre makes the endpoint unreachable. Worth a
  /// probe, since several endpoints may have crashed independently.
  bool isUnreachableByCentre(std::string_view Id,
                             std::string_view DataCentre) const {
    return !Unreachable.contains(Id) && isCentreUnreachable(DataCentre);
  }
  /// Whether the endpoint itself is unreachable, whatever its data centre.
  bool isUnreachable(std::string_view Id) const {
    return Unreachable.contains(Id);
  }
  /// Whether the endpoint is unreachable by failures that the own link
  /// explains.
  bool isDoubtful(std::string_view Id) const;
  /// Timeout for the next connection to that data centre.
  duration connectTimeout(std::string_view DataCentre) const;

  /// Unreachable endpoints due for a probe; drops those for which `IsKnown` is
  /// false.
  std::vector<std::string>
  probesDue(const std::function<bool(std::string_view Id)> &IsKnown,
            mono_time Now);
  /// Endpoints marked since the last call, up to config::MaxProbesPerRound.
  std::vector<std::string> takeNewlyUnreachable();
  /// A peer of that data centre didn't respond.
  void peerUnanswered(std::string_view DataCentre, mono_time Now);
  /// A peer connected to an endpoint.
  void connectedThroughPeer() { DelayedAt.clear(); }
  /// Whether connections are late or unanswered wherever this VM opens them,
  /// which its own link explains better than several outages.
  bool isOwnLinkSlow(mono_time Now) const;
  /// Drops the state of an endpoint that restarted.
  void forget(std::string_view Id);
  std::size_t countUnreachable() const { return Unreachable.size(); }

private:
  struct unreachable_endpoint {
    std::string DataCentre;
    mono_time ProbedAt;
    bool IsRefused = false;  ///< at the last failure
    bool IsDoubtful = false; ///< failed while the own link was unsteady
    bool IsNew = true;       ///< not yet returned by takeNewlyUnreachable()
  };
  struct data_centre {
    unsigned Samples = 0;
    double MeanSeconds = 0;
    double DeviationSeconds = 0;
    /// Endpoints that failed since the last success.
    std::set<std::string, std::less<>> Unanswered;
    bool IsRefused = false;  ///< at the last failure
    bool IsDoubtful = false; ///< failed while the own link was unsteady
  };
  void recordDelay(std::string_view DataCentre, mono_time Now);
  bool isOwnLinkUnsteady(mono_time Now) const;
  bool isCentreUnreachable(std::string_view DataCentre) const;

  std::map<std::string, unreachable_endpoint, std::less<>> Unreachable;
  std::map<std::string, data_centre, std::less<>> Centres;
  /// Last late or unanswered connection to each data centre, to an endpoint or
  /// a peer, since the last prompt one.
  std::map<std::string, mono_time, std::less<>> DelayedAt;
  std::optional<mono_time> OwnLinkSlowAt; ///< last seen
};

} // namespace clementinelane
