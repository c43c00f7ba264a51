#include "peers.h"

namespace clementinelane {

std::string encodePeers(const std::vector<peer_info> &Peers) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Peers);
  return {Buffer.data(), Buffer.size()};
}

result<std::vector<peer_info>> decodePeers(std::string_view Bytes) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size())
        .get()
        .as<std::vector<peer_info>>();
  } catch (const std::exception &) {
    return error_kind::PeerIncompatible;
  }
}

} // namespace clementinelane
