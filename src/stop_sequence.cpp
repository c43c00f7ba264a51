#include "stop_sequence.h"

namespace clementinelane {

void stop_sequence::ask(mono_time Now) {
  if (Phase != stop_phase::Serving) {
    Phase = stop_phase::Forced;
    return;
  }
  Phase = stop_phase::Announced;
  AskedAt = Now;
}

void stop_sequence::advance(std::size_t Open, mono_time Now) {
  const bool IsStopping =
      Phase == stop_phase::Announced || Phase == stop_phase::Refusing;
  if (!IsStopping)
    return;
  if (Now - AskedAt >= Limits.Whole) {
    Phase = stop_phase::Forced;
    return;
  }
  if (Now - AskedAt < Limits.Grace)
    return;
  Phase = stop_phase::Refusing;
  if (Open == 0 && Now - LastRequest >= Limits.Quiet)
    Phase = stop_phase::Ended;
}

} // namespace clementinelane
