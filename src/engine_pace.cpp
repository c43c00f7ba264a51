#include "engine_pace.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// The model with the lowest positive price; null if there is none.
const model_price *cheapest(std::span<const model_price> Models) {
  const model_price *CheapestPrice = nullptr;
  for (const model_price &Model : Models)
    if (Model.CostPerThousandTokens > 0 &&
        (!CheapestPrice ||
         Model.CostPerThousandTokens < CheapestPrice->CostPerThousandTokens))
      CheapestPrice = &Model;
  return CheapestPrice;
}

/// Features are scaled down by these so that the coefficients are of similar
/// magnitude.
constexpr double OwnScale = 10;
constexpr double OthersScale = 100;

/// Features of the first-byte wait. Own work is divided by the model's relative
/// pace, which gives the prompt in thousand tokens.
recursive_least_squares<3>::vector featuresOf(const work_ahead &Work,
                                              double RelativePace) {
  return {1, Work.Own / RelativePace / OwnScale, Work.Others / OthersScale};
}

} // namespace

engine_pace::model_pace::model_pace(double PriorRelativePace)
    : PriorRelativePace(PriorRelativePace), RelativePace(PriorRelativePace),
      Seconds({config::FirstByteFixedSeconds,
               OwnScale * config::PriorSecondsPerWork * PriorRelativePace,
               OthersScale * config::PriorSecondsPerOthersWork},
              {config::FirstByteFixedDeviation,
               OwnScale * config::PriorSecondsPerWork * PriorRelativePace,
               OthersScale * config::PriorSecondsPerOthersWork},
              config::PaceForgettingFactor) {}

double engine_pace::secondsForOwn(const model_pace &Pace) {
  return Pace.Seconds[1] / OwnScale;
}

double engine_pace::secondsForOthers(const model_pace &Pace) {
  return Pace.Seconds[2] / OthersScale;
}

void engine_pace::setModels(std::string_view Service,
                            std::span<const model_price> Models) {
  const model_price *CheapestPrice = cheapest(Models);
  service_pace &Paces = Services[std::string(Service)];
  Paces.Cheapest = CheapestPrice ? CheapestPrice->Name : std::string{};
  for (const model_price &Model : Models) {
    const double Cost = Model.CostPerThousandTokens;
    const double PriorRelativePace =
        CheapestPrice && Cost > 0
            ? std::pow(Cost / CheapestPrice->CostPerThousandTokens,
                       config::PacePriceExponent)
            : 1.0;
    Paces.Models.try_emplace(Model.Name, PriorRelativePace);
  }
}

const engine_pace::model_pace &
engine_pace::paceFor(std::string_view Service, std::string_view Model) const {
  static const model_pace Unknown(1);
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Unknown;
  const auto Pace = Found->second.Models.find(Model);
  return Pace == Found->second.Models.end() ? Unknown : Pace->second;
}

double engine_pace::of(std::string_view Service, std::string_view Model) const {
  return paceFor(Service, Model).RelativePace;
}

void engine_pace::observe(std::string_view Service, std::string_view Model,
                          const work_ahead &Work, duration Wait) {
  // With little work the fixed part dominates the wait and hides the pace.
  if (Work.Own + Work.Others < config::MinWorkForPace)
    return;
  service_pace &Paces = Services[std::string(Service)];
  model_pace &Pace =
      Paces.Models.try_emplace(std::string(Model), 1.0).first->second;
  const auto Features = featuresOf(Work, Pace.RelativePace);
  const double Deviation =
      std::max(Pace.Seconds.predict(Features), config::FirstByteFixedSeconds);
  Pace.Seconds.observe(Features, std::chrono::duration<double>(Wait).count(),
                       Deviation, config::PaceMaxDeviations);
  ++Pace.SampleCount;
  setRelativePace(Paces, Pace);
}

void engine_pace::setRelativePace(const service_pace &Service,
                                  model_pace &Pace) const {
  const auto Cheapest = Service.Models.find(Service.Cheapest);
  if (Cheapest == Service.Models.end() || &Cheapest->second == &Pace)
    return;
  const double CheapestSeconds = secondsForOwn(Cheapest->second);
  const double OwnSeconds = secondsForOwn(Pace);
  if (CheapestSeconds <= 0 || OwnSeconds <= 0)
    return;
  const double CommonSamples =
      std::min(Pace.SampleCount, Cheapest->second.SampleCount);
  const double Weight =
      CommonSamples / (CommonSamples + config::PacePriorSamples);
  Pace.RelativePace =
      std::clamp(std::pow(OwnSeconds / CheapestSeconds, Weight) *
                     std::pow(Pace.PriorRelativePace, 1 - Weight),
                 config::MinModelPace, config::MaxModelPace);
}

duration engine_pace::predict(std::string_view Service, std::string_view Model,
                              const work_ahead &Work) const {
  const model_pace &Pace = paceFor(Service, Model);
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      Pace.Seconds.predict(featuresOf(Work, Pace.RelativePace))));
}

duration engine_pace::backlogWait(std::string_view Service,
                                  double Others) const {
  double MaxSecondsPerWork = 0;
  if (const auto Found = Services.find(Service); Found != Services.end())
    for (const auto &[Model, Pace] : Found->second.Models)
      MaxSecondsPerWork = std::max(MaxSecondsPerWork, secondsForOthers(Pace));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(MaxSecondsPerWork * Others));
}

} // namespace clementinelane
