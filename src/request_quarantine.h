#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace clementinelane {

/// Endpoint crashes that a request was involved in. Notes may arrive twice,
/// late and in any order.
struct crash_note {
  std::uint64_t Request = 0;          ///< see requestDigest()
  std::vector<std::uint64_t> Crashes; ///< see crashId()
  /// Wall time of the latest, ms since 1970; 0 in messages between VMs.
  std::int64_t LastMs = 0;
  /// Of each crash, when the note was sent; none in notes of older VMs.
  std::vector<std::chrono::milliseconds> Ages{};
  /// Crashes that the request didn't cause: it was served after them.
  std::vector<std::uint64_t> Survived{};

  bool isRelease() const { return Crashes.empty() && Survived.empty(); }
};

/// Identifies one crash of an endpoint, identically on all VMs.
std::uint64_t crashId(std::string_view EndpointId, std::uint64_t Incarnation);

std::string encodeCrashNotes(std::span<const crash_note> Notes);
/// None if the bytes are malformed.
std::optional<std::vector<crash_note>> decodeCrashNotes(std::string_view Bytes);

/// Quarantines requests that crash endpoints. Does no I/O.
///
/// Failure: a request crashes each endpoint that starts to run it and is sent
/// again with new ids to any VM, until no endpoint is left for other requests.
/// All requests in flight at an endpoint when it crashes become suspects. A
/// suspect with config::QuarantineCrashThreshold crashes is quarantined on
/// every VM: VMs report suspects to those that read the platform's store; these
/// merge the reports, broadcast the result, and write it to the store for VMs
/// that start later or receive no datagrams. Other requests that were in flight
/// at the same endpoints are cleared of these crashes. A request that
/// completes, at any VM, is cleared of the crashes before and of none after:
/// what it needs to crash endpoints may come later. Each VM compares the age of
/// a crash with its own successes, so clocks may differ. Delays only make a
/// crash look later, which clears too little.
class request_quarantine {
public:
  /// Whether the request must not be sent to endpoints.
  bool isQuarantined(std::uint64_t Request) const;
  /// Remaining quarantine time.
  duration timeLeft(std::uint64_t Request, mono_time Now) const;

  /// Clears a request that completed of its crashes so far.
  void markServed(std::uint64_t Request, mono_time Now);
  /// Records an endpoint crash observed by this VM, with the requests in flight
  /// there.
  void recordCrash(std::uint64_t Crash, std::span<const std::uint64_t> Requests,
                   mono_time Now);
  /// Merges a note from another VM; one without any crash releases its request.
  void applyPeerCrashNote(const crash_note &Note, mono_time Now);
  /// Merges a note from the store. `Age`: time since its latest crash.
  void applyStoredNote(const crash_note &Note, duration Age, mono_time Now);
  void releaseRequest(std::uint64_t Request);
  /// Clears all requests of crashes that something else caused.
  void clearCrashes(std::span<const std::uint64_t> Crashes);

  /// Notes to send: requests of which this VM learned something itself, for the
  /// readers of the store; and for all VMs, from the readers, suspects near the
  /// threshold and requests that are or were quarantined.
  struct outgoing_notes {
    std::vector<crash_note> Suspects;
    std::vector<crash_note> Quarantined;
  };
  /// `IsReader`: this VM reads the store for the fleet and broadcasts
  /// quarantined requests.
  outgoing_notes takeOutgoing(bool IsReader, mono_time Now);
  /// Notes that the store has lacked for at least `MinAge`; counts them as
  /// being written.
  std::vector<crash_note> takeUnsaved(duration MinAge, mono_time Now);
  /// Drops expired entries; returns requests whose stored record can be
  /// deleted.
  std::vector<std::uint64_t> expire(mono_time Now);

  std::size_t countQuarantined() const;
  /// Called when a request becomes quarantined.
  void onQuarantined(std::function<void(const crash_note &)> Handler) {
    QuarantinedHandler = std::move(Handler);
  }

private:
  struct crash {
    std::uint64_t Id = 0;
    mono_time At{}; ///< or later, as far as is known
    mono_time FirstSeenAt{};
  };
  struct entry {
    std::vector<crash> Crashes;
    std::vector<std::uint64_t> Cleared;  ///< attributed to another request
    std::vector<std::uint64_t> Survived; ///< served after them
    std::vector<std::uint64_t> Stored;   ///< that count in the store
    mono_time LastAt{};
    mono_time ChangedAt{};
    mono_time SaveStartedAt{};
    mono_time NextSendAt{};
    unsigned SendsLeft = 0;
    bool IsLocal = false; ///< this VM observed a crash or a success
    bool IsQuarantined = false;
    bool WasQuarantined = false;
  };
  struct served {
    std::uint64_t Request = 0;
    mono_time At{};
  };

  std::optional<mono_time> lastServed(std::uint64_t Request) const;
  void rememberServed(std::uint64_t Request, mono_time Now);
  entry *addCrashes(std::uint64_t Request, std::span<const crash> Crashes,
                    mono_time Now);
  void addSurvived(std::uint64_t Request,
                   std::span<const std::uint64_t> Survived, mono_time Now);
  static bool survive(entry &Entry, std::uint64_t Crash);
  static void noteChange(entry &Entry, mono_time Now);
  static bool isSaveDue(const entry &Entry);
  void updateQuarantined(std::uint64_t Request, entry &Entry, mono_time Now);
  /// Whether the request was in flight at the endpoint in this crash.
  static bool wasInFlight(const entry &Entry, std::uint64_t Crash);
  void clearExplainedCrashes(mono_time Now);
  static bool isExplainedByOthers(const entry &Entry,
                                  std::span<const entry *const> Quarantined);
  std::vector<std::uint64_t> releaseExplained(mono_time Now);
  void evictExcess();
  static crash_note noteOf(std::uint64_t Request, const entry &Entry,
                           mono_time Now);

  std::unordered_map<std::uint64_t, entry> Entries;
  std::list<served> Served; ///< latest success of each, oldest first
  std::unordered_map<std::uint64_t, std::list<served>::iterator> ServedIndex;
  mono_time ClearedAt{};
  std::function<void(const crash_note &)> QuarantinedHandler;
};

} // namespace clementinelane
