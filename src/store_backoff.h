#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace clementinelane {

/// What a VM knows of the fleet that shares its store.
struct store_fleet {
  bool IsReader = true;    ///< other VMs learn of the store from this one
  std::size_t LiveVms = 1; ///< including this one
};

/// A period in which the store was unavailable for this VM.
struct store_outage {
  duration Length{};
  unsigned FailedCalls = 0;
};

/// Decides when a VM calls the store while it is unavailable; does no I/O.
/// Shared by all callers of one VM.
///
/// Load: the store rejects the calls of a whole fleet at once, and each VM
/// follows several topics. Harm prevented: failed calls that grow with VMs and
/// topics; they are billed, and delay the store's recovery. One call at a time
/// probes the store for all callers of the VM. Readers probe at a short
/// interval, since the fleet learns of the recovery from them. The others probe
/// at intervals that grow with the fleet, so that their calls together stay
/// within config::StoreProbesPerSecond; but while a VM may still hold its lease
/// on the customers' keys, it probes again before the lease expires.
class store_backoff {
public:
  using fleet_query = std::function<store_fleet(mono_time)>;
  using outage_handler = std::function<void(const store_outage &)>;

  store_backoff(std::uint64_t Seed, duration KeyLease, fleet_query Fleet)
      : Random(Seed), KeyLease(KeyLease), Fleet(std::move(Fleet)) {}

  void setKeyLease(duration Value) { KeyLease = Value; }
  /// Adds a callback for the first success after failures, on which waiting
  /// callers go on.
  void onRegained(std::function<void()> Handler) {
    RegainedHandlers.push_back(std::move(Handler));
  }
  /// Sets the callbacks for the beginning and the end of an outage.
  void onOutage(outage_handler Begin, outage_handler End) {
    BeginHandler = std::move(Begin);
    EndHandler = std::move(End);
  }

  /// Whether calls are limited to probes.
  bool isInDoubt() const { return IsInDoubt; }
  /// Whether a call failed since the last answer.
  bool hasFailed() const { return FailedCalls > 0; }
  /// Whether a probe failed too.
  bool isUnavailable() const { return HasProbeFailed; }
  /// Whether a caller may call now. If the store is in doubt, this call becomes
  /// the probe, and no other one may be made until its result is noted.
  bool tryCall(mono_time Now);
  /// The earliest time of the next probe; `Now` if calls are not limited.
  mono_time nextCallAt(mono_time Now) const;
  /// The readers of the fleet have no recent confirmation. Unless the store
  /// answered this VM recently, the next call is a probe.
  void doubt(mono_time Now);
  /// A call that was sent at `SentAt` was answered.
  void noteAnswer(mono_time SentAt, mono_time Now);
  /// A call that was sent at `SentAt` was rejected or not answered.
  void noteFailure(mono_time SentAt, mono_time Now);

private:
  bool isProbing(mono_time Now) const;
  duration nextInterval(mono_time Now);
  /// The longest interval after which a VM that just lost its readers still
  /// confirms its keys in time.
  duration leaseSpare() const;
  duration jittered(duration Base, duration Longest);
  void announceBegin(mono_time Now);

  std::mt19937_64 Random;
  duration KeyLease;
  fleet_query Fleet;
  std::vector<std::function<void()>> RegainedHandlers;
  outage_handler BeginHandler;
  outage_handler EndHandler;
  bool IsInDoubt = false;
  bool HasProbeFailed = false;
  mono_time BeganAt{}; ///< of the doubt
  unsigned FailedCalls = 0;
  bool IsAnnounced = false;
  duration Interval{}; ///< after the last probe, without jitter
  duration High{};     ///< the longest that the last interval could be
  mono_time NextAt{};
  std::optional<mono_time> ProbeSentAt; ///< until its result is noted
  std::optional<mono_time> AnsweredAt;
};

} // namespace clementinelane
