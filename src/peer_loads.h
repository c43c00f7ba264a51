#pragma once

#include "clock.h"
#include "config.h"
#include "endpoint_leaves.h"
#include "endpoint_limits.h"
#include "rejection_guard.h"
#include "service_shares.h"
#include "slow_start.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Load of one VM in flight at one endpoint.
struct endpoint_load {
  std::uint32_t Endpoint = 0; ///< hash of its id
  double Work = 0;            ///< see call_work
  unsigned Running = 0;
};

/// Load of one VM in flight, gossiped to the others.
struct load_digest {
  std::string Vm;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0; ///< increases with each digest of an incarnation
  std::vector<endpoint_load> Loads;
  double Cores = 0; ///< of the VM; 0 if unknown
  std::vector<cold_note> Cold = {};
  std::vector<limit_note> Limits = {};
  std::string DataCentre = {}; ///< of the VM; empty if unknown
  /// Endpoint groups that the VM can't connect to; see endpointGroup().
  std::vector<std::uint32_t> LostGroups = {};
  std::vector<rejection_limit_note> RejectionLimits = {};
  std::vector<leave_note> Leaves = {};
  share_notes Shares = {};
  std::uint64_t ConfigurationVersion = 0; ///< in use at the VM; 0: none
};

/// Hash that identifies an endpoint or a service in digests.
std::uint32_t digestHash(std::string_view Id);

std::string encodeDigest(const load_digest &Digest);
/// None if the bytes aren't a valid digest.
std::optional<load_digest> decodeDigest(std::string_view Bytes);

/// Load that the other VMs have in flight, from their digests.
///
/// Load: engines at three quarters of their capacity, and VMs that each see a
/// tenth of the requests sent there. Harm prevented: two VMs send long prompts
/// to one engine while others are idle. Digests may be lost, late or reordered:
/// the sequence number supersedes older ones, and a VM that has gone silent
/// stops counting after a timeout, since its requests end with it.
class peer_loads {
public:
  void applyDigest(const load_digest &Digest, mono_time Now);
  /// Drops VMs whose last digest is older than `Life`; call periodically.
  void expire(mono_time Now, duration Life = config::DigestTtl);
  /// Load of all other VMs at the endpoint.
  endpoint_load at(std::string_view EndpointId) const {
    return at(digestHash(EndpointId));
  }
  endpoint_load at(std::uint32_t Endpoint) const;
  std::size_t vms() const { return Vms.size(); }

private:
  struct vm {
    load_digest Digest;
    mono_time At;
  };
  void addLoads(const load_digest &Digest, int Sign);

  std::map<std::string, vm, std::less<>> Vms;
  std::unordered_map<std::uint32_t, endpoint_load> Sums;
};

} // namespace clementinelane
