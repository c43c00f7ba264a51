#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinelane {

/// Rejection limit of a service, shared with other VMs.
struct rejection_limit_note {
  std::uint32_t Service = 0;                 ///< digestHash() of its name
  std::optional<double> RejectionsPerSecond; ///< none: no longer limited
  std::chrono::milliseconds Age{0};          ///< since the answer
};

/// An endpoint that rejected a request, and its service, by digestHash().
struct rejection_note {
  std::uint32_t Endpoint = 0;
  std::uint32_t Service = 0;
};

std::string encodeRejections(std::span<const rejection_note> Notes);
/// None if the bytes are malformed.
std::optional<std::vector<rejection_note>>
decodeRejections(std::string_view Bytes);

/// The state of an endpoint that may get one more request.
struct admission_query {
  std::uint32_t Endpoint = 0;
  std::uint32_t Service = 0;
  unsigned Slots = 0;
  unsigned AllRunning = 0;  ///< requests of all VMs, from digests
  bool IsShort = false;     ///< its requests end before a digest arrives
  double MeanSeconds = 0;   ///< mean time to the first byte
  bool WasRejected = false; ///< another endpoint has rejected the request
};

/// Admission to endpoints that fail if they have to reject too many requests.
/// Does no I/O.
///
/// Load: a burst beyond the capacity of a service whose endpoints announce how
/// many rejections per second they survive, sent by VMs that each see a part
/// of it. Harm prevented: endpoints fall over one after the other, and each
/// leaves its load to the rest. Requests beyond the capacity are refused by the
/// VMs instead. Nothing counts on the endpoints' queues, which may shrink. Long
/// requests: digests show the free slots, and each VM claims its even part of
/// them. Short requests end before a digest arrives: each VM keeps to its even
/// part of the rate at which few find all slots busy. A rejection lowers both
/// on all VMs at once; they grow again slowly.
class rejection_guard {
public:
  /// `Seed` differs between VMs.
  explicit rejection_guard(std::uint64_t Seed) : Seed(Seed) {}

  /// Number of VMs that may send to the endpoints, including this one.
  void setVmCount(std::size_t Value);

  /// Records an answer received by this VM. Returns true if the limit changed.
  bool recordAnswer(std::uint32_t Service,
                    std::optional<double> RejectionsPerSecond, mono_time Now);
  /// Merges a note from another VM; the newest answer wins.
  void applyPeerLimitNote(const rejection_limit_note &Note, mono_time Now);
  bool isGuarded(std::uint32_t Service) const;

  bool maySend(const admission_query &Query, mono_time Now);
  void recordSend(const admission_query &Query, mono_time Now);
  /// The endpoint rejected a request of this VM.
  void recordRejection(const admission_query &Query, mono_time Now);
  void applyPeerRejection(const rejection_note &Note, mono_time Now);
  /// Endpoints that rejected requests of this VM since the last call.
  std::vector<rejection_note> takeOutgoing() {
    return std::exchange(Outgoing, {});
  }

  /// Recent answers received by this VM, for the load digest.
  std::vector<rejection_limit_note> ownNotes(mono_time Now) const;
  /// Drops expired entries; call periodically.
  void expire(mono_time Now);
  std::size_t countGuarded() const;

private:
  struct service {
    std::optional<double> Limit;
    mono_time AnsweredAt{};
    bool IsLocal = false;   ///< the answer was received by this VM
    mono_time RejectedAt{}; ///< the last rejection of any endpoint
    mono_time PacedSince{};
  };
  struct endpoint {
    double UsablePart = 1; ///< after the last rejection
    mono_time RejectedAt{};
    std::int64_t Interval = 0; ///< of the last request of this VM
    unsigned Sent = 0;         ///< by this VM in that interval
    mono_time SentAt{};        ///< the last one
    double Tokens = 0;         ///< for short requests
    mono_time RefilledAt{};
    double usablePart(mono_time Now) const;
    void reject(mono_time Now);
  };
  void setLimit(std::uint32_t Service, std::optional<double> Limit,
                mono_time At, bool IsLocal);
  double limitOf(std::uint32_t Service) const;
  double usablePart(const admission_query &Query, mono_time Now) const;
  bool maySendLong(const admission_query &Query, mono_time Now);
  bool maySendShort(const admission_query &Query, mono_time Now);
  /// Number from 0 to 1 that differs between VMs, endpoints and rounds.
  double draw(const admission_query &Query, std::int64_t Round) const;
  std::int64_t intervalOf(mono_time Now) const;

  std::uint64_t Seed;
  std::size_t VmCount = 1;
  std::unordered_map<std::uint32_t, service> Services;
  std::unordered_map<std::uint32_t, endpoint> Endpoints;
  std::vector<rejection_note> Outgoing;
};

} // namespace clementinelane
