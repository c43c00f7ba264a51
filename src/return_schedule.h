#pragma once

#include "clock.h"
#include "service_shares.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace clementinelane {

/// A planned return, sent to the VMs of the data centre.
struct return_note {
  std::uint64_t Request = 0; ///< requestDigest()
  std::chrono::milliseconds DueIn{0};
};

enum class return_standing : std::uint8_t {
  Unplanned,
  Early, ///< planned for later
  Due
};

/// Tells refused callers when to come back, and recognises those who do. Does
/// no I/O.
///
/// Load: thousands of callers are refused within a second and obey Retry-After,
/// while some retry at once. Harm prevented: all return in the same instant and
/// are refused again, or callers who obey lose their turn to callers who don't.
/// Each key has a calendar of evenly spaced times, with a phase that differs
/// between VMs. A request that comes before its time gains nothing and keeps
/// its plan. A plan gives precedence at most once on each VM of the data centre
/// that has its note, within its due window: VMs don't tell each other which
/// returns arrived.
class return_schedule {
public:
  /// `Seed` differs between VMs; it selects the phases of the calendars.
  explicit return_schedule(std::uint64_t Seed = 0) : Seed(Seed) {}

  /// Plans when a refused request comes back, at most `RatePerSecond` returns a
  /// second for the key; reserves it only if within `Longest`. Returns the time
  /// until then.
  duration plan(const share_key &Key, std::uint64_t Request,
                double RatePerSecond, duration Longest, mono_time Now);
  return_standing standingOf(std::uint64_t Request, mono_time Now) const;
  /// The return has arrived.
  void finish(std::uint64_t Request);
  /// Identical requests count separately, so a note may be applied only once.
  void applyPeer(const return_note &Note, mono_time Now);
  /// Own plans that weren't taken yet, soonest first, in bounded batches.
  std::vector<return_note> takeOutgoing(mono_time Now);
  /// The soonest time among the plans of takeOutgoing().
  std::optional<mono_time> firstOutgoing() const;
  /// Drops plans whose due window has ended; call periodically.
  void expire(mono_time Now);
  std::size_t size() const { return ByRequest.size(); }

private:
  using due_request = std::pair<mono_time, std::uint64_t>;

  mono_time *lastPlanned(const share_key &Key, duration Spacing, mono_time Now);
  duration spreadUnplanned(duration Wait);
  bool hasRoomFor(std::uint64_t Request) const;
  void add(std::uint64_t Request, mono_time Due);

  std::uint64_t Seed;
  std::uint64_t Unplanned = 0; ///< varies the times of spreadUnplanned()
  /// The last planned time, by hash of the key.
  std::unordered_map<std::uint64_t, mono_time> LastPlanned;
  std::multiset<std::pair<std::uint64_t, mono_time>> ByRequest;
  std::multiset<due_request> ByDue;
  std::multiset<due_request> Outgoing;
};

} // namespace clementinelane
