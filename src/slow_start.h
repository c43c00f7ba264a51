#pragma once

#include "clock.h"
#include "endpoint_owners.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Slow start settings of a service.
struct slow_start_rule {
  duration ColdTime{};          ///< after a start
  double RequestsPerSecond = 0; ///< from all VMs together; 0: no limit
};

/// A cold endpoint that a VM detected, shared with the other VMs.
struct cold_note {
  std::uint32_t Endpoint = 0; ///< hash of its id, see digestHash
  std::chrono::milliseconds Remaining{0};
};

/// Slow start: limits the request rate of cold endpoints across all VMs. Does
/// no I/O.
///
/// Load: all endpoints of a data centre come back at once. They have no work in
/// flight, which attracts the requests of every VM. Harm prevented: each
/// endpoint gets dozens of requests within a second and crashes again.
///
/// VMs don't negotiate shares. The first config::SlowStartOwners VMs by
/// endpoint_owners each send their part of the rate, evenly spaced, so at most
/// owners * (1 + rate / owners) requests are sent within a second. A
/// partitioned VM remembers its peers for config::PeerTtl and owns no more
/// endpoints than before; a VM without a peer list owns none.
class slow_start {
public:
  void setRule(std::string_view Service, const slow_start_rule &Rule);
  /// Whether slow start limits endpoints of the service.
  bool isRateLimited(std::string_view Service) const;
  /// How long endpoints stay cold after a start; 0 without slow start.
  duration coldTime(std::string_view Service) const;
  /// Sets the hashes of this VM and of all known peers.
  void setVms(std::uint64_t Own, std::vector<std::uint64_t> Others);

  /// Marks the endpoint cold for `For`, as reported by a source that all VMs
  /// see.
  void markCold(std::uint32_t Endpoint, duration For, mono_time Now);
  /// Marks an endpoint that restarted, or may have, as this VM observed. It is
  /// cold for the service's cold time.
  void markRestarted(std::uint32_t Endpoint, std::string_view Service,
                     mono_time Now);
  /// Withdraws a recent markRestarted(), since the endpoint didn't go down.
  void retractRestart(std::uint32_t Endpoint, mono_time Now);
  /// Merges a note from another VM.
  void applyPeerColdNote(const cold_note &Note, mono_time Now);

  bool isCold(std::uint32_t Endpoint, mono_time Now) const;
  /// Whether this VM may send the endpoint a request now.
  bool maySend(std::uint32_t Endpoint, std::string_view Service,
               mono_time Now) const;
  /// When this VM may send the next request.
  mono_time nextSendTime(std::uint32_t Endpoint, mono_time Now) const;
  /// Records that this VM sends a request.
  void recordSend(std::uint32_t Endpoint, std::string_view Service,
                  mono_time Now);
  /// Drops expired entries; call periodically.
  void expire(mono_time Now);

  /// Restarts observed by this VM at least `MinAge` ago, for the load digest.
  std::vector<cold_note> ownNotes(mono_time Now,
                                  duration MinAge = duration::zero()) const;
  std::size_t countCold(mono_time Now) const;

private:
  struct entry {
    mono_time SharedColdUntil{}; ///< as reported to all VMs
    mono_time LocalColdUntil{};  ///< as observed by this VM
    mono_time LocalColdSince{};
    mono_time NextSendAt{}; ///< for this VM
    bool IsOwner = false;
    mono_time coldUntil() const {
      return std::max(SharedColdUntil, LocalColdUntil);
    }
  };
  entry &at(std::uint32_t Endpoint);
  duration spacing(std::string_view Service) const;

  std::map<std::string, slow_start_rule, std::less<>> Rules;
  endpoint_owners Owners;
  std::unordered_map<std::uint32_t, entry> Entries;
};

} // namespace clementinelane
