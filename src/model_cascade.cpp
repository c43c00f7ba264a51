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

/// What an answer is worth if its first event is expected after `Wait` and the
/// target is `Left` away: 1 in time, less if late.
double worthInTime(duration Wait, duration Left) {
  if (Left <= duration::zero())
    return config::LateAnswerWorth;
  const double Ratio = seconds(Wait) / seconds(Left);
  const double InTime = 1 / (1 + std::pow(Ratio, config::WaitSharpness));
  return InTime + (1 - InTime) * config::LateAnswerWorth;
}

double worthOf(double ChanceOfGood) {
  return ChanceOfGood + (1 - ChanceOfGood) * config::PoorAnswerWorth;
}

/// What the others wait for.
double loadPrice(const cascade_view &View, const model_option &Model) {
  return View.EngineTimePrice * Model.EngineTime;
}

struct next_ask {
  std::size_t Model;
  double Worth;
};

/// The best that asking another model is worth, `After` from now.
next_ask bestNext(const cascade_view &View, const first_answer &Answer,
                  duration After) {
  next_ask Best{Answer.Model, -1};
  const double Asked = View.Models[Answer.Model].Quality;
  for (std::size_t I = 0; I < View.Models.size(); ++I) {
    const model_option &Model = View.Models[I];
    if (I == Answer.Model || After + Model.Wait >= View.LeftForCaller)
      continue;
    const double Good = chanceOfGood(Model.Quality, Asked, Answer.Confidence);
    const double Worth =
        worthOf(Good) * worthInTime(After + Model.Wait, View.LeftForTarget) -
        Model.Price - loadPrice(View, Model);
    if (Worth > Best.Worth)
      Best = {I, Worth};
  }
  return Best;
}

/// Weights and places of a normal distribution's three-point rule.
struct noise_point {
  double At;
  double Weight;
};
constexpr std::array<noise_point, 3> Noise{
    {{-1.732, 1.0 / 6}, {0, 2.0 / 3}, {1.732, 1.0 / 6}}};
/// Difficulties at which the first choice is weighed.
constexpr int Difficulties = 12;

/// What asking model `I` first is worth, with the chance to ask another.
double worthOfFirst(const cascade_view &View, std::size_t I) {
  const model_option &Model = View.Models[I];
  const double InTime = worthInTime(Model.Wait, View.LeftForTarget);
  double Sum = 0;
  for (int Step = 0; Step < Difficulties; ++Step) {
    const double Difficulty = (Step + 0.5) / Difficulties;
    for (const noise_point &Point : Noise) {
      const double Confidence = std::clamp(
          config::ConfidenceAtQuality +
              config::ConfidenceSlope * (Model.Quality - Difficulty) +
              config::ConfidenceNoise * Point.At,
          0.0, 100.0);
      const double Kept =
          worthOf(chanceOfGood(Model.Quality, Confidence)) * InTime -
          Model.Price;
      const double Again =
          View.MayAskTwice ? bestNext(View, {I, Confidence}, Model.Wait).Worth -
                                 Model.ReadPrice
                           : -1;
      Sum += Point.Weight * std::max(Kept, Again) / Difficulties;
    }
  }
  return Sum - loadPrice(View, Model);
}

} // namespace

std::size_t model_cascade::firstModel(const cascade_view &View) const {
  std::size_t Best = 0;
  double Most = -1;
  for (std::size_t I = 0; I < View.Models.size(); ++I)
    if (const double Worth = worthOfFirst(View, I); Worth > Most) {
      Most = Worth;
      Best = I;
    }
  return Best;
}

std::size_t model_cascade::nextModel(const cascade_view &View,
                                     const first_answer &Answer) const {
  if (Answer.Model >= View.Models.size())
    return Answer.Model;
  const model_option &Model = View.Models[Answer.Model];
  const double Kept = worthOf(chanceOfGood(Model.Quality, Answer.Confidence)) -
                      (Model.Price - Model.ReadPrice);
  const next_ask Next = bestNext(View, Answer, duration::zero());
  return Next.Worth > Kept ? Next.Model : Answer.Model;
}

} // namespace clementinelane
