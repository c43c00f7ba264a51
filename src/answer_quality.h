#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace clementinelane {

/// Estimates the probability that answers are good, without I/O. Whether an
/// answer is good can't be observed, only a model's confidence in its own
/// answer.
///
/// Requests are assumed to differ only in their difficulty, uniform over 0
/// to 1. A model answers a request well if the difficulty doesn't exceed the
/// model's quality; its confidence decreases linearly with difficulty minus
/// quality, with noise. One model's confidence therefore also predicts how
/// another model would answer the same request. The parameters
/// (config::Confidence...) are assumed to be equal for all models and come from
/// the answers of one fleet; each model's quality is learned.

/// Probability that a model of quality `CandidateQuality` answers a request
/// well, given that a model of quality `ReporterQuality` answered it with this
/// confidence, 0 to 100.
double goodAnswerProbability(double CandidateQuality, double ReporterQuality,
                             double Confidence);
/// Probability that the answer with this confidence is good itself.
inline double goodAnswerProbability(double ReporterQuality, double Confidence) {
  return goodAnswerProbability(ReporterQuality, ReporterQuality, Confidence);
}

/// Learns the quality of each model of each service: the part of all requests
/// that it answers well.
///
/// Load: models of unknown quality, added or replaced under traffic. Harm
/// prevented: a good medium-sized model is never used, or a weak one is paid
/// for. The priors of a service's models are evenly spaced up to 1 in the order
/// of the models and weigh as much as config::QualityPriorAnswers answers. Old
/// answers decay over config::QualityWindowAnswers newer ones.
class answer_quality {
public:
  /// Quality of model `Rank` (from 0, smallest first) of `ModelCount`, before
  /// any answer.
  static double prior(std::size_t Rank, std::size_t ModelCount);

  /// The learned quality of a model, or `Prior` if it has no answers yet.
  double of(std::string_view Service, std::string_view Model,
            double Prior) const;
  /// Records the confidence of a model's answer to a request that it got first.
  void observe(std::string_view Service, std::string_view Model, double Prior,
               double Confidence);
  /// Records the confidence of a model's answer to a request that was escalated
  /// from a model of quality `PreviousQuality`, which answered with
  /// `PreviousConfidence`. Such requests are harder than average.
  void observeEscalated(std::string_view Service, std::string_view Model,
                        double Prior, double Confidence, double PreviousQuality,
                        double PreviousConfidence);

  struct estimate {
    double Quality = 0;
    double EffectiveAnswers = 0; ///< weight of the estimate, prior included
  };
  const std::map<std::string, estimate> &estimates() const { return Estimates; }

private:
  estimate &estimateFor(std::string_view Service, std::string_view Model,
                        double Prior);
  static void update(estimate &Estimate, double Error);

  std::map<std::string, estimate> Estimates; ///< by "service/model"
};

} // namespace clementinelane
