#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "configuration.h"

#include <mutex>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

struct placement_request {
  std::string_view Pool;
  std::string_view Affinity; ///< session, or a hash of the prompt's prefix
  std::span<const std::string> Exclude; ///< endpoints that failed this request
  std::string_view Only; ///< this endpoint and no other, if not empty
  std::uint64_t Tokens = 0;
};

struct placement {
  endpoint_spec Endpoint;
  std::string Reason;
  std::string RunnerUp;
};

/// How an attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t {
  Answered,
  Refused,
  Failed,
  Silent,
  Cancelled ///< given back by us; says nothing of the endpoint
};

/// Chooses an endpoint of a pool for each attempt.
class placer {
public:
  placer(std::string DataCentre, std::uint64_t Seed)
      : DataCentre(std::move(DataCentre)), Random(Seed) {}

  /// NoEndpoint when none may take the work. Counts the attempt in flight.
  result<placement> place(const configuration &Config,
                          const placement_request &Request, mono_time Now);
  /// Ends what place() began.
  void finished(const std::string &Endpoint, std::uint64_t Tokens,
                attempt_outcome Outcome, duration Took, mono_time Now);
  /// The endpoint takes no new work, from any source of the sign.
  void markLeaving(const std::string &Endpoint, bool IsLeaving);

private:
  struct endpoint_load {
    std::uint64_t InFlight = 0;
    bool Leaving = false;
  };

  std::string DataCentre;
  std::mutex Mutex;
  std::mt19937_64 Random;
  std::unordered_map<std::string, endpoint_load> Loads;
};

} // namespace clementinelane
