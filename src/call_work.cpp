#include "call_work.h"

#include "config.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

double promptTokens(const call_metadata &Metadata) {
  double Prompt = 0;
  for (const prompt_part &Part : Metadata.Parts)
    Prompt += Part.Tokens;
  return std::max(Prompt, double(Metadata.PromptTokens));
}

call_work workOf(const call_metadata &Metadata, double Pace) {
  constexpr double Thousand = 1000;
  double Shared = 0;
  for (std::size_t I = 0; I + 1 < Metadata.Parts.size(); ++I)
    Shared += Metadata.Parts[I].Tokens;
  call_work Work;
  Work.Prompt =
      Pace * (promptTokens(Metadata) / Thousand + config::BaseAttemptWork);
  Work.Shared = Pace * Shared / Thousand;
  Work.Answer =
      Pace * config::AnswerTokenWork * Metadata.AnswerTokens / Thousand;
  return Work;
}

// Load: a request of 1,500 tokens queues behind requests of 20,000 tokens on a
// model ten times as slow. Harm prevented: the short request misses its target
// latency, and the long ones gain nothing by running first.
unsigned urgencyOf(const call_work &Work, double Tolerance) {
  const double Level =
      config::UrgencyPerDoubling * std::log2(1 + Work.Prompt * Tolerance) +
      config::BaseUrgency;
  return static_cast<unsigned>(
      std::clamp(Level, 0.0, static_cast<double>(config::MaxUrgency)));
}

} // namespace clementinelane
