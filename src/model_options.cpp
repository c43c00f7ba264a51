#include "model_options.h"

#include "call_work.h"
#include "config.h"

#include <algorithm>

namespace clementinelane {

std::vector<model_option> optionsOf(const call_metadata &Metadata,
                                    std::span<const model_quote> Models) {
  constexpr double Thousand = 1000;
  const double PricedPromptTokens =
      config::PromptTokenPriceRatio * promptTokens(Metadata);
  const double PricedTokens = PricedPromptTokens + Metadata.AnswerTokens;
  double MaxPrice = 0;
  double MaxWork = 0;
  for (const model_quote &Model : Models) {
    MaxPrice = std::max(MaxPrice, Model.CostPerThousandTokens.value_or(0) *
                                      PricedTokens / Thousand);
    MaxWork = std::max(MaxWork, Model.Work);
  }
  const double AnswerValue = std::max(config::MinAnswerValue,
                                      MaxPrice / config::MaxRelativeModelPrice);
  std::vector<model_option> Options;
  for (const model_quote &Model : Models) {
    const double Position =
        double(Options.size() + 1) / static_cast<double>(Models.size());
    model_option &Option = Options.emplace_back();
    Option.Quality = Model.Quality;
    Option.Price = Model.CostPerThousandTokens
                       ? *Model.CostPerThousandTokens * PricedTokens /
                             Thousand / AnswerValue
                       : config::MaxRelativeModelPrice * Position;
    Option.PromptPrice =
        PricedTokens > 0 ? Option.Price * PricedPromptTokens / PricedTokens : 0;
    Option.RelativeEngineTime = MaxWork > 0 ? Model.Work / MaxWork : 1;
    Option.Wait = Model.Wait;
  }
  return Options;
}

} // namespace clementinelane
