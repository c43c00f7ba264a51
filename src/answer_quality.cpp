#include "answer_quality.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Cumulative distribution function of the standard normal distribution.
double normalCdf(double X) { return 0.5 * std::erfc(-X / std::sqrt(2.0)); }

std::string keyOf(std::string_view Service, std::string_view Model) {
  return std::string(Service) + "/" + std::string(Model);
}

bool isValidConfidence(double Value) { return Value >= 0 && Value <= 100; }

} // namespace

double goodAnswerProbability(double CandidateQuality, double ReporterQuality,
                             double Confidence) {
  constexpr double Spread = config::ConfidenceNoise / config::ConfidenceSlope;
  // The difficulty is normally distributed around this estimate, truncated to
  // 0 to 1.
  const double Difficulty =
      ReporterQuality -
      (std::clamp(Confidence, 0.0, 100.0) - config::ConfidenceAtQuality) /
          config::ConfidenceSlope;
  const double Lower = normalCdf(-Difficulty / Spread);
  const double Upper = normalCdf((1 - Difficulty) / Spread);
  const double Candidate =
      normalCdf((std::clamp(CandidateQuality, 0.0, 1.0) - Difficulty) / Spread);
  if (Upper - Lower < config::MinProbabilityMass)
    return Difficulty <= CandidateQuality ? 1 : 0;
  return std::clamp((Candidate - Lower) / (Upper - Lower), 0.0, 1.0);
}

double answer_quality::prior(std::size_t Rank, std::size_t ModelCount) {
  if (ModelCount < 2)
    return 1;
  const double Position = static_cast<double>(std::min(Rank, ModelCount - 1)) /
                          double(ModelCount - 1);
  return config::SmallestModelPriorQuality +
         (1 - config::SmallestModelPriorQuality) * Position;
}

double answer_quality::of(std::string_view Service, std::string_view Model,
                          double Prior) const {
  const auto Found = Estimates.find(keyOf(Service, Model));
  return Found == Estimates.end() ? Prior : Found->second.Quality;
}

answer_quality::estimate &answer_quality::estimateFor(std::string_view Service,
                                                      std::string_view Model,
                                                      double Prior) {
  return Estimates
      .try_emplace(keyOf(Service, Model),
                   estimate{Prior, config::QualityPriorAnswers})
      .first->second;
}

void answer_quality::update(estimate &Estimate, double Error) {
  Estimate.EffectiveAnswers =
      std::min(Estimate.EffectiveAnswers + 1, config::QualityWindowAnswers);
  Estimate.Quality = std::clamp(
      Estimate.Quality + Error / Estimate.EffectiveAnswers, 0.0, 1.0);
}

void answer_quality::observe(std::string_view Service, std::string_view Model,
                             double Prior, double Confidence) {
  if (!isValidConfidence(Confidence))
    return; // nothing is learned; the request itself is unaffected
  estimate &Estimate = estimateFor(Service, Model, Prior);
  update(Estimate, goodAnswerProbability(Estimate.Quality, Confidence) -
                       Estimate.Quality);
}

void answer_quality::observeEscalated(std::string_view Service,
                                      std::string_view Model, double Prior,
                                      double Confidence, double PreviousQuality,
                                      double PreviousConfidence) {
  if (!isValidConfidence(Confidence) || !isValidConfidence(PreviousConfidence))
    return;
  estimate &Estimate = estimateFor(Service, Model, Prior);
  update(Estimate, goodAnswerProbability(Estimate.Quality, Confidence) -
                       goodAnswerProbability(Estimate.Quality, PreviousQuality,
                                             PreviousConfidence));
}

} // namespace clementinelane
