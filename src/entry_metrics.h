#pragma once

#include "admission_queue.h"
#include "log_intents.h"
#include "log_usage.h"
#include "placement.h"
#include "retry_budget.h"

#include <cstdint>
#include <map>
#include <string>

namespace clementinelane {

/// The counters and gauges of an entry, read together.
struct entry_metrics_snapshot {
  std::uint64_t Open = 0;
  std::uint64_t Received = 0;
  std::uint64_t RefusedByQuota = 0;
  intent_counters Intents;
  usage_counters Usage;
  retry_stats Retries;
  std::map<std::string, admission_stats> Admission; ///< by pool
  std::map<std::string, placement_stats> Placement; ///< by pool
};

/// `Snapshot` in the Prometheus text format.
std::string entryMetricsText(const entry_metrics_snapshot &Snapshot);

} // namespace clementinelane
