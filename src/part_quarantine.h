#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// What is known of a prompt part that was in flight at crashes of endpoints.
/// Both lists only grow, so notes may arrive twice, late and in any order.
struct part_note {
  struct crash {
    std::uint64_t Id = 0; ///< see crashId()
    duration Age{};
  };
  std::uint64_t Part = 0; ///< see partHash()
  std::vector<crash> Crashes;
  /// Crashes that it didn't cause: it was served after them.
  std::vector<std::uint64_t> Cleared;
};

std::uint64_t partHash(std::string_view PartId);

std::string encodePartNotes(std::span<const part_note> Notes);
/// None if the bytes are malformed.
std::optional<std::vector<part_note>> decodePartNotes(std::string_view Bytes);

/// Quarantines prompt parts that crash endpoints. Does no I/O.
///
/// Failure: one part of a prompt crashes each endpoint that begins to answer
/// it, and comes in ever new requests at any VM. request_quarantine knows whole
/// requests and never sees one of these twice. All parts of the requests that
/// were under way at an endpoint when it crashed are suspects, whatever it had
/// written. A part of a request that is completed afterwards, at any VM, is
/// cleared of the crashes before; the part at fault never is. A part with
/// config::PartCrashThreshold crashes that no other part explains is
/// quarantined.
///
/// Load: engines with dozens of requests in flight, most of which share their
/// customer's parts with the one at fault. Harm prevented: sound requests are
/// refused for their company. Parts that were in the same crashes can't be told
/// apart, so only requests that have all of them are refused; a request with
/// some of them runs and clears these parts, or crashes and convicts them.
class part_quarantine {
public:
  /// Whether a request with these parts must not be sent to endpoints.
  bool isQuarantined(std::span<const std::uint64_t> Parts) const;
  /// Remaining quarantine time of a request with these parts.
  duration timeLeft(std::span<const std::uint64_t> Parts, mono_time Now) const;

  /// Records a crash of an endpoint at which requests with these parts were
  /// under way.
  void recordCrash(std::uint64_t Crash, std::span<const std::uint64_t> Parts,
                   mono_time Now);
  /// A request with these parts was completed.
  void markServed(std::span<const std::uint64_t> Parts, mono_time Now);
  void apply(const part_note &Note, mono_time Now);
  /// Merges a note that was read from the store.
  void applyStored(const part_note &Note, mono_time Now);
  /// Clears the part of all crashes known so far.
  void release(std::uint64_t Part, mono_time Now);

  /// Notes to send: parts of which this VM learned something itself, for the
  /// readers of the store; and for all VMs, from the readers, parts with more
  /// than one crash.
  struct outgoing_notes {
    std::vector<part_note> ForReaders;
    std::vector<part_note> ForAll;
  };
  outgoing_notes takeOutgoing(bool IsReader, mono_time Now);
  /// Quarantined parts that the store lacks, as far as it was read; counts them
  /// as being written.
  std::vector<part_note> takeUnsaved(mono_time Now);
  /// Drops expired entries; returns parts whose stored record can be deleted.
  std::vector<std::uint64_t> expire(mono_time Now);

  /// Crashes that quarantined parts caused.
  std::vector<std::uint64_t> explainedCrashes() const;
  std::size_t countQuarantined() const { return Quarantined.size(); }
  /// Called when a part becomes quarantined, with the number of its crashes,
  /// and when it no longer is, with 0.
  void onChange(std::function<void(std::uint64_t Part, std::size_t)> Handler) {
    ChangeHandler = std::move(Handler);
  }

private:
  struct entry {
    std::map<std::uint64_t, mono_time> Crashes; ///< by id; not cleared
    std::vector<std::uint64_t> Cleared;
    mono_time ChangedAt{};
    mono_time NextSendAt{};
    mono_time SaveStartedAt{};
    unsigned SendsLeft = 0;
    std::size_t SavedCrashes = 0;
    bool IsLocal = false; ///< this VM observed a crash or an answer
  };
  /// Parts that were in the same crashes. Requests with all of them are
  /// refused.
  struct quarantined_set {
    std::vector<std::uint64_t> Parts;
    std::vector<std::uint64_t> Crashes;
    mono_time LastCrashAt{};
  };

  entry *touch(std::uint64_t Part, mono_time Now);
  static bool clear(entry &Entry, std::uint64_t Crash);
  static bool addCrash(entry &Entry, std::uint64_t Crash, mono_time At);
  void noteChange(entry &Entry, mono_time Now);
  void updateQuarantined();
  const quarantined_set *findSet(std::span<const std::uint64_t> Parts) const;
  void evictExcess();
  static part_note noteOf(std::uint64_t Part, const entry &Entry,
                          mono_time Now);

  std::map<std::uint64_t, entry> Entries;
  std::map<std::uint64_t, quarantined_set> Quarantined; ///< by one of its parts
  std::function<void(std::uint64_t, std::size_t)> ChangeHandler;
};

} // namespace clementinelane
