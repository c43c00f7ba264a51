#include "peer_paths.h"

#include "hashing.h"
#include "peer_loads.h"

#include <algorithm>
#include <utility>

namespace clementinelane {

namespace {

/// How long a peer, or an endpoint that a peer failed to connect to, is avoided
/// after a failure; digests take as long to report a lost group.
constexpr auto TunnelFailureBackoff = std::chrono::seconds(1);

} // namespace

std::uint32_t endpointGroup(std::string_view Service,
                            std::string_view DataCentre) {
  return digestHash(std::string(Service) + '\n' + std::string(DataCentre));
}

void peer_paths::applyDigest(std::string_view Peer,
                             std::string_view PeerDataCentre,
                             std::vector<std::uint32_t> Lost, mono_time Now) {
  peer &Known = Peers[std::string(Peer)];
  Known.DataCentre = PeerDataCentre;
  Known.Lost = std::move(Lost);
  Known.HeardAt = Now;
}

void peer_paths::expire(mono_time Now, duration Ttl) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > Ttl;
  });
  std::erase_if(AvoidedUntil,
                [Now](const auto &Entry) { return Entry.second <= Now; });
}

std::string_view peer_paths::dataCentreOf(std::string_view Peer) const {
  const auto Found = Peers.find(Peer);
  return Found == Peers.end() ? std::string_view{} : Found->second.DataCentre;
}

std::vector<std::string> peer_paths::nearPeers() const {
  std::vector<std::string> Found;
  for (const auto &[Address, Peer] : Peers)
    if (Peer.DataCentre == DataCentre)
      Found.push_back(Address);
  return Found;
}

bool peer_paths::mayReach(const peer &Peer, std::uint32_t Group,
                          mono_time Now) const {
  return Peer.AvoidedUntil <= Now &&
         std::find(Peer.Lost.begin(), Peer.Lost.end(), Group) ==
             Peer.Lost.end();
}

bool peer_paths::isAvoided(const endpoint_info &Endpoint, mono_time Now) const {
  const auto Found = AvoidedUntil.find(digestHash(Endpoint.Id));
  return Found != AvoidedUntil.end() && Found->second > Now;
}

bool peer_paths::hasPeerFor(const endpoint_info &Endpoint,
                            mono_time Now) const {
  if (isAvoided(Endpoint, Now))
    return false;
  const std::uint32_t Group =
      endpointGroup(Endpoint.Service, Endpoint.DataCentre);
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Entry) {
    return mayReach(Entry.second, Group, Now);
  });
}

std::optional<std::string> peer_paths::choosePeer(const endpoint_info &Endpoint,
                                                  std::uint64_t Random,
                                                  mono_time Now) const {
  const std::uint32_t Group =
      endpointGroup(Endpoint.Service, Endpoint.DataCentre);
  std::vector<const std::string *> Near;
  std::vector<const std::string *> Far;
  for (const auto &[Address, Peer] : Peers) {
    if (!mayReach(Peer, Group, Now))
      continue;
    const bool IsNear =
        Peer.DataCentre == DataCentre || Peer.DataCentre == Endpoint.DataCentre;
    (IsNear ? Near : Far).push_back(&Address);
  }
  const auto &From = Near.empty() ? Far : Near;
  if (From.empty())
    return std::nullopt;
  return *From[Random % From.size()];
}

void peer_paths::tunnelFailed(std::string_view Peer,
                              const endpoint_info &Endpoint,
                              tunnel_failure Failure, mono_time Now) {
  if (Failure == tunnel_failure::EndpointUnreachable) {
    AvoidedUntil[digestHash(Endpoint.Id)] = Now + TunnelFailureBackoff;
    return;
  }
  if (const auto Found = Peers.find(Peer); Found != Peers.end())
    Found->second.AvoidedUntil = Now + TunnelFailureBackoff;
}

void peer_paths::markLost(const endpoint_info &Endpoint) {
  LostGroups.insert(endpointGroup(Endpoint.Service, Endpoint.DataCentre));
}

void peer_paths::markDirect(const endpoint_info &Endpoint) {
  if (!LostGroups.empty())
    LostGroups.erase(endpointGroup(Endpoint.Service, Endpoint.DataCentre));
}

bool peer_paths::isLost(const endpoint_info &Endpoint) const {
  return !LostGroups.empty() && LostGroups.contains(endpointGroup(
                                    Endpoint.Service, Endpoint.DataCentre));
}

} // namespace clementinelane
