#include "version_evidence.h"

#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <span>
#include <vector>

namespace clementinelane {

namespace {

/// Shares of bad answers that are bet on.
constexpr std::array<double, 4> BadShares{0.15, 0.3, 0.55, 0.85};
/// A limit for late answers is set for each of these: the share of the old
/// version's answers that may be above it.
constexpr std::array<double, 3> LateShares{0.02, 0.1, 0.3};

/// New answers of one kind, and the old version's rate of bad ones.
struct kind_counts {
  double OldRate = 0;
  unsigned Good = 0;
  unsigned Bad = 0;
};

std::uint32_t countFrom(const side_tally::histogram &Times, std::size_t First) {
  return std::accumulate(Times.begin() + static_cast<std::ptrdiff_t>(First),
                         Times.end(), 0U);
}

/// Upper limit of Wilson's confidence interval for the rate of an event that
/// was seen `Hits` times in `Count` trials. The rate itself would be too low by
/// chance in half of all roll-outs, above all in their first seconds.
double upperRate(double Hits, double Count) {
  constexpr double Sigmas = config::RolloutOldRateSigmas;
  const double Rate = Hits / Count;
  const double Spread = Sigmas * Sigmas / Count;
  const double Limit =
      (Rate + Spread / 2 +
       Sigmas * std::sqrt(Rate * (1 - Rate) / Count + Spread / (4 * Count))) /
      (1 + Spread);
  return std::clamp(Limit, config::RolloutMinBadRate, 0.99);
}

/// Logarithm of the wealth of one bettor on one share of bad answers.
double logWealth(std::span<const kind_counts> Kinds, double Share) {
  double Sum = 0;
  for (const kind_counts &Each : Kinds) {
    const double Rate = Each.OldRate + (1 - Each.OldRate) * Share;
    Sum += Each.Bad * std::log(Rate / Each.OldRate) +
           Each.Good * std::log((1 - Rate) / (1 - Each.OldRate));
  }
  return Sum;
}

/// Logarithm of the weighted mean of exponentials. Weights add up to 1.
class log_mean {
public:
  void add(double Logarithm, double Weight) {
    Terms.push_back(Logarithm + std::log(Weight));
  }
  double value() const {
    const double Most = *std::max_element(Terms.begin(), Terms.end());
    const double Sum = std::accumulate(
        Terms.begin(), Terms.end(), 0.0,
        [Most](double S, double Term) { return S + std::exp(Term - Most); });
    return Most + std::log(Sum);
  }

private:
  std::vector<double> Terms;
};

// Half of the wealth is bet on a fault of all kinds, the other half on faults
// of one kind only.
void addBets(std::span<const kind_counts> Kinds, double Weight, log_mean &All) {
  constexpr double Half = 0.5;
  for (const double Share : BadShares) {
    const double Part = Weight * Half / BadShares.size();
    All.add(logWealth(Kinds, Share), Part);
    for (const kind_counts &Each : Kinds)
      All.add(logWealth({&Each, 1}, Share),
              Part / static_cast<double>(Kinds.size()));
  }
}

unsigned countBad(std::span<const kind_counts> Kinds) {
  return std::accumulate(
      Kinds.begin(), Kinds.end(), 0U,
      [](unsigned Sum, const kind_counts &Each) { return Sum + Each.Bad; });
}

/// The lowest bucket such that at most `Share` of the old answers are in it or
/// above. A plain call does the same work on either version, so a good version
/// isn't given more time.
std::size_t lateBucket(const side_tally::histogram &Old, double Share) {
  const double Allowed = Share * countFrom(Old, 0);
  std::size_t Bucket = 0;
  while (Bucket < Old.size() && countFrom(Old, Bucket) > Allowed)
    ++Bucket;
  return Bucket;
}

bool isPlainCall(const version_tally::pair &Pair) {
  return countFrom(Pair.Old.EventIntervals, 0) == 0 &&
         countFrom(Pair.New.EventIntervals, 0) == 0;
}

/// The kinds whose old version has a baseline of answers, and the sum of the
/// other kinds as one more. With a few requests a second no kind has a baseline
/// by itself.
template <typename Predicate, typename Counter>
std::vector<version_tally::pair>
judgedKinds(const version_tally &Tally, Predicate IsJudged, Counter Baseline) {
  std::vector<version_tally::pair> Judged;
  version_tally::pair Rest;
  for (const auto &[Kind, Pair] : Tally.Kinds) {
    if (!IsJudged(Pair))
      continue;
    if (Baseline(Pair.Old) >= config::RolloutMinBaseline) {
      Judged.push_back(Pair);
      continue;
    }
    Rest.Old.merge(Pair.Old);
    Rest.New.merge(Pair.New);
  }
  if (Baseline(Rest.Old) >= config::RolloutMinBaseline)
    Judged.push_back(Rest);
  return Judged;
}

std::vector<kind_counts> lateCounts(std::span<const version_tally::pair> Judged,
                                    double Share) {
  std::vector<kind_counts> Kinds;
  for (const version_tally::pair &Pair : Judged) {
    const unsigned Old = countFrom(Pair.Old.FirstByteTimes, 0);
    const unsigned New = countFrom(Pair.New.FirstByteTimes, 0);
    if (New == 0)
      continue;
    const std::size_t Bucket = lateBucket(Pair.Old.FirstByteTimes, Share);
    const unsigned Late = countFrom(Pair.New.FirstByteTimes, Bucket);
    Kinds.push_back({upperRate(countFrom(Pair.Old.FirstByteTimes, Bucket), Old),
                     New - Late, Late});
  }
  return Kinds;
}

/// Attempts that ended in a bucket, and those that lasted longer.
struct bucket_passes {
  unsigned Ended = 0;
  unsigned Lasted = 0;
};

bucket_passes passesOf(const side_tally &Side, std::size_t Bucket) {
  return {Side.AnswerTimes[Bucket], countFrom(Side.AnswerTimes, Bucket + 1) +
                                        countFrom(Side.OpenAges, Bucket + 1)};
}

void addPasses(const version_tally::pair &Pair,
               std::vector<kind_counts> &Passes) {
  for (std::size_t Bucket = 0; Bucket < side_tally::Buckets; ++Bucket) {
    const bucket_passes Old = passesOf(Pair.Old, Bucket);
    const bucket_passes New = passesOf(Pair.New, Bucket);
    if (Old.Ended + Old.Lasted >= config::RolloutMinBaseline &&
        New.Ended + New.Lasted > 0)
      Passes.push_back({upperRate(Old.Lasted, Old.Ended + Old.Lasted),
                        New.Ended, New.Lasted});
  }
}

/// New answers that last, or have lasted, longer than the old version's median.
unsigned countLong(const version_tally::pair &Pair) {
  constexpr double Median = 0.5;
  const std::size_t First = lateBucket(Pair.Old.AnswerTimes, Median);
  return countFrom(Pair.New.AnswerTimes, First) +
         countFrom(Pair.New.OpenAges, First);
}

} // namespace

version_evidence failureEvidence(const version_tally &Tally) {
  std::vector<kind_counts> Kinds;
  for (const version_tally::pair &Pair : judgedKinds(
           Tally, [](const auto &) { return true; },
           [](const side_tally &Side) { return Side.Count; }))
    if (Pair.New.Count > 0)
      Kinds.push_back({upperRate(Pair.Old.Failures, Pair.Old.Count),
                       Pair.New.Count - Pair.New.Failures, Pair.New.Failures});
  if (Kinds.empty())
    return {};
  log_mean All;
  addBets(Kinds, 1, All);
  return {All.value(), countBad(Kinds)};
}

version_evidence latenessEvidence(const version_tally &Tally) {
  const auto Judged =
      judgedKinds(Tally, isPlainCall, [](const side_tally &Side) {
        return countFrom(Side.FirstByteTimes, 0);
      });
  log_mean All;
  unsigned Hits = 0;
  for (const double Share : LateShares) {
    const auto Kinds = lateCounts(Judged, Share);
    if (Kinds.empty())
      return {};
    addBets(Kinds, 1.0 / LateShares.size(), All);
    Hits = std::max(Hits, countBad(Kinds));
  }
  return {All.value(), Hits};
}

version_evidence delayEvidence(const version_tally &Tally) {
  const auto CountOf = [](const side_tally &Side) {
    return countFrom(Side.AnswerTimes, 0);
  };
  std::vector<kind_counts> Passes;
  unsigned Hits = 0;
  for (const version_tally::pair &Pair :
       judgedKinds(Tally, isPlainCall, CountOf)) {
    addPasses(Pair, Passes);
    Hits += countLong(Pair);
  }
  if (Passes.empty())
    return {};
  log_mean All;
  addBets(Passes, 1, All);
  return {All.value(), Hits};
}

bool isConclusive(const version_evidence &Evidence) {
  return Evidence.Hits >= config::RolloutMinHits &&
         Evidence.LogWealth >= std::log(1 / config::RolloutFalseRollbackChance);
}

bool isSuspicious(const version_evidence &Evidence) {
  return Evidence.Hits >= config::RolloutSuspicionMinFailures &&
         Evidence.LogWealth >= std::log(1 / config::RolloutFalseHoldChance);
}

} // namespace clementinelane
