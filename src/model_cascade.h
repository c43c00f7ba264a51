#pragma once

#include "clock.h"

#include <cstddef>
#include <span>

namespace clementinelane {

/// What a model offers for one request at the moment of the choice.
struct model_option {
  double Quality = 1;     ///< share of all requests that it answers well
  double Price = 0;       ///< of a whole answer, relative to a good one's value
  double PromptPrice = 0; ///< its part for the prompt, paid even if dropped
  double RelativeEngineTime =
      0;           ///< for the whole answer, relative to the slowest model's
  duration Wait{}; ///< predicted time to the first event
};

/// State of a request when a model is chosen.
struct cascade_view {
  std::span<const model_option> Models; ///< smallest first
  duration TimeToTarget{}; ///< until the first event misses the latency target
  duration TimeToDeadline{}; ///< until the caller's deadline
  /// Cost of the slowest model's engine time to other requests.
  double EngineTimePrice = 0;
  /// Whether attempts and repeat budget remain after the next attempt.
  bool MayEscalate = true;
};

/// An answer that has begun, before any of it is sent to the caller.
struct first_answer {
  std::size_t Model = 0;
  double Confidence = 100; ///< reported by the model, 0 to 100
};

/// Chooses the model for the first attempt, and whether to escalate a weak
/// answer to another model, without I/O.
///
/// Load: requests of unknown difficulty for models that differ in quality,
/// price and speed. Harm prevented: paying for the largest model where a
/// smaller one suffices; starting with a small one whose answer is mostly
/// dropped; and, on busy engines, large runs that finish too late and delay
/// other requests. The option with the highest expected utility is taken: a
/// good answer in time counts 1, less the prices and less the cost of the
/// engine time to other requests. An answer's confidence gives the probability
/// that it is good and that other models would do better (answer_quality).
class model_cascade {
public:
  /// Index of the model for the first attempt.
  std::size_t firstModel(const cascade_view &View) const;
  /// Index of the model to escalate to, or of the answer's own model to keep
  /// the answer.
  std::size_t nextModel(const cascade_view &View,
                        const first_answer &Answer) const;
};

} // namespace clementinelane
