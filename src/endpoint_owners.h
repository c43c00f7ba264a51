#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinelane {

/// Selects the VMs that may send to a restricted endpoint, without
/// coordination: rendezvous hashing ranks the known VMs for each endpoint, and
/// the first ones own it. VMs with differing peer lists may add a few owners.
class endpoint_owners {
public:
  /// Sets the hashes of this VM and of all known peers. Returns false if
  /// nothing changed.
  bool setVms(std::uint64_t OwnHash, std::vector<std::uint64_t> OtherHashes);
  /// Whether this VM is among the first `Count` VMs of the endpoint. False as
  /// long as the peers are unknown.
  bool owns(std::uint32_t Endpoint, std::size_t Count) const;
  /// Number of owners: `Count`, or the number of VMs if that is lower.
  std::size_t ownerCount(std::size_t Count) const;

private:
  std::uint64_t Own = 0;
  std::vector<std::uint64_t> Others;
  bool AreKnown = false;
};

} // namespace clementinelane
