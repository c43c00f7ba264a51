#pragma once

#include "clock.h"
#include "endpoint_owners.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// The rate limit that an answer of an endpoint announced, shared between VMs.
struct limit_note {
  std::uint32_t Endpoint = 0;              ///< hash of its id, see digestHash
  std::optional<double> RequestsPerSecond; ///< none: no longer announced
  std::chrono::milliseconds Age{0};        ///< since the answer
};

/// Enforces rate limits that overloaded endpoints announce, for the whole
/// fleet. Does no I/O.
///
/// Load: an endpoint that still answers but can't carry its usual share, and
/// VMs that send to it independently. Harm prevented: it goes down, and its
/// load moves to the other endpoints. VMs can't coordinate each request, so a
/// few VMs own the endpoint, see endpoint_owners, and each sends its part of
/// the limit, evenly spaced; the others send nothing. Within a time `T` the
/// owners send at most limit * T + owners requests. More owners make it
/// likelier that a caller is near one; their number is bounded by the
/// platform's tolerance: as many requests beyond the limit as it allows in two
/// seconds, and a few more. A limit holds until an answer no longer announces
/// it, however old the last answer is, since nothing else proves that it ended.
class endpoint_limits {
public:
  /// Sets the hashes of this VM and of all known peers.
  void setVms(std::uint64_t Own, std::vector<std::uint64_t> Others,
              mono_time Now);

  /// Records an answer received by this VM. Returns true if the limit changed.
  bool recordAnswer(std::uint32_t Endpoint,
                    std::optional<double> RequestsPerSecond, mono_time Now);
  /// Merges a note from another VM; the newest answer wins.
  void applyPeerLimitNote(const limit_note &Note, mono_time Now);
  /// Drops the limit of an endpoint that restarted.
  void forget(std::uint32_t Endpoint) { Entries.erase(Endpoint); }

  bool isLimited(std::uint32_t Endpoint) const;
  /// Whether this VM may send the endpoint a request now.
  bool maySend(std::uint32_t Endpoint, mono_time Now) const;
  /// When this VM may send the next request; none if only other VMs may.
  std::optional<mono_time> nextSendTime(std::uint32_t Endpoint,
                                        mono_time Now) const;
  /// Records that this VM sends a request.
  void recordSend(std::uint32_t Endpoint, mono_time Now);

  /// Recent answers received by this VM, for the load digest.
  std::vector<limit_note> ownNotes(mono_time Now) const;
  /// Drops expired entries; call periodically.
  void expire(mono_time Now);
  std::size_t countLimited() const;

private:
  struct entry {
    std::optional<double> Limit;
    mono_time AnsweredAt{};
    mono_time NextSendAt{}; ///< for this VM
    bool IsOwner = false;
    bool IsLocal = false; ///< the answer was received by this VM
  };
  static std::size_t ownerCountFor(double Limit);
  duration spacing(double Limit) const;
  void set(std::uint32_t Endpoint, std::optional<double> Limit, mono_time At,
           bool IsLocal);

  endpoint_owners Owners;
  std::unordered_map<std::uint32_t, entry> Entries;
};

} // namespace clementinelane
