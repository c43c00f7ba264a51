#include "answer_quality.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Of a standard normal distribution.
double below(double X) { return 0.5 * std::erfc(-X / std::sqrt(2.0)); }

std::string keyOf(std::string_view Service, std::string_view Model) {
  return std::string(Service) + "/" + std::string(Model);
}

bool isConfidence(double Value) { return Value >= 0 && Value <= 100; }

} // namespace

double chanceOfGood(double Other, double Asked, double Confidence) {
  constexpr double Spread = config::ConfidenceNoise / config::ConfidenceSlope;
  // The request's difficulty, as this confidence tells it, within 0 and 1.
  const double Difficulty = Asked - (std::clamp(Confidence, 0.0, 100.0) -
                                     config::ConfidenceAtQuality) /
                                        config::ConfidenceSlope;
  const double Least = below(-Difficulty / Spread);
  const double Most = below((1 - Difficulty) / Spread);
  const double At = below((std::clamp(Other, 0.0, 1.0) - Difficulty) / Spread);
  if (Most - Least < config::LeastChance)
    return Difficulty <= Other ? 1 : 0;
  return std::clamp((At - Least) / (Most - Least), 0.0, 1.0);
}

double answer_quality::prior(std::size_t Rank, std::size_t Models) {
  if (Models < 2)
    return 1;
  const double Place =
      static_cast<double>(std::min(Rank, Models - 1)) / double(Models - 1);
  return config::SmallestModelQuality +
         (1 - config::SmallestModelQuality) * Place;
}

double answer_quality::of(std::string_view Service, std::string_view Model,
                          double Prior) const {
  const auto Found = Estimates.find(keyOf(Service, Model));
  return Found == Estimates.end() ? Prior : Found->second.Quality;
}

answer_quality::estimate &answer_quality::at(std::string_view Service,
                                             std::string_view Model,
                                             double Prior) {
  return Estimates
      .try_emplace(keyOf(Service, Model),
                   estimate{Prior, config::QualityPriorAnswers})
      .first->second;
}

void answer_quality::move(estimate &Estimate, double Off) {
  Estimate.Answers = std::min(Estimate.Answers + 1, config::QualityMemory);
  Estimate.Quality =
      std::clamp(Estimate.Quality + Off / Estimate.Answers, 0.0, 1.0);
}

void answer_quality::observe(std::string_view Service, std::string_view Model,
                             double Prior, double Confidence) {
  if (!isConfidence(Confidence))
    return; // a lie tells nothing; the request goes on without it
  estimate &Estimate = at(Service, Model, Prior);
  move(Estimate, chanceOfGood(Estimate.Quality, Confidence) - Estimate.Quality);
}

void answer_quality::observeAfter(std::string_view Service,
                                  std::string_view Model, double Prior,
                                  double Confidence, double Asked,
                                  double Before) {
  if (!isConfidence(Confidence) || !isConfidence(Before))
    return;
  estimate &Estimate = at(Service, Model, Prior);
  move(Estimate, chanceOfGood(Estimate.Quality, Confidence) -
                     chanceOfGood(Estimate.Quality, Asked, Before));
}

} // namespace clementinelane
