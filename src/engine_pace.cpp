#include "engine_pace.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// The model with the least price that is one; null if none is.
const model_price *cheapest(std::span<const model_price> Models) {
  const model_price *Least = nullptr;
  for (const model_price &Model : Models)
    if (Model.CostPerThousandTokens > 0 &&
        (!Least || Model.CostPerThousandTokens < Least->CostPerThousandTokens))
      Least = &Model;
  return Least;
}

/// Work is counted in tens and hundreds here, so that coefficients are of one
/// size.
constexpr double OwnScale = 10;
constexpr double OthersScale = 100;

/// A prompt's work in thousand tokens: what the model's pace made of it.
least_squares<3>::vector featuresOf(const work_ahead &Work, double Factor) {
  return {1, Work.Own / Factor / OwnScale, Work.Others / OthersScale};
}

} // namespace

engine_pace::model_pace::model_pace(double PriorFactor)
    : Prior(PriorFactor), Factor(PriorFactor),
      Seconds({config::FirstByteFixedSeconds,
               OwnScale * config::AssumedSecondsPerWork * PriorFactor,
               OthersScale * config::AssumedSecondsPerOthersWork},
              {config::FirstByteFixedSpread,
               OwnScale * config::AssumedSecondsPerWork * PriorFactor,
               OthersScale * config::AssumedSecondsPerOthersWork},
              config::PaceMemory) {}

double engine_pace::secondsForOwn(const model_pace &Pace) {
  return Pace.Seconds[1] / OwnScale;
}

double engine_pace::secondsForOthers(const model_pace &Pace) {
  return Pace.Seconds[2] / OthersScale;
}

void engine_pace::know(std::string_view Service,
                       std::span<const model_price> Models) {
  const model_price *Least = cheapest(Models);
  service_pace &Known = Services[std::string(Service)];
  Known.Cheapest = Least ? Least->Name : std::string{};
  for (const model_price &Model : Models) {
    const double Cost = Model.CostPerThousandTokens;
    const double Prior =
        Least && Cost > 0
            ? std::pow(Cost / Least->CostPerThousandTokens, config::PaceByPrice)
            : 1.0;
    Known.Models.try_emplace(Model.Name, Prior);
  }
}

const engine_pace::model_pace &engine_pace::at(std::string_view Service,
                                               std::string_view Model) const {
  static const model_pace Unknown(1);
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Unknown;
  const auto Pace = Found->second.Models.find(Model);
  return Pace == Found->second.Models.end() ? Unknown : Pace->second;
}

double engine_pace::of(std::string_view Service, std::string_view Model) const {
  return at(Service, Model).Factor;
}

void engine_pace::observe(std::string_view Service, std::string_view Model,
                          const work_ahead &Work, duration Wait) {
  // Short work says little of the pace: the fixed part hides it.
  if (Work.Own + Work.Others < config::LeastWorkForPace)
    return;
  service_pace &Known = Services[std::string(Service)];
  model_pace &Pace =
      Known.Models.try_emplace(std::string(Model), 1.0).first->second;
  const auto Features = featuresOf(Work, Pace.Factor);
  const double Deviation =
      std::max(Pace.Seconds.predict(Features), config::FirstByteFixedSeconds);
  Pace.Seconds.observe(Features, std::chrono::duration<double>(Wait).count(),
                       Deviation, config::PaceClip);
  ++Pace.Samples;
  setFactor(Known, Pace);
}

void engine_pace::setFactor(const service_pace &Service,
                            model_pace &Pace) const {
  const auto Cheapest = Service.Models.find(Service.Cheapest);
  if (Cheapest == Service.Models.end() || &Cheapest->second == &Pace)
    return;
  const double Least = secondsForOwn(Cheapest->second);
  const double Own = secondsForOwn(Pace);
  if (Least <= 0 || Own <= 0)
    return;
  const double Seen = std::min(Pace.Samples, Cheapest->second.Samples);
  const double Weight = Seen / (Seen + config::PacePriorWaits);
  Pace.Factor = std::clamp(std::pow(Own / Least, Weight) *
                               std::pow(Pace.Prior, 1 - Weight),
                           config::LeastModelPace, config::MostModelPace);
}

duration engine_pace::predict(std::string_view Service, std::string_view Model,
                              const work_ahead &Work) const {
  const model_pace &Pace = at(Service, Model);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      Pace.Seconds.predict(featuresOf(Work, Pace.Factor))));
}

duration engine_pace::backlog(std::string_view Service, double Others) const {
  double Most = 0;
  if (const auto Found = Services.find(Service); Found != Services.end())
    for (const auto &[Model, Pace] : Found->second.Models)
      Most = std::max(Most, secondsForOthers(Pace));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Most * Others));
}

} // namespace clementinelane
