#pragma once

#include "clock.h"
#include "config.h"

#include <algorithm>

namespace clementinelane {

/// When a router that was told to stop refuses new requests, and when it ends
/// the open ones; from the stop signal on.
struct stop_schedule {
  duration RefuseAfter;
  duration EndAfter;
};

// Failure: with a short grace period, requests are taken until its end and cut
// off by the exit. At least half of the time is for those taken before.
inline stop_schedule stopSchedule(duration Grace) {
  const duration End =
      std::max<duration>(Grace - config::StopExitMargin, duration::zero());
  return {std::min<duration>(config::StopIdleCloseDelay, End / 2), End};
}

} // namespace clementinelane
