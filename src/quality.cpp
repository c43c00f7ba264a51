#include "quality.h"

#include "config.h"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>
#include <xxhash.h>

namespace clementinelane {

namespace {

/// Shape parameters of a Beta distribution must be positive; this is far below
/// one rating.
constexpr double MinBetaShape = 0.01;

double quantile(double Good, double Bad, double Probability) {
  const boost::math::beta_distribution<> Beta(std::max(Good, MinBetaShape),
                                              std::max(Bad, MinBetaShape));
  return boost::math::quantile(Beta, Probability);
}

} // namespace

void rating_sum::add(double Value) {
  // Harm prevented: a version that was good for a year and degrades today being
  // judged by that year. Ratings decay exponentially over RatingDecayCount.
  const double Keep = 1 - 1 / config::RatingDecayCount;
  Weight = Weight * Keep + 1;
  Score = Score * Keep + Value;
}

void rating_sum::addAll(const rating_sum &Other) {
  Weight += Other.Weight;
  Score += Other.Score;
}

quality_table::shard &quality_table::shardOf(std::string_view Version) const {
  return Shards[XXH3_64bits(Version.data(), Version.size()) % ShardCount];
}

// Load: every request, for each candidate version. Harm prevented: quality for
// a customer with harder documents than most being estimated from other
// customers, and quality for a customer with few ratings being estimated from
// noise.
rating_sum quality_table::blend(rating_sum Own, rating_sum Others, double Cap) {
  Others.Weight = std::max(Others.Weight - Own.Weight, 0.0);
  Others.Score = std::clamp(Others.Score - Own.Score, 0.0, Others.Weight);
  if (Others.Weight > Cap) {
    Others.Score *= Cap / Others.Weight;
    Others.Weight = Cap;
  }
  Own.addAll(Others);
  return Own;
}

quality_table::cached_bounds
quality_table::boundsFor(const version_spec &Version, std::string_view Work,
                         std::string_view Customer) const {
  shard &Shard = shardOf(Version.Name);
  const std::scoped_lock Lock(Shard.Mutex);
  work_ratings &Ratings = Shard.Work[work_key(Version.Name, std::string(Work))];
  rating_sum Own;
  if (const auto OwnGroup = Ratings.ByCustomer.find(Customer);
      OwnGroup != Ratings.ByCustomer.end())
    Own = OwnGroup->second.All;
  rating_sum Others = Ratings.All.All;
  Others.addAll(
      {Version.QualityWeight, Version.QualityWeight * Version.Quality});
  const rating_sum Sum = blend(Own, Others, config::CustomerPriorWeight);
  const auto Cached = Ratings.Bounds.find(Customer);
  cached_bounds &Bounds = Cached == Ratings.Bounds.end()
                              ? Ratings.Bounds[std::string(Customer)]
                              : Cached->second;
  // The quantile takes about 20 microseconds, and a change by a fraction of one
  // rating hardly moves it.
  const bool IsCacheValid =
      std::abs(Bounds.ComputedFrom.Weight - Sum.Weight) <
          config::BoundTolerance &&
      std::abs(Bounds.ComputedFrom.Score - Sum.Score) < config::BoundTolerance;
  if (!IsCacheValid) {
    const double Bad = Sum.Weight - Sum.Score;
    Bounds = {Sum, quantile(Sum.Score, Bad, config::QualityTailProbability),
              quantile(Sum.Score, Bad, 1 - config::QualityTailProbability)};
  }
  return Bounds;
}

double quality_table::lowerBound(const version_spec &Version,
                                 std::string_view Work,
                                 std::string_view Customer) const {
  return boundsFor(Version, Work, Customer).Lower;
}

double quality_table::upperBound(const version_spec &Version,
                                 std::string_view Work,
                                 std::string_view Customer) const {
  return boundsFor(Version, Work, Customer).Upper;
}

void quality_table::rating_group::add(double Score, double Confidence) {
  All.add(Score);
  if (Confidence >= 0)
    ByConfidence[binOf(Confidence)].add(Score);
}

std::size_t quality_table::binOf(double Confidence) {
  const double Scaled = std::clamp(Confidence, 0.0, 1.0) * ConfidenceBins;
  return std::min(static_cast<std::size_t>(Scaled), ConfidenceBins - 1);
}

// Load: the first answer of each cascade. Harm prevented: accepting bad answers
// of an overconfident engine, and paying for an expensive version where the
// cheap one is good enough. Confidence counts only as far as ratings confirm
// it. The bin and all higher ones together must meet the target, and the bin
// alone must nearly meet it, so that higher bins can't hide a bad one.
bool quality_table::meetsTarget(const work_ratings &Ratings,
                                std::string_view Customer, std::size_t Bin,
                                double Target) {
  const rating_sum &Own = Ratings.All.ByConfidence[Bin];
  if (Own.Weight < config::MinCascadeBinRatings ||
      Own.Score / Own.Weight < Target - config::CascadeBinSlack)
    return false;
  const rating_sum FromBin = sumFromBin(Ratings, Customer, Bin);
  return quantile(FromBin.Score, FromBin.Weight - FromBin.Score,
                  config::QualityTailProbability) >= Target;
}

rating_sum quality_table::sumFromBin(const work_ratings &Ratings,
                                     std::string_view Customer,
                                     std::size_t Bin) {
  const auto OwnGroup = Ratings.ByCustomer.find(Customer);
  rating_sum Own;
  rating_sum All;
  for (std::size_t Index = Bin; Index < ConfidenceBins; ++Index) {
    All.addAll(Ratings.All.ByConfidence[Index]);
    if (OwnGroup != Ratings.ByCustomer.end())
      Own.addAll(OwnGroup->second.ByConfidence[Index]);
  }
  return blend(Own, All, config::CustomerPriorWeight);
}

bool quality_table::acceptsCascadeAnswer(const version_spec &Version,
                                         std::string_view Work,
                                         std::string_view Customer,
                                         double Confidence,
                                         double Target) const {
  if (Confidence < 0)
    return false;
  const shard &Shard = shardOf(Version.Name);
  const std::scoped_lock Lock(Shard.Mutex);
  const auto Found = Shard.Work.find(work_key(Version.Name, std::string(Work)));
  return Found != Shard.Work.end() &&
         meetsTarget(Found->second, Customer, binOf(Confidence), Target);
}

double quality_table::cascadeAcceptanceRate(const version_spec &Version,
                                            std::string_view Work,
                                            std::string_view Customer,
                                            double Target) const {
  const shard &Shard = shardOf(Version.Name);
  const std::scoped_lock Lock(Shard.Mutex);
  const auto Found = Shard.Work.find(work_key(Version.Name, std::string(Work)));
  if (Found == Shard.Work.end())
    return 0;
  double Accepted = 0;
  double Total = 0;
  for (std::size_t Bin = 0; Bin < ConfidenceBins; ++Bin) {
    const double Weight = Found->second.All.ByConfidence[Bin].Weight;
    Total += Weight;
    if (meetsTarget(Found->second, Customer, Bin, Target))
      Accepted += Weight;
  }
  return Total > 0 ? Accepted / Total : 0;
}

bool quality_table::isHalted(std::string_view Version) const {
  const std::scoped_lock Lock(CandidateMutex);
  if (std::find(HaltedByControl.begin(), HaltedByControl.end(), Version) !=
      HaltedByControl.end())
    return true;
  return std::any_of(
      Candidates.begin(), Candidates.end(), [&](const auto &Item) {
        return Item.second.To == Version && Item.second.Test.isRejected();
      });
}

void quality_table::updateRollouts(const configuration &Config) {
  const std::scoped_lock Lock(CandidateMutex);
  std::erase_if(Candidates, [&](const auto &Item) {
    const auto Rollout = Config.Rollouts.find(Item.first);
    return Rollout == Config.Rollouts.end() ||
           Rollout->second.To != Item.second.To ||
           Rollout->second.From != Item.second.From;
  });
  // A halt by control ends with its roll-out.
  std::erase_if(HaltedByControl, [&](const std::string &Version) {
    return std::none_of(
        Config.Rollouts.begin(), Config.Rollouts.end(),
        [&](const auto &Item) { return Item.second.To == Version; });
  });
  for (const auto &[Name, Rollout] : Config.Rollouts) {
    const auto [Candidate, IsNew] = Candidates.try_emplace(
        Name,
        candidate_state{Rollout.From, Rollout.To, Rollout.Step,
                        sequential_test(config::RolloutFalsePositiveRate), 0});
    if (!IsNew && Candidate->second.Step != Rollout.Step) {
      Candidate->second.Step = Rollout.Step;
      Candidate->second.StepRatings = 0;
    }
  }
}

void quality_table::add(const configuration &Config,
                        const answer_rating &Rating) {
  if (!Config.Versions.contains(Rating.Version) || std::isnan(Rating.Score))
    return;
  const double Score = std::clamp(Rating.Score, 0.0, 1.0);
  // The test runs before the table is updated, so that its null mean doesn't
  // depend on the score under test.
  updateCandidateTests(Config, Rating);
  shard &Shard = shardOf(Rating.Version);
  const std::scoped_lock Lock(Shard.Mutex);
  work_ratings &Ratings = Shard.Work[work_key(Rating.Version, Rating.Work)];
  Ratings.All.add(Score, Rating.Confidence);
  Ratings.ByCustomer[Rating.Customer].add(Score, Rating.Confidence);
}

// Load: each rating of a version that is being rolled out. Harm prevented: a
// bad version getting a growing share of new sessions while its ratings arrive
// slowly, and a good version halted by chance. The null mean is the lower bound
// of the old version minus NonInferiorityMargin.
void quality_table::updateCandidateTests(const configuration &Config,
                                         const answer_rating &Rating) {
  const std::scoped_lock Lock(CandidateMutex);
  for (auto &[Name, Candidate] : Candidates) {
    if (Candidate.To != Rating.Version)
      continue;
    const auto From = Config.Versions.find(Candidate.From);
    if (From == Config.Versions.end())
      continue;
    const double OldLowerBound =
        lowerBound(From->second, Rating.Work, Rating.Customer);
    Candidate.Test.add(std::clamp(Rating.Score, 0.0, 1.0),
                       OldLowerBound - config::NonInferiorityMargin);
    ++Candidate.StepRatings;
  }
}

std::vector<candidate_report> quality_table::reports() const {
  const std::scoped_lock Lock(CandidateMutex);
  std::vector<candidate_report> Reports;
  for (const auto &[Name, Candidate] : Candidates) {
    candidate_verdict Verdict = candidate_verdict::Undecided;
    if (Candidate.Test.isRejected())
      Verdict = candidate_verdict::Bad;
    else if (Candidate.StepRatings >= config::MinRolloutStepRatings)
      Verdict = candidate_verdict::Good;
    Reports.push_back(
        {Name, Candidate.To, Candidate.Step, Verdict, Candidate.StepRatings});
  }
  return Reports;
}

void quality_table::setHaltedVersions(std::vector<std::string> Versions) {
  const std::scoped_lock Lock(CandidateMutex);
  HaltedByControl = std::move(Versions);
}

} // namespace clementinelane
