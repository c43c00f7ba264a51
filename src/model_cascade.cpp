#include "model_cascade.h"

#include "answer_quality.h"
#include "config.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace clementinelane {

namespace {

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Utility factor of an answer whose first event is predicted after `Wait`,
/// with `Left` until the target: 1 in time, less if late.
double latencyUtility(duration Wait, duration Left) {
  if (Left <= duration::zero())
    return config::LateAnswerUtility;
  const double Ratio = seconds(Wait) / seconds(Left);
  const double InTime = 1 / (1 + std::pow(Ratio, config::WaitCurveSteepness));
  return InTime + (1 - InTime) * config::LateAnswerUtility;
}

double answerUtility(double GoodProbability) {
  return GoodProbability + (1 - GoodProbability) * config::PoorAnswerUtility;
}

/// Cost of the model's engine time to other requests.
double loadCost(const cascade_view &View, const model_option &Model) {
  return View.EngineTimePrice * Model.RelativeEngineTime;
}

struct escalation {
  std::size_t Model;
  double Utility;
};

/// The escalation with the highest utility if it is sent after `Delay`.
escalation bestEscalation(const cascade_view &View, const first_answer &Answer,
                          duration Delay) {
  escalation Best{Answer.Model, -1};
  const double CurrentQuality = View.Models[Answer.Model].Quality;
  for (std::size_t I = 0; I < View.Models.size(); ++I) {
    const model_option &Model = View.Models[I];
    if (I == Answer.Model || Delay + Model.Wait >= View.TimeToDeadline)
      continue;
    const double Good =
        goodAnswerProbability(Model.Quality, CurrentQuality, Answer.Confidence);
    const double Utility =
        answerUtility(Good) *
            latencyUtility(Delay + Model.Wait, View.TimeToTarget) -
        Model.Price - loadCost(View, Model);
    if (Utility > Best.Utility)
      Best = {I, Utility};
  }
  return Best;
}

/// A point of the three-point Gauss-Hermite rule for a normal distribution.
struct noise_point {
  double Deviations;
  double Weight;
};
constexpr std::array<noise_point, 3> NoisePoints{
    {{-1.732, 1.0 / 6}, {0, 2.0 / 3}, {1.732, 1.0 / 6}}};
/// Midpoints of the numeric integration over difficulty.
constexpr int DifficultySteps = 12;

/// Expected utility of starting with model `I`, with the option to escalate.
double firstModelUtility(const cascade_view &View, std::size_t I) {
  const model_option &Model = View.Models[I];
  const double InTime = latencyUtility(Model.Wait, View.TimeToTarget);
  double Sum = 0;
  for (int Step = 0; Step < DifficultySteps; ++Step) {
    const double Difficulty = (Step + 0.5) / DifficultySteps;
    for (const noise_point &Point : NoisePoints) {
      const double Confidence = std::clamp(
          config::ConfidenceAtQuality +
              config::ConfidenceSlope * (Model.Quality - Difficulty) +
              config::ConfidenceNoise * Point.Deviations,
          0.0, 100.0);
      const double KeepUtility =
          answerUtility(goodAnswerProbability(Model.Quality, Confidence)) *
              InTime -
          Model.Price;
      const double EscalateUtility =
          View.MayEscalate
              ? bestEscalation(View, {I, Confidence}, Model.Wait).Utility -
                    Model.PromptPrice
              : -1;
      Sum += Point.Weight * std::max(KeepUtility, EscalateUtility) /
             DifficultySteps;
    }
  }
  return Sum - loadCost(View, Model);
}

} // namespace

std::size_t model_cascade::firstModel(const cascade_view &View) const {
  std::size_t Best = 0;
  double BestUtility = -1;
  for (std::size_t I = 0; I < View.Models.size(); ++I)
    if (const double Utility = firstModelUtility(View, I);
        Utility > BestUtility) {
      BestUtility = Utility;
      Best = I;
    }
  return Best;
}

std::size_t model_cascade::nextModel(const cascade_view &View,
                                     const first_answer &Answer) const {
  if (Answer.Model >= View.Models.size())
    return Answer.Model;
  const model_option &Model = View.Models[Answer.Model];
  const double KeepUtility =
      answerUtility(goodAnswerProbability(Model.Quality, Answer.Confidence)) -
      (Model.Price - Model.PromptPrice);
  const escalation Next = bestEscalation(View, Answer, duration::zero());
  return Next.Utility > KeepUtility ? Next.Model : Answer.Model;
}

} // namespace clementinelane
