#pragma once

#include "clock.h"
#include "service_shares.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace clementinelane {

struct return_note {
  std::uint64_t Request = 0;
  std::chrono::milliseconds DueIn{0};
};

enum class return_standing : std::uint8_t { Unplanned, Early, Due };

/// Tells refused callers when to come back, and recognises those who do. Does
/// no I/O. This copy only spaces the returns of a key evenly.
class return_schedule {
public:
  /// Plans when a refused request comes back, at most `RatePerSecond` returns a
  /// second for the key; reserves it only if within `Longest`.
  duration plan(const share_key &Key, std::uint64_t Request,
                double RatePerSecond, duration Longest, mono_time Now);
  return_standing standingOf(std::uint64_t Request, mono_time Now) const;
  /// The return has arrived.
  void finish(std::uint64_t Request);
  void applyPeer(const return_note &Note, mono_time Now);
  std::vector<return_note> takeOutgoing(mono_time Now);
  void expire(mono_time Now);

private:
  std::map<share_key, mono_time> LastPlanned;
  std::unordered_map<std::uint64_t, mono_time> Due;
};

} // namespace clementinelane
