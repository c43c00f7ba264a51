#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace clementinelane {

/// Statistical verdict on a roll-out's new version compared with the old one.
enum class candidate_verdict : std::uint8_t { Undecided, Good, Bad };

/// Current verdict on one roll-out.
struct candidate_report {
  std::string Rollout;
  std::string Version;
  std::uint64_t Step = 0; ///< the step whose answers were rated
  candidate_verdict Verdict = candidate_verdict::Undecided;
  std::uint64_t Ratings = 0; ///< number of ratings at this step
};

/// Sent by entry to control, which replies with the halted versions.
struct verdict_message {
  std::string Rollout;
  std::uint64_t Step = 0;
  std::uint8_t Verdict = 0; ///< candidate_verdict
  MSGPACK_DEFINE_MAP(Rollout, Step, Verdict)
};

} // namespace clementinelane
