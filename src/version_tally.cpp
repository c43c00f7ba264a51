#include "version_tally.h"

#include "config.h"
#include "version_evidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinelane {

namespace {

constexpr double MedianShare = 0.5;

/// Bucket 0 ends at 1 ms, each following one at twice the limit before.
std::size_t bucketOf(duration Time) {
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
  std::size_t Bucket = 0;
  for (std::int64_t Edge = 1000;
       Edge < Micros && Bucket + 1 < side_tally::Buckets; Edge *= 2)
    ++Bucket;
  return Bucket;
}

void mergeInto(side_tally::histogram &Into, const side_tally::histogram &From) {
  for (std::size_t I = 0; I < Into.size(); ++I)
    Into[I] += From[I];
}

/// Never goes below zero, whatever counts a report claimed.
void subtractClamped(std::uint32_t &From, std::uint32_t Count) {
  From -= std::min(From, Count);
}

void subtractClamped(side_tally::histogram &From,
                     const side_tally::histogram &Taken) {
  for (std::size_t I = 0; I < From.size(); ++I)
    subtractClamped(From[I], Taken[I]);
}

std::uint32_t sumFrom(const side_tally::histogram &Histogram,
                      std::size_t First) {
  return std::accumulate(Histogram.begin() + static_cast<std::ptrdiff_t>(First),
                         Histogram.end(), 0U);
}

/// The lowest bucket with at most `Share` of the answers in it and above.
std::size_t bucketAbove(const side_tally::histogram &Histogram, double Share) {
  const double Allowed = Share * sumFrom(Histogram, 0);
  std::size_t Edge = 0;
  while (Edge < Histogram.size() && sumFrom(Histogram, Edge) > Allowed)
    ++Edge;
  return Edge;
}

/// Merges the buckets from `First` on.
void mergeFrom(std::size_t First, side_tally::histogram &Into,
               const side_tally::histogram &From) {
  for (std::size_t I = First; I < Into.size(); ++I)
    Into[I] += From[I];
}

bool exceedsChance(std::uint32_t Count, std::uint32_t Hits, double OldRate) {
  const double Chance =
      std::min(0.99, std::max(config::RolloutRateFactor * OldRate,
                              OldRate + config::RolloutRateMargin));
  // A count up to the expected one is never significant, and its sum would have
  // the most terms.
  return Hits >= config::RolloutMinHits && Hits > Chance * Count &&
         binomialTail(Count, Hits, Chance) < config::RolloutFalseAlarmChance;
}

double failureRate(const side_tally &Side) {
  return (Side.Failures + config::RolloutPriorFailures) /
         (Side.Count + config::RolloutPriorCount);
}

bool hasMoreFailures(const side_tally &Old, const side_tally &New) {
  return exceedsChance(New.Count, New.Failures, failureRate(Old));
}

bool hasSuspiciousFailures(const side_tally &Old, const side_tally &New,
                           double Chance) {
  return New.Failures >= config::RolloutSuspicionMinFailures &&
         binomialTail(New.Count, New.Failures, failureRate(Old)) < Chance;
}

// A version that is several times slower for a part of its answers shows at
// some bucket limit, but which one depends on the spread of the old version's
// times. At each limit the new answers above it are compared with the old
// answers above half of it.
bool isSlower(const side_tally::histogram &Old,
              const side_tally::histogram &New) {
  const std::uint32_t OldCount = sumFrom(Old, 0);
  if (OldCount < config::RolloutMinBaseline)
    return false;
  const std::uint32_t NewCount = sumFrom(New, 0);
  for (std::size_t Edge = 2; Edge < Old.size(); ++Edge) {
    const double OldRate = (sumFrom(Old, Edge - 1) + 1.0) / (OldCount + 2.0);
    if (exceedsChance(NewCount, sumFrom(New, Edge), OldRate))
      return true;
  }
  return false;
}

/// Mean and variance of the bucket numbers, which are base-2 logarithms of the
/// times.
struct log_moments {
  double Count = 0;
  double Mean = 0;
  double Variance = 0;
};

log_moments momentsOf(const side_tally::histogram &Histogram) {
  log_moments Moments;
  double Squares = 0;
  for (std::size_t I = 0; I < Histogram.size(); ++I) {
    Moments.Count += Histogram[I];
    Moments.Mean += static_cast<double>(I) * Histogram[I];
    Squares += static_cast<double>(I * I) * Histogram[I];
  }
  if (Moments.Count == 0)
    return Moments;
  Moments.Mean /= Moments.Count;
  Moments.Variance = Squares / Moments.Count - Moments.Mean * Moments.Mean;
  return Moments;
}

// With little traffic each kind has too few answers to be judged by itself. The
// kinds are judged together, each compared with its own old answers: by how
// many doublings the new times are longer on average, and with what confidence.
bool isSlowerOverall(const version_tally &Tally,
                     side_tally::histogram side_tally::*Times,
                     double MinAnswers, double MinSigmas) {
  double Count = 0;
  double Shift = 0;
  double Variance = 0;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    const log_moments Old = momentsOf(Pair.Old.*Times);
    const log_moments New = momentsOf(Pair.New.*Times);
    if (Old.Count < config::RolloutMinBaseline || New.Count == 0)
      continue;
    const double Spread =
        std::max(Old.Variance + New.Variance, config::RolloutMinVariance);
    Count += New.Count;
    Shift += New.Count * (New.Mean - Old.Mean);
    Variance +=
        New.Count * New.Count * Spread * (1 / New.Count + 1 / Old.Count);
  }
  return Count >= MinAnswers &&
         Shift / Count - config::RolloutSlowdownDoublings >
             MinSigmas * std::sqrt(Variance) / Count;
}

std::string reasonFor(const side_tally &Old, const side_tally &New) {
  if (hasMoreFailures(Old, New))
    return "failures";
  if (isSlower(Old.FirstByteTimes, New.FirstByteTimes))
    return "slow_first_byte";
  if (isSlower(Old.EventIntervals, New.EventIntervals))
    return "slow_events";
  return {};
}

} // namespace

void side_tally::add(const attempt_sample &Sample) {
  switch (Sample.Type) {
  case sample_type::Sent:
    ++Sent;
    break;
  case sample_type::Failed:
    ++Failures;
    [[fallthrough]];
  case sample_type::Answered:
    ++Count;
    break;
  case sample_type::FirstByte:
    ++FirstByteTimes[bucketOf(Sample.Time)];
    break;
  case sample_type::EventInterval:
    ++EventIntervals[bucketOf(Sample.Time)];
    break;
  case sample_type::AnswerTime:
    ++AnswerTimes[bucketOf(Sample.Time)];
    break;
  case sample_type::FirstEvent:
  case sample_type::Ended:
    break;
  }
}

void side_tally::merge(const side_tally &Other) {
  Sent += Other.Sent;
  Count += Other.Count;
  Failures += Other.Failures;
  for (const auto Times : SideHistograms)
    mergeInto(this->*Times, Other.*Times);
}

void side_tally::subtract(const side_tally &Other) {
  subtractClamped(Sent, Other.Sent);
  subtractClamped(Count, Other.Count);
  subtractClamped(Failures, Other.Failures);
  for (const auto Times : SideHistograms)
    subtractClamped(this->*Times, Other.*Times);
}

void version_tally::add(const attempt_sample &Sample) {
  pair &Pair = Kinds[Sample.Kind];
  (Sample.IsNew ? Pair.New : Pair.Old).add(Sample);
}

void version_tally::addOpen(const std::string &Kind, bool IsNew, duration Age) {
  pair &Pair = Kinds[Kind];
  ++(IsNew ? Pair.New : Pair.Old).OpenAges[bucketOf(Age)];
}

void version_tally::merge(const version_tally &Other) {
  for (const auto &[Kind, Pair] : Other.Kinds) {
    Kinds[Kind].Old.merge(Pair.Old);
    Kinds[Kind].New.merge(Pair.New);
  }
}

void version_tally::subtract(const version_tally &Other) {
  for (const auto &[Kind, Pair] : Other.Kinds) {
    const auto Known = Kinds.find(Kind);
    if (Known == Kinds.end())
      continue;
    Known->second.Old.subtract(Pair.Old);
    Known->second.New.subtract(Pair.New);
  }
}

version_tally version_tally::newSince(const version_tally &Before) const {
  version_tally Since = *this;
  for (auto &[Kind, Pair] : Since.Kinds)
    if (const auto Known = Before.Kinds.find(Kind); Known != Before.Kinds.end())
      Pair.New.subtract(Known->second.New);
  return Since;
}

version_tally version_tally::withOpen(const version_tally &Ages) const {
  version_tally Whole = *this;
  for (auto &[Kind, Pair] : Whole.Kinds) {
    const auto Open = Ages.Kinds.find(Kind);
    if (Open == Ages.Kinds.end())
      continue;
    for (const auto Times :
         {&side_tally::FirstByteTimes, &side_tally::EventIntervals}) {
      const std::size_t Usual = bucketAbove(Pair.Old.*Times, MedianShare);
      mergeFrom(Usual, Pair.Old.*Times, Open->second.Old.*Times);
      mergeFrom(Usual, Pair.New.*Times, Open->second.New.*Times);
    }
    mergeInto(Pair.Old.OpenAges, Open->second.Old.OpenAges);
    mergeInto(Pair.New.OpenAges, Open->second.New.OpenAges);
  }
  return Whole;
}

double version_tally::openPartOfNew() const {
  double Open = 0;
  double Answered = 0;
  for (const auto &[Kind, Pair] : Kinds) {
    Open += sumFrom(Pair.New.OpenAges, 0);
    Answered += Pair.New.Count;
  }
  return Open > 0 ? Open / (Open + Answered) : 0;
}

std::uint64_t version_tally::answers() const {
  std::uint64_t Sum = 0;
  for (const auto &[Kind, Pair] : Kinds)
    Sum += Pair.Old.Count + Pair.New.Count;
  return Sum;
}

std::uint64_t version_tally::sent() const {
  std::uint64_t Sum = 0;
  for (const auto &[Kind, Pair] : Kinds)
    Sum += Pair.Old.Sent + Pair.New.Sent;
  return Sum;
}

std::uint64_t version_tally::sentToNew() const {
  std::uint64_t Sum = 0;
  for (const auto &[Kind, Pair] : Kinds)
    Sum += Pair.New.Sent;
  return Sum;
}

std::optional<duration> meanPlainTime(const version_tally &Tally) {
  side_tally Both;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    Both.merge(Pair.Old);
    Both.merge(Pair.New);
  }
  const std::uint32_t Count = sumFrom(Both.FirstByteTimes, 0);
  if (Count == 0 || sumFrom(Both.EventIntervals, 0) > 0)
    return std::nullopt;
  double Millis = 0;
  double Middle = 0.75;
  for (const std::uint32_t Each : Both.FirstByteTimes) {
    Millis += Each * Middle;
    Middle *= 2;
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(Millis / Count));
}

std::string summaryOf(const version_tally &Tally) {
  side_tally Old;
  side_tally New;
  std::uint32_t LateOld = 0;
  std::uint32_t LateNew = 0;
  std::uint32_t SlowOld = 0;
  std::uint32_t SlowNew = 0;
  const auto AddSlow = [](const version_tally::pair &Pair,
                          side_tally::histogram side_tally::*Times,
                          std::uint32_t &OldSum, std::uint32_t &NewSum) {
    const std::size_t Edge =
        bucketAbove(Pair.Old.*Times, config::RolloutLateShare);
    OldSum += sumFrom(Pair.Old.*Times, Edge);
    NewSum += sumFrom(Pair.New.*Times, Edge);
  };
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    Old.merge(Pair.Old);
    New.merge(Pair.New);
    AddSlow(Pair, &side_tally::FirstByteTimes, LateOld, LateNew);
    AddSlow(Pair, &side_tally::AnswerTimes, SlowOld, SlowNew);
  }
  const auto TextOf = [](const side_tally &Side, std::uint32_t Late,
                         std::uint32_t Slow) {
    return "sent " + std::to_string(Side.Sent) + " answered " +
           std::to_string(Side.Count) + " failed " +
           std::to_string(Side.Failures) + " late " + std::to_string(Late) +
           " of " + std::to_string(sumFrom(Side.FirstByteTimes, 0)) + " slow " +
           std::to_string(Slow) + " of " +
           std::to_string(sumFrom(Side.AnswerTimes, 0)) + " open " +
           std::to_string(sumFrom(Side.OpenAges, 0));
  };
  return "old: " + TextOf(Old, LateOld, SlowOld) +
         "; new: " + TextOf(New, LateNew, SlowNew);
}

// Each term is the previous one times a ratio, so the sum can end once the
// terms are negligible.
double binomialTail(std::uint32_t Count, std::uint32_t Hits, double Chance) {
  constexpr double Negligible = 1e-12;
  const double LogWays = std::lgamma(Count + 1.0) - std::lgamma(Hits + 1.0) -
                         std::lgamma(Count - Hits + 1.0);
  double Term = std::exp(LogWays + Hits * std::log(Chance) +
                         (Count - Hits) * std::log1p(-Chance));
  const double Odds = Chance / (1 - Chance);
  double Tail = 0;
  for (std::uint32_t K = Hits; K <= Count; ++K) {
    Tail += Term;
    const bool IsFalling = K > Chance * Count;
    if (IsFalling && Term < Negligible * Tail)
      break;
    Term *= Odds * (Count - K) / (K + 1.0);
  }
  return std::min(Tail, 1.0);
}

std::string verdictOn(const version_tally &Tally) {
  version_tally::pair Whole;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    if (std::string Reason = reasonFor(Pair.Old, Pair.New); !Reason.empty())
      return Reason.append(" of ").append(Kind);
    Whole.Old.merge(Pair.Old);
    Whole.New.merge(Pair.New);
  }
  if (hasMoreFailures(Whole.Old, Whole.New))
    return "failures of all kinds";
  const auto IsSlow = [&Tally](side_tally::histogram side_tally::*Times) {
    return isSlowerOverall(Tally, Times, config::RolloutMinAnswers,
                           config::RolloutSlowdownSigmas);
  };
  if (IsSlow(&side_tally::FirstByteTimes))
    return "slow_first_byte of all kinds";
  if (IsSlow(&side_tally::EventIntervals))
    return "slow_events of all kinds";
  if (isConclusive(failureEvidence(Tally)))
    return "failures, few answers";
  if (isConclusive(latenessEvidence(Tally)))
    return "slow_first_byte, few answers";
  if (isConclusive(delayEvidence(Tally)))
    return "slow_answers";
  return {};
}

bool isSuspicious(const version_tally &Tally) {
  const double Chance = config::RolloutSuspicionChance /
                        (static_cast<double>(Tally.Kinds.size()) + 1);
  version_tally::pair Whole;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    if (hasSuspiciousFailures(Pair.Old, Pair.New, Chance))
      return true;
    Whole.Old.merge(Pair.Old);
    Whole.New.merge(Pair.New);
  }
  const auto IsSlow = [&Tally](side_tally::histogram side_tally::*Times) {
    return isSlowerOverall(Tally, Times, config::RolloutSuspicionMinAnswers,
                           config::RolloutSuspicionSigmas);
  };
  return hasSuspiciousFailures(Whole.Old, Whole.New, Chance) ||
         isSuspicious(failureEvidence(Tally)) ||
         isSuspicious(latenessEvidence(Tally)) ||
         isSuspicious(delayEvidence(Tally)) ||
         IsSlow(&side_tally::FirstByteTimes) ||
         IsSlow(&side_tally::EventIntervals);
}

} // namespace clementinelane
