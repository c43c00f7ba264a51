#include "version_tally.h"

#include "config.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinelane {

namespace {

/// Bucket 0 ends at 1 ms, each next at twice that.
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

/// Counts never go below zero, whatever a report claimed before.
void takeAway(std::uint32_t &From, std::uint32_t Count) {
  From -= std::min(From, Count);
}

void takeAway(side_tally::histogram &From, const side_tally::histogram &Taken) {
  for (std::size_t I = 0; I < From.size(); ++I)
    takeAway(From[I], Taken[I]);
}

std::uint32_t sumFrom(const side_tally::histogram &Histogram,
                      std::size_t First) {
  return std::accumulate(Histogram.begin() + static_cast<std::ptrdiff_t>(First),
                         Histogram.end(), 0U);
}

bool isUnlikely(std::uint32_t Count, std::uint32_t Hits, double OldRate) {
  const double Chance =
      std::min(0.99, std::max(config::RolloutRateFactor * OldRate,
                              OldRate + config::RolloutRateMargin));
  // No more than expected is never unlikely, and would be the longest sum.
  return Hits >= config::RolloutLeastHits && Hits > Chance * Count &&
         binomialTail(Count, Hits, Chance) < config::RolloutFalseAlarm;
}

double failureRate(const side_tally &Side) {
  return (Side.Failures + config::RolloutPriorFailures) /
         (Side.Count + config::RolloutPriorCount);
}

bool failsMore(const side_tally &Old, const side_tally &New) {
  return isUnlikely(New.Count, New.Failures, failureRate(Old));
}

bool isDoubtful(const side_tally &Old, const side_tally &New, double Chance) {
  return New.Failures >= config::RolloutDoubtHits &&
         binomialTail(New.Count, New.Failures, failureRate(Old)) < Chance;
}

// A version that is several times slower in a part of its answers shows at some
// height of the histogram, but which one depends on how wide the old one is. At
// each edge the new answers above it are held against the old ones above half
// of it.
bool isSlower(const side_tally::histogram &Old,
              const side_tally::histogram &New) {
  const std::uint32_t OldCount = sumFrom(Old, 0);
  if (OldCount < config::RolloutLeastBaseline)
    return false;
  const std::uint32_t NewCount = sumFrom(New, 0);
  for (std::size_t Edge = 2; Edge < Old.size(); ++Edge) {
    const double OldRate = (sumFrom(Old, Edge - 1) + 1.0) / (OldCount + 2.0);
    if (isUnlikely(NewCount, sumFrom(New, Edge), OldRate))
      return true;
  }
  return false;
}

/// Mean and variance of the bucket numbers, that is of the logarithm to base 2.
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

// A small service gives each kind too few answers to judge it by itself. The
// kinds are judged together, each against its own old answers: by how many
// doublings the new ones are later on average, and how sure that is.
bool isSlowerInAll(const version_tally &Tally,
                   side_tally::histogram side_tally::*Times,
                   double LeastAnswers, double Sigmas) {
  double Count = 0;
  double Shift = 0;
  double Variance = 0;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    const log_moments Old = momentsOf(Pair.Old.*Times);
    const log_moments New = momentsOf(Pair.New.*Times);
    if (Old.Count < config::RolloutLeastBaseline || New.Count == 0)
      continue;
    const double Spread =
        std::max(Old.Variance + New.Variance, config::RolloutLeastVariance);
    Count += New.Count;
    Shift += New.Count * (New.Mean - Old.Mean);
    Variance +=
        New.Count * New.Count * Spread * (1 / New.Count + 1 / Old.Count);
  }
  return Count >= LeastAnswers && Shift / Count - config::RolloutDoublings >
                                      Sigmas * std::sqrt(Variance) / Count;
}

std::string reasonFor(const side_tally &Old, const side_tally &New) {
  if (failsMore(Old, New))
    return "failures";
  if (isSlower(Old.Wait, New.Wait))
    return "slow_first_byte";
  if (isSlower(Old.Pace, New.Pace))
    return "slow_events";
  return {};
}

} // namespace

void side_tally::add(const answer_sample &Sample) {
  switch (Sample.What) {
  case sample_kind::Sent:
    ++Sent;
    break;
  case sample_kind::Failed:
    ++Failures;
    [[fallthrough]];
  case sample_kind::Answered:
    ++Count;
    break;
  case sample_kind::FirstByte:
    ++Wait[bucketOf(Sample.Time)];
    break;
  case sample_kind::Pace:
    ++Pace[bucketOf(Sample.Time)];
    break;
  }
}

void side_tally::merge(const side_tally &Other) {
  Sent += Other.Sent;
  Count += Other.Count;
  Failures += Other.Failures;
  mergeInto(Wait, Other.Wait);
  mergeInto(Pace, Other.Pace);
}

void side_tally::remove(const side_tally &Other) {
  takeAway(Sent, Other.Sent);
  takeAway(Count, Other.Count);
  takeAway(Failures, Other.Failures);
  takeAway(Wait, Other.Wait);
  takeAway(Pace, Other.Pace);
}

void version_tally::add(const answer_sample &Sample) {
  pair &Pair = Kinds[Sample.Kind];
  (Sample.IsNew ? Pair.New : Pair.Old).add(Sample);
}

void version_tally::merge(const version_tally &Other) {
  for (const auto &[Kind, Pair] : Other.Kinds) {
    Kinds[Kind].Old.merge(Pair.Old);
    Kinds[Kind].New.merge(Pair.New);
  }
}

void version_tally::remove(const version_tally &Other) {
  for (const auto &[Kind, Pair] : Other.Kinds) {
    const auto Known = Kinds.find(Kind);
    if (Known == Kinds.end())
      continue;
    Known->second.Old.remove(Pair.Old);
    Known->second.New.remove(Pair.New);
  }
}

version_tally version_tally::newSince(const version_tally &Before) const {
  version_tally Since = *this;
  for (auto &[Kind, Pair] : Since.Kinds)
    if (const auto Known = Before.Kinds.find(Kind); Known != Before.Kinds.end())
      Pair.New.remove(Known->second.New);
  return Since;
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

// Each term is the one before times a ratio, so the sum ends soon after the
// terms are too small to matter.
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
  if (failsMore(Whole.Old, Whole.New))
    return "failures of all kinds";
  const auto IsSlow = [&Tally](side_tally::histogram side_tally::*Times) {
    return isSlowerInAll(Tally, Times, config::RolloutLeastAnswers,
                         config::RolloutSigmas);
  };
  if (IsSlow(&side_tally::Wait))
    return "slow_first_byte of all kinds";
  if (IsSlow(&side_tally::Pace))
    return "slow_events of all kinds";
  return {};
}

bool raisesDoubt(const version_tally &Tally) {
  const double Chance =
      config::RolloutDoubt / (static_cast<double>(Tally.Kinds.size()) + 1);
  version_tally::pair Whole;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    if (isDoubtful(Pair.Old, Pair.New, Chance))
      return true;
    Whole.Old.merge(Pair.Old);
    Whole.New.merge(Pair.New);
  }
  const auto IsSlow = [&Tally](side_tally::histogram side_tally::*Times) {
    return isSlowerInAll(Tally, Times, config::RolloutDoubtAnswers,
                         config::RolloutDoubtSigmas);
  };
  return isDoubtful(Whole.Old, Whole.New, Chance) ||
         IsSlow(&side_tally::Wait) || IsSlow(&side_tally::Pace);
}

} // namespace clementinelane
