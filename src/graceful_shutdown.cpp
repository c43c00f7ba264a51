#include "graceful_shutdown.h"

namespace clementinelane {

void graceful_shutdown::requestStop(mono_time Now) {
  if (Phase != stop_phase::Serving) {
    Phase = stop_phase::Forced;
    return;
  }
  Phase = stop_phase::NotReady;
  AskedAt = Now;
}

void graceful_shutdown::advance(std::size_t Open, mono_time Now) {
  const bool IsStopping =
      Phase == stop_phase::NotReady || Phase == stop_phase::Refusing;
  if (!IsStopping)
    return;
  if (Now - AskedAt >= Limits.Timeout) {
    Phase = stop_phase::Forced;
    return;
  }
  if (Now - AskedAt < Limits.Grace)
    return;
  Phase = stop_phase::Refusing;
  if (Open == 0 && Now - LastRequest >= Limits.QuietPeriod)
    Phase = stop_phase::Ended;
}

} // namespace clementinelane
