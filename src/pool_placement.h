#pragma once

#include "config.h"
#include "placement.h"

#include <deque>
#include <list>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// State of one endpoint as this VM sees it; kept across configurations.
struct endpoint_state {
  endpoint_spec Spec;
  std::uint64_t Hash = 0;
  bool InSubset = true;
  bool IsLeaving = false;
  bool IsRemoved = false; ///< from the configuration; attempts may run on
  // Load.
  std::uint64_t InFlight = 0;
  double TokensInFlight = 0;
  double StartTimeSum = 0; ///< sum over the attempts in flight, in seconds
  struct sample {
    mono_time At;
    std::uint64_t InFlight;
  };
  std::deque<sample> InFlightHistory; ///< to correct delayed load reports
  double OtherVmsInFlight = 0;        ///< from the endpoint's load report
  mono_time ReportedAt{};
  // Latency in seconds per answer token; 0: no answer yet.
  double Latency = 0;
  unsigned Samples = 0;
  double Limit = config::InitialLimit;
  // Health.
  unsigned ConsecutiveFailures = 0;
  unsigned Ejections = 0; ///< since the last successful probe
  bool IsEjected = false;
  bool IsProbing = false;
  mono_time EjectedUntil{};
  mono_time SlowStartAt = mono_time::min(); ///< start of the slow start
};

/// Places the attempts of one pool. Does no I/O, reads no clock and takes no
/// locks.
class pool_placement {
public:
  pool_placement(std::string VmName, std::string DataCentre)
      : VmName(std::move(VmName)), DataCentre(std::move(DataCentre)) {}

  /// Applies the endpoints of a newer configuration. Endpoints that stay keep
  /// their state; new ones begin with a slow start, except in a new pool.
  void setEndpoints(std::span<const endpoint_spec *const> Specs,
                    const vm_topology &Topology, mono_time Now);
  bool hasEndpoint(std::string_view Endpoint) const;
  result<placement> place(const placement_request &Request,
                          std::mt19937_64 &Random, mono_time Now);
  void finished(std::string_view Endpoint, std::uint64_t Tokens,
                attempt_outcome Outcome, duration Took, mono_time Now,
                std::uint64_t Actual);
  void setLeaving(std::string_view Endpoint, bool IsLeaving);
  void reportLoad(std::string_view Endpoint, std::uint64_t Running,
                  mono_time MeasuredAt);
  void updatePrefixAffinity(std::string_view Endpoint,
                            std::string_view Affinity, bool IsCached);

  pool_capacity capacity(mono_time Now) const;
  const placement_stats &stats() const { return Stats; }
  /// Names of the endpoints that this VM sends requests to.
  std::vector<std::string> subset() const;

private:
  /// The endpoints of one data centre in this VM's subset.
  struct group {
    std::string DataCentre;
    double CostFactor = 1; ///< factor on the expected time
    std::vector<std::size_t> Subset;
  };

  void chooseSubset(group &Group, const vm_topology &Topology);
  static bool isEligible(const endpoint_state &Each,
                         const placement_request &Request);
  static bool isFull(const endpoint_state &Each, mono_time Now);
  static double slowStartFactor(const endpoint_state &Each, mono_time Now);
  static double load(const endpoint_state &Each, mono_time Now);
  double secondsPerToken(const endpoint_state &Each, mono_time Now) const;
  endpoint_state *find(std::string_view Endpoint);
  double cost(const endpoint_state &Each, mono_time Now) const;
  double utilisation(const group &Group, mono_time Now) const;
  void updateSpill(mono_time Now);
  std::size_t findProbeTarget(const placement_request &Request,
                              mono_time Now) const;
  std::size_t findOrAddEndpoint(const endpoint_spec &Spec, mono_time Now);
  std::size_t findByAffinity(const group &Group,
                             const placement_request &Request,
                             mono_time Now) const;
  struct choice {
    std::size_t Endpoint;
    std::size_t RunnerUp;
  };
  choice chooseInGroup(const group &Group, const placement_request &Request,
                       std::mt19937_64 &Random, mono_time Now) const;
  std::size_t chooseAnywhere(const placement_request &Request,
                             mono_time Now) const;
  choice chooseAcrossGroups(const placement_request &Request,
                            std::mt19937_64 &Random, mono_time Now,
                            std::string_view &Reason) const;
  void runPeriodicChecks(mono_time Now);
  placement startAttempt(std::size_t Index, std::string_view Reason,
                         std::size_t RunnerUp, const placement_request &Request,
                         mono_time Now);
  void recordAffinity(std::string_view Affinity, std::size_t Index);
  void updateLatency(endpoint_state &Each, double Sample);
  void updateEstimates(double TokenRatio, double SecondsPerToken);
  void updateLimit(endpoint_state &Each, double InFlightBefore) const;
  void updateHealth(endpoint_state &Each, attempt_outcome Outcome,
                    mono_time Now);
  void handleProbeResult(endpoint_state &Each, attempt_outcome Outcome,
                         double Sample, mono_time Now);
  void recordInFlight(endpoint_state &Each, mono_time Now);
  bool mayEject() const;
  void eject(endpoint_state &Each, mono_time Now);
  double medianLatency() const;

  static constexpr std::size_t None = SIZE_MAX;

  std::string VmName;
  std::string DataCentre;
  std::vector<endpoint_state> Endpoints;
  std::unordered_map<std::string, std::size_t> ByName;
  std::vector<group> Groups; ///< nearest first
  bool IsSpilling = false;
  mono_time SpillChangedAt = mono_time::min();
  mono_time CheckedAt = mono_time::min();
  double MedianLatency = 0;
  double PoolLatency = 0;     ///< over all endpoints, in seconds per token
  double BestPoolLatency = 0; ///< 0: too few answers yet
  unsigned PoolSamples = 0;
  double PoolSecondsPerToken = 0; ///< in seconds per estimated token
  double ActualRatio = 1;         ///< actual per estimated tokens
  /// The endpoints of the most recently used sessions and prompt prefixes, by
  /// hash; at most MaxAffinityEntries.
  std::list<std::pair<std::uint64_t, std::size_t>> AffinityLru;
  std::unordered_map<std::uint64_t,
                     std::list<std::pair<std::uint64_t, std::size_t>>::iterator>
      AffinityIndex;
  placement_stats Stats;
};

} // namespace clementinelane
