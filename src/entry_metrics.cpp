#include "entry_metrics.h"

#include "metrics.h"

#include <array>
#include <vector>

namespace clementinelane {

namespace {

using prometheus::MetricType;

struct entry_metric {
  std::string_view Name;
  std::string_view Help;
  MetricType Type;
  double (*Read)(const entry_metrics_snapshot &);
};

constexpr std::array<entry_metric, 12> EntryMetrics{{
    {"clementine_open_requests", "requests under way", MetricType::Gauge,
     [](const entry_metrics_snapshot &F) { return double(F.Open); }},
    {"clementine_requests_total", "requests received by this entry",
     MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.Received); }},
    {"clementine_quota_refusals_total",
     "requests rejected by a customer's quota", MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.RefusedByQuota); }},
    {"clementine_intent_appends_total", "batches of intents appended",
     MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.Intents.Appends); }},
    {"clementine_intent_unavailable_total",
     "intents that the log did not accept", MetricType::Counter,
     [](const entry_metrics_snapshot &F) {
       return double(F.Intents.Unavailable);
     }},
    {"clementine_intent_remembered_bytes", "bytes of cached idempotency keys",
     MetricType::Gauge,
     [](const entry_metrics_snapshot &F) { return double(F.Intents.Bytes); }},
    {"clementine_intent_owed", "outcomes not yet written to the log",
     MetricType::Gauge,
     [](const entry_metrics_snapshot &F) {
       return double(F.Intents.PendingOutcomes);
     }},
    {"clementine_usage_appends_total", "batches of bills appended",
     MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.Usage.Appends); }},
    {"clementine_usage_own_bytes", "bytes of own bills that wait for the log",
     MetricType::Gauge,
     [](const entry_metrics_snapshot &F) { return double(F.Usage.OwnBytes); }},
    {"clementine_usage_held_bytes", "bytes of bills held for other VMs",
     MetricType::Gauge,
     [](const entry_metrics_snapshot &F) { return double(F.Usage.HeldBytes); }},
    {"clementine_retries_total", "retries made", MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.Retries.Allowed); }},
    {"clementine_retries_denied_total", "retries denied by a customer's budget",
     MetricType::Counter,
     [](const entry_metrics_snapshot &F) { return double(F.Retries.Denied); }},
}};

template <typename Stats> struct pool_metric {
  std::string_view Name;
  std::string_view Help;
  MetricType Type;
  double (*Read)(const Stats &);
};

using queue_metric = pool_metric<admission_stats>;
constexpr std::array<queue_metric, 6> QueueMetrics{{
    {"clementine_admitted_total", "requests admitted", MetricType::Counter,
     [](const admission_stats &S) { return double(S.Admitted); }},
    {"clementine_refused_full_total", "requests refused by a full queue",
     MetricType::Counter,
     [](const admission_stats &S) { return double(S.RefusedFull + S.Shed); }},
    {"clementine_refused_deadline_total",
     "requests refused because they would finish too late", MetricType::Counter,
     [](const admission_stats &S) { return double(S.RefusedDeadline); }},
    {"clementine_expired_total", "requests refused after a wait",
     MetricType::Counter,
     [](const admission_stats &S) { return double(S.Expired); }},
    {"clementine_waiting", "requests in the queue", MetricType::Gauge,
     [](const admission_stats &S) { return double(S.Waiting); }},
    {"clementine_running", "requests admitted and not finished",
     MetricType::Gauge,
     [](const admission_stats &S) { return double(S.Running); }},
}};

using placement_metric = pool_metric<placement_stats>;
constexpr std::array<placement_metric, 4> PlacementMetrics{{
    {"clementine_placed_total", "attempts placed", MetricType::Counter,
     [](const placement_stats &S) { return double(S.Placed); }},
    {"clementine_spilled_total", "attempts sent to another data centre",
     MetricType::Counter,
     [](const placement_stats &S) { return double(S.Spilled); }},
    {"clementine_ejections_total", "endpoints taken out of rotation",
     MetricType::Counter,
     [](const placement_stats &S) { return double(S.Ejections); }},
    {"clementine_ejected", "endpoints out of rotation now", MetricType::Gauge,
     [](const placement_stats &S) { return double(S.Ejected); }},
}};

template <typename Table, typename Stats>
void addPools(std::vector<prometheus::MetricFamily> &Families,
              const Table &Metrics, const std::map<std::string, Stats> &Pools) {
  for (const auto &Each : Metrics) {
    auto &Family =
        Families.emplace_back(makeFamily(Each.Name, Each.Help, Each.Type));
    for (const auto &[Pool, Values] : Pools)
      addValue(Family, Each.Read(Values), Pool);
  }
}

} // namespace

std::string entryMetricsText(const entry_metrics_snapshot &Snapshot) {
  std::vector<prometheus::MetricFamily> Families;
  for (const entry_metric &Each : EntryMetrics)
    addValue(Families.emplace_back(makeFamily(Each.Name, Each.Help, Each.Type)),
             Each.Read(Snapshot));
  addPools(Families, QueueMetrics, Snapshot.Admission);
  addPools(Families, PlacementMetrics, Snapshot.Placement);
  return metricsText(Families);
}

} // namespace clementinelane
