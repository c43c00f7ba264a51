#include "open_attempts.h"

#include "config.h"

namespace clementinelane {

namespace {

/// A longer time between two ticks is a suspension.
constexpr duration MinSuspension = 5 * duration(config::RouterTickInterval);

} // namespace

duration open_attempts::suspendedUntil(mono_time Now) const {
  const duration Gap = Now - RunningAt;
  return Gap < MinSuspension ? Suspended : Suspended + Gap;
}

void open_attempts::markRunning(mono_time Now) {
  Suspended = suspendedUntil(Now);
  RunningAt = Now;
}

bool open_attempts::observe(const attempt_sample &Sample, mono_time Now) {
  if (Sample.Attempt == 0)
    return true;
  markRunning(Now);
  if (Sample.Type == sample_type::Sent) {
    attempt &Attempt = Attempts[Sample.Attempt];
    Attempt.Kind = Sample.Kind;
    Attempt.IsNew = Sample.IsNew;
    Attempt.SentAt = Now - Suspended;
    return true;
  }
  const auto Found = Attempts.find(Sample.Attempt);
  if (Found == Attempts.end())
    return false;
  attempt &Attempt = Found->second;
  switch (Sample.Type) {
  case sample_type::FirstByte:
    Attempt.HasFirstByte = true;
    break;
  case sample_type::FirstEvent:
    Attempt.FirstEventAt = Now - Suspended;
    break;
  case sample_type::EventInterval:
    Attempt.FirstEventAt.reset();
    break;
  case sample_type::AnswerTime:
    Attempt.IsAnswered = true;
    break;
  case sample_type::Ended:
    Attempts.erase(Found);
    break;
  case sample_type::Sent:
  case sample_type::Answered:
  case sample_type::Failed:
    break;
  }
  return true;
}

version_tally open_attempts::ages(mono_time Now) const {
  const mono_time Running = Now - suspendedUntil(Now);
  version_tally Ages;
  for (const auto &[Id, Attempt] : Attempts) {
    if (!Attempt.IsAnswered)
      Ages.addOpen(Attempt.Kind, Attempt.IsNew, Running - Attempt.SentAt);
    if (!Attempt.HasFirstByte)
      Ages.add({Attempt.Kind, Attempt.IsNew, sample_type::FirstByte,
                Running - Attempt.SentAt});
    if (Attempt.FirstEventAt)
      Ages.add({Attempt.Kind, Attempt.IsNew, sample_type::EventInterval,
                (Running - *Attempt.FirstEventAt) /
                    (config::RolloutMeasuredEvents - 1)});
  }
  return Ages;
}

} // namespace clementinelane
