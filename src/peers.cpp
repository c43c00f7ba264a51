#include "peers.h"

#include "codec.h"

namespace clementinelane {

std::string encodePeers(const std::vector<peer_info> &Peers) {
  return pack(Peers);
}

result<std::vector<peer_info>> decodePeers(std::string_view Bytes) {
  return unpack<std::vector<peer_info>>(Bytes, error_kind::PeerIncompatible);
}

} // namespace clementinelane
