#include "store_backoff.h"

#include "config.h"

#include <algorithm>
#include <utility>

namespace clementinelane {

namespace {

duration scaled(duration Value, double By) {
  return std::chrono::duration_cast<duration>(Value * By);
}

} // namespace

// Failure: a caller ends before the result of its probe arrives. The probe
// counts as lost after the longest time that a call can take.
bool store_backoff::isProbing(mono_time Now) const {
  return ProbeSentAt && Now - *ProbeSentAt < config::StoreProbeLifetime;
}

bool store_backoff::tryCall(mono_time Now) {
  if (!IsInDoubt)
    return true;
  if (Now < NextAt || isProbing(Now))
    return false;
  ProbeSentAt = Now;
  return true;
}

mono_time store_backoff::nextCallAt(mono_time Now) const {
  if (!IsInDoubt)
    return Now;
  if (isProbing(Now))
    return *ProbeSentAt + config::StoreProbeLifetime;
  return std::max(Now, NextAt);
}

// Failure: all readers lose the store. Every VM finds that they know nothing
// new and calls the store for each of its topics at the same moment.
void store_backoff::doubt(mono_time Now) {
  const bool IsAnswered =
      AnsweredAt && Now - *AnsweredAt <= config::MaxRelayedAge;
  if (IsInDoubt || IsAnswered)
    return;
  IsInDoubt = true;
  BeganAt = Now;
  NextAt = Now;
}

// Failure: a call that was sent before the outage is answered during it. It
// doesn't show that the store answers now.
void store_backoff::noteAnswer(mono_time SentAt, mono_time Now) {
  if (IsInDoubt && SentAt < BeganAt)
    return;
  AnsweredAt = Now;
  if (!std::exchange(IsInDoubt, false))
    return;
  const store_outage Ended{Now - BeganAt, FailedCalls};
  FailedCalls = 0;
  HasProbeFailed = false;
  Interval = {};
  High = {};
  ProbeSentAt.reset();
  if (std::exchange(IsAnnounced, false) && EndHandler)
    EndHandler(Ended);
  for (const auto &Handler : RegainedHandlers)
    Handler();
}

// Failure: the store rejects calls of one topic and serves the others. An
// answer that came after the rejected call was sent shows that it is available.
void store_backoff::noteFailure(mono_time SentAt, mono_time Now) {
  if (!IsInDoubt && AnsweredAt && SentAt < *AnsweredAt)
    return;
  // A single lost call is no outage, so the first probe follows at once.
  if (!IsInDoubt) {
    IsInDoubt = true;
    BeganAt = Now;
    FailedCalls = 1;
    NextAt = Now;
    return;
  }
  ++FailedCalls;
  announceBegin(Now);
  if (!ProbeSentAt || SentAt < *ProbeSentAt)
    return;
  ProbeSentAt.reset();
  HasProbeFailed = true;
  NextAt = Now + nextInterval(Now);
}

void store_backoff::announceBegin(mono_time Now) {
  if (IsAnnounced || FailedCalls < config::StoreOutageFailures)
    return;
  IsAnnounced = true;
  if (BeginHandler)
    BeginHandler({Now - BeganAt, FailedCalls});
}

duration store_backoff::leaseSpare() const {
  const duration Used = config::MaxRelayedAge + config::RelayPollInterval +
                        config::StoreProbeTimeout;
  return std::max<duration>(KeyLease - Used, config::StoreRetryDelay);
}

duration store_backoff::nextInterval(mono_time Now) {
  const auto [IsReader, LiveVms] = Fleet(Now);
  if (IsReader)
    return config::StoreRetryDelay;
  const std::size_t Others =
      LiveVms > config::RelayReaders ? LiveVms - config::RelayReaders : 1;
  const duration Share =
      scaled(std::chrono::seconds(1),
             static_cast<double>(Others) / config::StoreProbesPerSecond);
  const auto Grown = std::clamp<duration>(2 * Interval, config::StoreRetryDelay,
                                          config::MaxStoreRetryDelay);
  Interval = std::max(Grown, Share);
  const bool MayHoldLease = Now - BeganAt < leaseSpare();
  return jittered(Interval, MayHoldLease ? leaseSpare()
                                         : std::max<duration>(
                                               leaseSpare(),
                                               config::MaxStoreProbeInterval));
}

// All VMs lose the store at the same moment, and an interval that is longer
// than jitter can cover would keep their probes together. The first such
// interval is drawn from everything between the previous one and itself.
duration store_backoff::jittered(duration Base, duration Longest) {
  const duration Before = std::max<duration>(High, config::StoreRetryDelay);
  High = std::min(scaled(Base, 1 + config::StoreProbeJitter), Longest);
  const duration Low = High > 2 * Before
                           ? Before
                           : scaled(High, 1 / (1 + config::StoreProbeJitter));
  std::uniform_int_distribution<duration::rep> Draw(Low.count(), High.count());
  return duration(Draw(Random));
}

} // namespace clementinelane
