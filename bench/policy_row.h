#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace clementinelane::bench {

/// One line of the policy bench's table and of build/bench/policy.json.
struct policy_row {
  std::string Scenario;
  std::string Policy;
  std::uint64_t Seed = 0;
  std::uint64_t Offered = 0;
  std::uint64_t AnsweredInTime = 0;
  std::uint64_t Refused = 0;
  std::uint64_t TimedOutAfterAdmission = 0;
  double P50Ms = 0;
  double P95Ms = 0;
  double P99Ms = 0;
  double CostPerAnswer = 0;
  double QualityMetShare = 0;
  std::uint64_t BadVersionAnswers = 0;
  double MaxRefusalDelayMs = 0;
  double AttemptsPerRequest = 0;
};

/// An aim of the users, and what the bench found.
struct policy_aim {
  std::string Text;
  std::string Figure;
  bool IsMet = false;
};

struct policy_report {
  std::vector<policy_row> Rows;
  std::vector<policy_aim> Aims;
};

/// Load, queues, placement, retries, shift (load_scenarios.cpp).
policy_report runLoadScenarios();
/// Version choice, cascades, bad versions, roll-outs (quality_scenarios.cpp).
policy_report runQualityScenarios();

} // namespace clementinelane::bench
