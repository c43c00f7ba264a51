#pragma once

#include "capacity/memory_account.h"
#include "clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace clementinelane {

/// Counters and latency histograms of the router. Label values are constants
/// of the code or route names, so cardinality is bounded.
class router_metrics {
public:
  /// Upper bounds of the latency buckets in seconds, from a plain call to a
  /// stream at its deadline.
  static constexpr std::array<double, 12> Edges{
      0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 8, 15, 25};

  static constexpr std::size_t Holders =
      static_cast<std::size_t>(memory_holder::Count);

  void requestAccepted(std::string_view Route);
  void requestEnded(std::string_view Route, std::string_view Outcome,
                    duration Latency);
  void firstByte(std::string_view Route, duration Wait);
  void attemptStarted(std::string_view Route, bool IsRetry);
  void attemptFailed(std::string_view Reason);
  void refused(std::string_view Kind);
  /// Callers' requests and connections that were ended for what they hold or
  /// for their slowness.
  void callerDropped(std::string_view Reason);
  /// Requests that wait or are refused for the shares of others, by rule.
  void heldBack(std::string_view Rule);
  void endpointCrashed() { ++EndpointCrashes; }
  void platformCall(std::string_view Call, bool IsOk);
  /// A record or an answer of the platform's store that can't be read.
  void recordDropped(std::string_view Topic, std::string_view Reason);

  /// Gauge values at the time of a scrape.
  struct gauges {
    double OpenRequests = 0;
    double Connections = 0;
    double Endpoints = 0;
    double AvoidedEndpoints = 0;
    double UnreachableEndpoints = 0;
    double HeardPeers = 0;
    double ColdEndpoints = 0;
    double LimitedEndpoints = 0;
    double LeavingEndpoints = 0;
    double PausedEndpoints = 0;
    double PlannedReturns = 0;
    double GuardedServices = 0;
    double ShortServices = 0;
    double EvacuatedDataCentres = 0;
    double QuarantinedRequests = 0;
    double QuarantinedParts = 0;
    double ConfigurationVersion = 0;
    double KeyLeaseAgeSeconds = 0;
    double DroppedLogLines = 0;
    double UnsentDatagrams = 0;
    double LostSessionNotes = 0;
    double UnansweredLookups = 0;
    double UnreadConnections = 0;
    double AcceptPauses = 0;
    double StoreEra = 0;
    double NewestConfigurationTold = 0;
    double IsReady = 0;
    double MemoryBound = 0; ///< bytes
    std::array<double, Holders> HeldBytes{};
  };
  std::string text(const gauges &Gauges) const;

private:
  struct histogram {
    std::array<std::uint64_t, Edges.size()> Buckets{};
    std::uint64_t Count = 0;
    double Sum = 0;
    void add(duration Time);
  };
  using counters = std::map<std::string, std::uint64_t, std::less<>>;
  using pair_counters =
      std::map<std::pair<std::string, std::string>, std::uint64_t>;

  counters Accepted;
  pair_counters Ended; ///< by route and outcome
  counters Attempts;
  counters Retries;
  counters AttemptFailures;
  counters Refusals;
  counters Dropped;  ///< by reason
  counters HeldBack; ///< by rule
  std::uint64_t EndpointCrashes = 0;
  pair_counters PlatformCalls;  ///< by call and result
  pair_counters DroppedRecords; ///< by topic and reason
  std::map<std::string, histogram, std::less<>> Duration;
  std::map<std::string, histogram, std::less<>> FirstByte;
};

} // namespace clementinelane
