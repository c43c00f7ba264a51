#pragma once

#include "clock.h"
#include "session_placement.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace clementinelane {

/// The hash that identifies a version in messages between VMs.
std::uint32_t versionHash(std::string_view Version);

/// A session and the version that it last ran on.
struct session_run {
  std::uint64_t Session = 0; ///< its hash
  std::uint32_t Version = 0; ///< its hash
  mono_time LastAt{};
};

/// The version that each session last ran on, as this VM saw it or other VMs
/// reported it. Does no I/O.
///
/// Load: requests of a session arrive at any VM, concurrently, and may run for
/// longer than the session's time to live. Harm prevented: a session is treated
/// as new while it still runs, or as running on a version where it was only
/// placed. Only runs that have begun count, and the time to live starts at the
/// end of a run.
class session_versions {
public:
  struct entry {
    std::uint32_t Version = 0; ///< hash; of the run that began last
    mono_time LastAt{};        ///< when it was last known to run
    unsigned Running = 0;      ///< running requests of this VM
    bool IsLocal = false;      ///< a request of the session ran from this VM
    session_source Source = session_source::None;
  };

  void setTtl(duration Value) { Ttl = Value; }
  duration ttl() const { return Ttl; }

  /// A request sent by this VM began to run.
  void runStarted(std::uint64_t Session, std::uint32_t Version, mono_time Now);
  /// A run has ended; to be called once for each runStarted().
  void runEnded(std::uint64_t Session, mono_time Now);
  /// Another VM reported a run. A run older than the known one is ignored.
  void runReported(std::uint64_t Session, std::uint32_t Version,
                   mono_time LastAt, mono_time Now);

  /// Null if the session is unknown or its time to live has passed.
  const entry *find(std::uint64_t Session, mono_time Now) const;
  /// Time until the session expires if no further request arrives.
  duration timeLeft(const entry &Entry, mono_time Now) const;
  bool isAlive(const entry &Entry, mono_time Now) const {
    return timeLeft(Entry, Now) > duration::zero();
  }
  const std::unordered_map<std::uint64_t, entry> &all() const {
    return Entries;
  }

private:
  /// Null if the session is unknown and the table is full.
  entry *findOrAdd(std::uint64_t Session, mono_time Now);
  void evictExpired(mono_time Now);

  duration Ttl = std::chrono::seconds(5);
  std::unordered_map<std::uint64_t, entry> Entries; ///< by the session's hash
  mono_time EvictedAt{};
};

} // namespace clementinelane
