#pragma once

#include "clock.h"
#include "config.h"

#include <cstddef>
#include <map>
#include <string>

namespace clementinelane {

/// Settings of the router on one VM.
struct router_settings {
  std::string VmName;
  std::string DataCentre;
  /// The region of each data centre.
  std::map<std::string, std::string, std::less<>> Regions;
  std::string Address;       ///< IP address of this VM
  std::string CallerAddress; ///< listen address for callers
  std::string ReadyAddress;  ///< listen address for the load balancer's probes
  std::string PeerAddress;   ///< receives datagrams of other routers
  std::string PlatformAddress;
  double LinkMegabits = 0;    ///< a second, of this VM's link; 0: unknown
  double FileDescriptors = 0; ///< 0: unknown
  double MemoryMegabytes = 0; ///< of this VM, 10^6 bytes each; 0: unknown
  double Cores = 0; ///< CPU cores of this VM, may be a fraction; 0: unknown
  /// A revoked key may be accepted for at most this long.
  std::chrono::milliseconds RevocationBound{5'000};
  /// Time between the stop signal and the kill.
  std::chrono::milliseconds StopGrace{8'000};
  /// Retry budget of the whole fleet: retries per request, and a fixed number
  /// in addition, within a window.
  double RetryRatio = 0.9;
  double RetryExtra = 0;
  std::chrono::milliseconds RetryWindow{10'000};
  /// Fraction of a service's requests that a roll-out may expose to a bad
  /// version.
  double ExposureBound = 0.15;
  double ExposureTolerance = 0; ///< requests allowed in addition
  /// A session expires after this long without a request.
  std::chrono::milliseconds SessionTtl{5'000};
  /// Whether customers get even parts of a service that is short of capacity.
  bool CustomerShares = true;
};

/// How long customers' keys stay valid without a confirmation.
inline duration keyLease(const router_settings &Settings) {
  return std::chrono::duration_cast<duration>(Settings.RevocationBound *
                                              config::KeyLeaseFraction);
}

} // namespace clementinelane
