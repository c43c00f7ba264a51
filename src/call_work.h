#pragma once

#include "routed_call.h"

namespace clementinelane {

/// Engine time needed by a call, in units of 1000 prompt tokens on the
/// service's cheapest model.
struct call_work {
  double Prompt = 0; ///< before the first byte
  double Shared = 0; ///< share of Prompt for parts that other requests share
  double Answer = 0; ///< after the first byte
};

/// The work of a call on a model with the given pace (see engine_pace).
call_work workOf(const call_metadata &Metadata, double Pace);
/// Prompt tokens: the sum over the parts or the stated count, whichever is
/// larger.
double promptTokens(const call_metadata &Metadata);

/// Urgency sent to the engine, 0 (first) to 9; shorter work is more urgent, and
/// so is a request that tolerates less waiting than others (see request_mix).
unsigned urgencyOf(const call_work &Work, double Tolerance = 1);

} // namespace clementinelane
