#pragma once

#include "admission.h"
#include "clementinelane/error.h"
#include "clock.h"
#include "configuration.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <shared_mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

struct placement_request {
  std::string_view Pool;
  std::string_view Affinity; ///< session id or hash of the prompt prefix
  std::span<const std::string> Exclude; ///< endpoints that failed this request
  std::string_view RequiredEndpoint;    ///< if set, no other is used
  std::uint64_t Tokens = 0;
  bool MayProbe = true; ///< may probe an ejected endpoint
};

struct placement {
  endpoint_spec Endpoint;
  std::string Reason; ///< rule that decided
  std::string RunnerUp;
};

/// How an attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t {
  Answered,
  Refused,
  Failed,
  Silent,
  Cancelled ///< by this VM; carries no information on the endpoint
};

/// The entry VMs and regions, for subsets and distances; empty while unknown.
struct vm_topology {
  std::vector<std::string> Vms; ///< in this data centre, including this one
  std::map<std::string, std::string, std::less<>> Regions; ///< by data centre
  bool operator==(const vm_topology &) const = default;
};

/// Counters of one pool, for metrics and the benchmarks.
struct placement_stats {
  std::uint64_t Placed = 0;
  std::uint64_t AffinityHits = 0;
  std::uint64_t Spilled = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Ejections = 0;
  std::uint64_t EjectionsSuppressed = 0; ///< by the maximum fraction
  std::uint64_t SpillChanges = 0;
  std::size_t Ejected = 0; ///< now
};

class pool_placement;

/// Chooses an endpoint of a pool for each attempt. Each pool has its own lock;
/// the index of pools is rebuilt as a whole for each configuration.
class placer {
public:
  placer(std::string VmName, std::string DataCentre, std::uint64_t Seed);
  ~placer();
  placer(const placer &) = delete;
  placer &operator=(const placer &) = delete;

  /// Chooses an endpoint and counts the attempt as in flight; NoEndpoint if no
  /// endpoint is eligible.
  result<placement> place(const configuration &Config,
                          const placement_request &Request, mono_time Now);
  /// Ends an attempt that place() began with `Tokens`. `Actual` is the number
  /// of tokens of the answer, 0 if unknown.
  void finished(const std::string &Endpoint, std::uint64_t Tokens,
                attempt_outcome Outcome, duration Took, mono_time Now,
                std::uint64_t Actual = 0);
  /// Excludes a leaving endpoint from new work or includes it again, whatever
  /// the source of the notice.
  void setLeaving(const std::string &Endpoint, bool IsLeaving);
  /// Records the endpoint's own count of running requests, as of `MeasuredAt`.
  void reportLoad(const std::string &Endpoint, std::uint64_t Running,
                  mono_time MeasuredAt);
  /// Handles a prefix-cache event of the engine; only a hint for affinity.
  void updatePrefixAffinity(const std::string &Endpoint,
                            std::string_view Affinity, bool IsCached);
  /// Sets the VMs and regions that membership reports. Takes effect at once
  /// unless `Config` is older than the one in use, else with the next
  /// configuration.
  void setVms(const configuration &Config, vm_topology Topology, mono_time Now);

  /// Capacity of the pool that this VM may use now.
  pool_capacity capacity(const configuration &Config, std::string_view Pool,
                         mono_time Now);
  placement_stats stats(std::string_view Pool);
  std::vector<std::string> subset(std::string_view Pool);

private:
  struct shard;
  using shard_ptr = std::shared_ptr<shard>;
  struct pool_index;

  bool isCurrent(const configuration &Config) const;
  void refresh(const configuration &Config, mono_time Now);
  void rebuild(const configuration &Config, mono_time Now);
  shard_ptr shardOfPool(std::string_view Pool) const;
  shard_ptr shardOfEndpoint(const std::string &Endpoint) const;

  const std::string VmName;
  const std::string DataCentre;
  const std::uint64_t Seed;
  mutable std::shared_mutex IndexMutex;
  std::unique_ptr<pool_index> Index;
};

} // namespace clementinelane
