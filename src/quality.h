#pragma once

#include "candidate.h"
#include "configuration.h"
#include "sequential_test.h"
#include "version_choice.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Rating of one answer, from the rating service.
struct answer_rating {
  std::string RequestId;
  std::string Customer;
  std::string Work;
  std::string Version;
  double Score = 0;       ///< 0 bad to 1 good
  double Confidence = -1; ///< from the engine; negative: not reported
};

/// Sums of ratings with exponential decay: old ratings lose weight.
struct rating_sum {
  double Weight = 0;
  double Score = 0;
  void add(double Value);
  void addAll(const rating_sum &Other);
};

/// Rating statistics by version, kind of work and customer. Ratings may be
/// late, out of order or missing.
class quality_table final : public quality_source {
public:
  double lowerBound(const version_spec &Version, std::string_view Work,
                    std::string_view Customer) const override;
  double upperBound(const version_spec &Version, std::string_view Work,
                    std::string_view Customer) const override;
  bool isHalted(std::string_view Version) const override;
  bool acceptsCascadeAnswer(const version_spec &Version, std::string_view Work,
                            std::string_view Customer, double Confidence,
                            double Target) const override;
  double cascadeAcceptanceRate(const version_spec &Version,
                               std::string_view Work, std::string_view Customer,
                               double Target) const override;

  /// Updates the tests to the roll-outs of `Config`: an unchanged roll-out
  /// keeps its test, and the halt of a removed roll-out ends.
  void updateRollouts(const configuration &Config);
  /// Adds a rating; ignored if its version isn't in `Config`.
  void add(const configuration &Config, const answer_rating &Rating);
  std::vector<candidate_report> reports() const;
  /// Replaces the list of versions that control has halted.
  void setHaltedVersions(std::vector<std::string> Versions);

private:
  using work_key = std::pair<std::string, std::string>; ///< version, work

  /// Equal bins of the range of confidence, 0 to 1.
  static constexpr std::size_t ConfidenceBins = 10;

  /// Ratings of one customer or of all customers.
  struct rating_group {
    rating_sum All;
    std::array<rating_sum, ConfidenceBins> ByConfidence;
    void add(double Score, double Confidence);
  };

  /// Confidence bounds, with the rating sums they were computed from.
  struct cached_bounds {
    rating_sum ComputedFrom{-1, -1};
    double Lower = 0;
    double Upper = 0;
  };

  struct work_ratings {
    rating_group All;
    std::map<std::string, rating_group, std::less<>> ByCustomer;
    std::map<std::string, cached_bounds, std::less<>> Bounds; ///< by customer
  };

  /// Whether answers with a confidence of bin `Bin` or above meet `Target`.
  static bool meetsTarget(const work_ratings &Ratings,
                          std::string_view Customer, std::size_t Bin,
                          double Target);
  static std::size_t binOf(double Confidence);

  /// Sequential test of a roll-out's new version against the old one.
  struct candidate_state {
    std::string From;
    std::string To;
    std::uint64_t Step = 0;
    sequential_test Test;
    std::uint64_t StepRatings = 0;
  };

  struct shard {
    mutable std::mutex Mutex;
    std::map<work_key, work_ratings, std::less<>> Work;
  };

  /// Confidence bounds of the share of good answers.
  cached_bounds boundsFor(const version_spec &Version, std::string_view Work,
                          std::string_view Customer) const;
  /// Adds the ratings of all other customers, with a weight of at most `Cap`,
  /// to a customer's own.
  static rating_sum blend(rating_sum Own, rating_sum Others, double Cap);
  /// Ratings for `Customer` of answers in confidence bin `Bin` or above.
  static rating_sum sumFromBin(const work_ratings &Ratings,
                               std::string_view Customer, std::size_t Bin);
  shard &shardOf(std::string_view Version) const;
  void updateCandidateTests(const configuration &Config,
                            const answer_rating &Rating);

  static constexpr std::size_t ShardCount = 8;
  mutable std::array<shard, ShardCount> Shards;
  mutable std::mutex CandidateMutex;
  std::map<std::string, candidate_state, std::less<>>
      Candidates; ///< by roll-out
  std::vector<std::string> HaltedByControl;
};

} // namespace clementinelane
