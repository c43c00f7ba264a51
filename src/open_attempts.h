#pragma once

#include "clock.h"
#include "version_tally.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace clementinelane {

/// Attempts of a roll-out whose times aren't known yet. Does no I/O.
///
/// Failure: a slow version is judged by the fast answers that it has managed,
/// since the slow ones come after the decision. The age of an open attempt is a
/// lower bound of its time, and counts once it exceeds usual times; see
/// version_tally::withOpen(). Time in which this VM was suspended doesn't
/// count: answers may have come meanwhile that it hasn't read.
class open_attempts {
public:
  /// Returns false if the sample's attempt was sent before the order. A sample
  /// without an attempt isn't tracked.
  bool observe(const attempt_sample &Sample, mono_time Now);
  /// This VM is running; call with each tick.
  void markRunning(mono_time Now);
  /// Lower bounds of the times that aren't known yet; counts nothing else.
  version_tally ages(mono_time Now) const;
  void clear() { Attempts.clear(); }

private:
  struct attempt {
    std::string Kind;
    bool IsNew = false;
    mono_time SentAt{}; ///< times without suspensions
    bool HasFirstByte = false;
    std::optional<mono_time> FirstEventAt; ///< until the interval is known
    bool IsAnswered = false;
  };
  duration suspendedUntil(mono_time Now) const;

  mono_time RunningAt{}; ///< last known
  duration Suspended{};  ///< in sum
  std::unordered_map<std::uint64_t, attempt> Attempts;
};

} // namespace clementinelane
