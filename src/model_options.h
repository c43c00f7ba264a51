#pragma once

#include "model_cascade.h"
#include "routed_call.h"

#include <optional>
#include <span>
#include <vector>

namespace clementinelane {

/// Price, quality, work and wait of one model for one request.
struct model_quote {
  double Quality = 1;
  std::optional<double> CostPerThousandTokens; ///< if configured
  double Work = 0; ///< of the request's prompt and answer; see call_work
  duration Wait{}; ///< predicted time to the first event
};

/// Converts a route's models to the cascade's options for one request: prices
/// are relative to the value of a good answer, work to the model with the most
/// work.
///
/// The value of a good answer isn't configured. It is assumed to be at least
/// config::MinAnswerValue, and large enough that the most expensive model costs
/// at most config::MaxRelativeModelPrice of it. A model without a price is
/// assumed to cost a share of that bound, by its position in the order.
std::vector<model_option> optionsOf(const call_metadata &Metadata,
                                    std::span<const model_quote> Models);

} // namespace clementinelane
