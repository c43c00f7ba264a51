#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace clementinelane {

/// What statistics say of a roll-out's new version against what it replaces.
enum class candidate_verdict : std::uint8_t { Undecided, Good, Bad };

/// The verdict on one roll-out, as its ratings stand.
struct candidate_report {
  std::string Rollout;
  std::string Version;
  std::uint64_t Step = 0; ///< the one whose answers were judged
  candidate_verdict Verdict = candidate_verdict::Undecided;
  std::uint64_t Ratings = 0; ///< at this step
};

/// A report from entry to control; the reply lists the braked versions.
struct verdict_message {
  std::string Rollout;
  std::uint64_t Step = 0;
  std::uint8_t Verdict = 0; ///< candidate_verdict
  MSGPACK_DEFINE_MAP(Rollout, Step, Verdict)
};

} // namespace clementinelane
