#pragma once

#include "clementinelane/error.h"

#include <cstdint>
#include <msgpack.hpp>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Another VM of the system, in its current state according to membership.
struct peer_info {
  std::string Vm;
  std::string DataCentre;
  std::string Region;
  std::string ControlLink; ///< IP number and port
  std::string EntryLink;   ///< IP number and port
  std::uint64_t Incarnation = 0;
  bool IsLeaving = false;
  MSGPACK_DEFINE_MAP(Vm, DataCentre, Region, ControlLink, EntryLink,
                     Incarnation, IsLeaving)
};

/// Encodes the peers that control sends to entry.
std::string encodePeers(const std::vector<peer_info> &Peers);
result<std::vector<peer_info>> decodePeers(std::string_view Bytes);

/// Source of the currently reachable VMs, without this one.
class peer_source {
public:
  virtual ~peer_source() = default;
  virtual std::vector<peer_info> peers() const = 0;
};

/// A list that is replaced as a whole: fixed in tests, received from control in
/// entry.
class peer_list final : public peer_source {
public:
  std::vector<peer_info> peers() const override {
    const std::scoped_lock Lock(Mutex);
    return Peers;
  }
  void set(std::vector<peer_info> Newer) {
    const std::scoped_lock Lock(Mutex);
    Peers = std::move(Newer);
  }

private:
  mutable std::mutex Mutex;
  std::vector<peer_info> Peers;
};

} // namespace clementinelane
