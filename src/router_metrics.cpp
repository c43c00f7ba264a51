#include "router_metrics.h"

#include "metrics.h"

#include <algorithm>
#include <vector>

namespace clementinelane {

namespace {

using prometheus::MetricType;
using labels = std::vector<prometheus::ClientMetric::Label>;

void add(prometheus::MetricFamily &Family, labels Labels, double Value) {
  prometheus::ClientMetric &Metric = Family.metric.emplace_back();
  Metric.label = std::move(Labels);
  Metric.counter.value = Value;
}

template <typename Counters>
prometheus::MetricFamily familyOf(std::string_view Name, std::string_view Help,
                                  std::string_view Label,
                                  const Counters &Counts) {
  auto Family = makeFamily(Name, Help, MetricType::Counter);
  for (const auto &[Value, Count] : Counts)
    add(Family, {{std::string(Label), Value}}, static_cast<double>(Count));
  return Family;
}

template <typename Counters>
prometheus::MetricFamily
pairFamilyOf(std::string_view Name, std::string_view Help,
             std::string_view First, std::string_view Second,
             const Counters &Counts) {
  auto Family = makeFamily(Name, Help, MetricType::Counter);
  for (const auto &[Values, Count] : Counts)
    add(Family,
        {{std::string(First), Values.first},
         {std::string(Second), Values.second}},
        static_cast<double>(Count));
  return Family;
}

template <typename Histograms>
prometheus::MetricFamily histogramFamily(std::string_view Name,
                                         std::string_view Help,
                                         const Histograms &ByRoute) {
  auto Family = makeFamily(Name, Help, MetricType::Histogram);
  for (const auto &[Route, Histogram] : ByRoute) {
    prometheus::ClientMetric &Metric = Family.metric.emplace_back();
    Metric.label = {{"route", Route}};
    Metric.histogram.sample_count = Histogram.Count;
    Metric.histogram.sample_sum = Histogram.Sum;
    std::uint64_t Below = 0;
    for (std::size_t I = 0; I < router_metrics::Edges.size(); ++I) {
      Below += Histogram.Buckets[I];
      Metric.histogram.bucket.push_back({Below, router_metrics::Edges[I]});
    }
  }
  return Family;
}

struct gauge_row {
  std::string_view Name;
  std::string_view Help;
  double router_metrics::gauges::*Value;
};

using g = router_metrics::gauges;
constexpr std::array<gauge_row, 28> GaugeRows{{
    {"clementine_open_requests", "requests currently being processed",
     &g::OpenRequests},
    {"clementine_caller_connections", "connections of callers",
     &g::Connections},
    {"clementine_connections_unread",
     "callers' connections closed unread since the start, because this VM's "
     "resources were in use",
     &g::UnreadConnections},
    {"clementine_held_bytes_limit",
     "bytes that may be held for callers and peers", &g::MemoryBound},
    {"clementine_accept_pauses",
     "times since the start that this VM didn't listen for callers, because "
     "its resources were in use",
     &g::AcceptPauses},
    {"clementine_endpoints", "endpoints in the directory", &g::Endpoints},
    {"clementine_endpoints_avoided", "endpoints avoided after failures",
     &g::AvoidedEndpoints},
    {"clementine_endpoints_unreachable",
     "endpoints that this VM failed to connect to and has not reached since",
     &g::UnreachableEndpoints},
    {"clementine_peers_heard", "other VMs whose digests arrive",
     &g::HeardPeers},
    {"clementine_endpoints_cold", "endpoints within their cold-start period",
     &g::ColdEndpoints},
    {"clementine_endpoints_limited", "endpoints that name a limit",
     &g::LimitedEndpoints},
    {"clementine_endpoints_leaving",
     "endpoints whose answers announced that they are leaving",
     &g::LeavingEndpoints},
    {"clementine_endpoints_paused",
     "endpoints that want no requests from this VM for a while",
     &g::PausedEndpoints},
    {"clementine_returns_planned",
     "planned returns of refused requests, of the whole data centre",
     &g::PlannedReturns},
    {"clementine_services_guarded",
     "services whose endpoints name a limit on rejections",
     &g::GuardedServices},
    {"clementine_services_short",
     "services whose capacity is divided among customers", &g::ShortServices},
    {"clementine_data_centres_evacuated", "evacuated data centres",
     &g::EvacuatedDataCentres},
    {"clementine_requests_quarantined",
     "requests that no endpoint may get, since endpoints crashed while "
     "processing them",
     &g::QuarantinedRequests},
    {"clementine_parts_quarantined",
     "sets of prompt parts that no endpoint may get, since endpoints crashed "
     "as they began to answer them",
     &g::QuarantinedParts},
    {"clementine_store_era",
     "era of the platform's store since it last went back to a copy; 0: it "
     "hasn't since the start",
     &g::StoreEra},
    {"clementine_configuration_newest_told",
     "newest version of the configuration that another router has told",
     &g::NewestConfigurationTold},
    {"clementine_configuration_version", "version of the configuration in use",
     &g::ConfigurationVersion},
    {"clementine_key_lease_age_seconds",
     "time since a read last confirmed the configuration",
     &g::KeyLeaseAgeSeconds},
    {"clementine_log_lines_dropped", "log lines dropped since the start",
     &g::DroppedLogLines},
    {"clementine_datagrams_unsent",
     "datagrams to other VMs that the system rejected, since the start",
     &g::UnsentDatagrams},
    {"clementine_session_notes_lost",
     "notes of sessions that no owner acknowledged, since the start",
     &g::LostSessionNotes},
    {"clementine_session_lookups_unanswered",
     "sessions for which no owner reported what it knows, since the start",
     &g::UnansweredLookups},
    {"clementine_ready", "1 if the balancer is told to send requests",
     &g::IsReady},
}};

template <typename Map> auto &counterFor(Map &Counts, std::string_view Key) {
  const auto Found = Counts.find(Key);
  return Found == Counts.end() ? Counts[std::string(Key)] : Found->second;
}

} // namespace

void router_metrics::histogram::add(duration Time) {
  const double Seconds = std::chrono::duration<double>(Time).count();
  ++Count;
  Sum += Seconds;
  const auto Edge = std::lower_bound(Edges.begin(), Edges.end(), Seconds);
  if (Edge != Edges.end())
    ++Buckets[static_cast<std::size_t>(Edge - Edges.begin())];
}

void router_metrics::requestAccepted(std::string_view Route) {
  ++counterFor(Accepted, Route);
}

void router_metrics::requestEnded(std::string_view Route,
                                  std::string_view Outcome, duration Latency) {
  ++Ended[{std::string(Route), std::string(Outcome)}];
  counterFor(Duration, Route).add(Latency);
}

void router_metrics::firstByte(std::string_view Route, duration Wait) {
  counterFor(FirstByte, Route).add(Wait);
}

void router_metrics::attemptStarted(std::string_view Route, bool IsRetry) {
  ++counterFor(Attempts, Route);
  if (IsRetry)
    ++counterFor(Retries, Route);
}

void router_metrics::attemptFailed(std::string_view Reason) {
  ++counterFor(AttemptFailures, Reason);
}

void router_metrics::refused(std::string_view Kind) {
  ++counterFor(Refusals, Kind);
}

void router_metrics::callerDropped(std::string_view Reason) {
  ++counterFor(Dropped, Reason);
}

void router_metrics::heldBack(std::string_view Rule) {
  ++counterFor(HeldBack, Rule);
}

void router_metrics::platformCall(std::string_view Call, bool IsOk) {
  ++PlatformCalls[{std::string(Call), IsOk ? "ok" : "failed"}];
}

void router_metrics::recordDropped(std::string_view Topic,
                                   std::string_view Reason) {
  ++DroppedRecords[{std::string(Topic), std::string(Reason)}];
}

std::string router_metrics::text(const gauges &Gauges) const {
  std::vector<prometheus::MetricFamily> Families;
  for (const gauge_row &Row : GaugeRows) {
    auto Family = makeFamily(Row.Name, Row.Help, MetricType::Gauge);
    addValue(Family, Gauges.*Row.Value);
    Families.push_back(std::move(Family));
  }
  auto Held = makeFamily("clementine_held_bytes",
                         "bytes held for callers and peers, by holder",
                         MetricType::Gauge);
  for (std::size_t I = 0; I < Holders; ++I) {
    prometheus::ClientMetric &Metric = Held.metric.emplace_back();
    Metric.label = {
        {"holder", std::string(nameOf(static_cast<memory_holder>(I)))}};
    Metric.gauge.value = Gauges.HeldBytes[I];
  }
  Families.push_back(std::move(Held));
  Families.push_back(familyOf("clementine_callers_dropped_total",
                              "callers' requests and connections ended by "
                              "this VM, by reason",
                              "reason", Dropped));
  Families.push_back(familyOf("clementine_requests_total", "requests taken",
                              "route", Accepted));
  Families.push_back(pairFamilyOf("clementine_answers_total",
                                  "requests finished, by outcome", "route",
                                  "outcome", Ended));
  Families.push_back(familyOf("clementine_attempts_total",
                              "attempts at endpoints", "route", Attempts));
  Families.push_back(familyOf("clementine_repeats_total",
                              "attempts after a request's first", "route",
                              Retries));
  Families.push_back(familyOf("clementine_attempt_failures_total",
                              "attempts that failed, by reason", "reason",
                              AttemptFailures));
  Families.push_back(familyOf("clementine_refusals_total",
                              "the router's own answers, by kind", "kind",
                              Refusals));
  Families.push_back(
      familyOf("clementine_held_back_total",
               "requests that waited or were refused at once, by rule", "rule",
               HeldBack));
  auto Crashes =
      makeFamily("clementine_endpoint_crashes_total",
                 "endpoints that crashed while processing requests of this VM",
                 MetricType::Counter);
  addValue(Crashes, static_cast<double>(EndpointCrashes));
  Families.push_back(std::move(Crashes));
  Families.push_back(pairFamilyOf("clementine_platform_calls_total",
                                  "calls to the platform's store", "call",
                                  "result", PlatformCalls));
  Families.push_back(pairFamilyOf(
      "clementine_records_dropped_total",
      "records and answers of the platform's store that can't be read", "topic",
      "reason", DroppedRecords));
  Families.push_back(histogramFamily(
      "clementine_request_seconds",
      "latency from a request to the end of its answer", Duration));
  Families.push_back(histogramFamily(
      "clementine_first_byte_seconds",
      "latency from an attempt to the head of its answer", FirstByte));
  return metricsText(Families);
}

} // namespace clementinelane
