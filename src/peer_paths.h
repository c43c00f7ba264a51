#pragma once

#include "clock.h"
#include "endpoint_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Identifies the endpoints of one service in one data centre in digests; they
/// share their network path.
std::uint32_t endpointGroup(std::string_view Service,
                            std::string_view DataCentre);

/// Why a peer didn't open a tunnel.
enum class tunnel_failure : std::uint8_t {
  EndpointUnreachable, ///< the peer can't connect to the endpoint either
  PeerUnavailable      ///< no response from the peer, or it is busy
};

/// Selects the routers through which this VM reaches endpoints that it can't
/// connect to itself. Does no I/O.
///
/// Load: VMs lose their links to some or all endpoints, while callers and other
/// VMs still reach them; in the worst case all VMs of a data centre but one.
/// Harm prevented: every request there fails, or all of these VMs tunnel
/// through the same peer. Peers report in their digests the endpoint groups
/// that they can't reach; one of the others is drawn at random, of the
/// endpoint's data centre or this VM's if possible, since other paths cross
/// data centres twice. A tunnel has one hop: peers only connect directly.
class peer_paths {
public:
  explicit peer_paths(std::string DataCentre)
      : DataCentre(std::move(DataCentre)) {}

  /// A digest of a peer arrived. `Lost`: groups that it can't reach.
  void applyDigest(std::string_view Peer, std::string_view PeerDataCentre,
                   std::vector<std::uint32_t> Lost, mono_time Now);
  /// Drops peers without a digest for `Ttl`; call periodically.
  void expire(mono_time Now, duration Ttl);
  /// Whether digests of the peer arrive.
  bool isLive(std::string_view Peer) const { return Peers.contains(Peer); }
  /// Data centre of a live peer; empty if it isn't one.
  std::string_view dataCentreOf(std::string_view Peer) const;
  /// Addresses of the live peers of this VM's data centre.
  std::vector<std::string> nearPeers() const;

  /// Whether some peer may reach the endpoint.
  bool hasPeerFor(const endpoint_info &Endpoint, mono_time Now) const;
  /// Draws a peer, by a random number, that may reach the endpoint.
  std::optional<std::string> choosePeer(const endpoint_info &Endpoint,
                                        std::uint64_t Random,
                                        mono_time Now) const;
  void tunnelFailed(std::string_view Peer, const endpoint_info &Endpoint,
                    tunnel_failure Failure, mono_time Now);

  /// A peer reached an endpoint that this VM fails to connect to: this VM's own
  /// links are lost, for the whole group until a direct connection succeeds.
  void markLost(const endpoint_info &Endpoint);
  void markDirect(const endpoint_info &Endpoint);
  bool isLost(const endpoint_info &Endpoint) const;
  std::size_t countLost() const { return LostGroups.size(); }

private:
  struct peer {
    std::string DataCentre;
    std::vector<std::uint32_t> Lost;
    mono_time HeardAt{};
    mono_time AvoidedUntil{};
  };
  bool mayReach(const peer &Peer, std::uint32_t Group, mono_time Now) const;
  bool isAvoided(const endpoint_info &Endpoint, mono_time Now) const;

  std::string DataCentre;
  std::map<std::string, peer, std::less<>> Peers;
  std::set<std::uint32_t> LostGroups;
  /// Endpoints that a peer failed to connect to.
  std::unordered_map<std::uint32_t, mono_time> AvoidedUntil;
};

} // namespace clementinelane
