#pragma once

#include "admission.h"
#include "admission_queue.h"
#include "clock.h"
#include "fleet_quota.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <unordered_map>

namespace clementinelane {

/// Admission control with one queue for each pool, each under its own lock,
/// after the customers' quotas are checked.
class pool_admission final : public admission_controller {
public:
  using capacity_source = std::function<pool_capacity(std::string_view Pool)>;

  pool_admission(const runtime_clock &Clock, capacity_source Capacity,
                 fleet_quota Quota)
      : Clock(Clock), Capacity(std::move(Capacity)), Quota(std::move(Quota)) {}

  void offer(const admission_request &Request,
             std::function<void(const admission_verdict &)> Done) override;
  void finished(std::string_view Id) override;
  /// Called every config::AdmissionTick: updates the capacities and refuses
  /// expired requests.
  void tick();

  /// Called every config::QuotaExchangeInterval: updates the quota shares and
  /// returns the report to send to the peers.
  demand_report exchangeQuota();
  void handleDemandReport(const demand_report &Report);
  void setVms(std::span<const std::string> Vms);

  /// Queue counters by pool.
  std::map<std::string, admission_stats> stats() const;
  std::uint64_t refusedByQuota() const { return RefusedByQuota; }

private:
  using callback = std::function<void(const admission_verdict &)>;
  struct shard {
    std::mutex Mutex;
    admission_queue Queue;
    std::unordered_map<std::string, callback> Waiting;
  };
  using shard_ptr = std::shared_ptr<shard>;
  /// Pools of requests by request id; sharded to reduce lock contention.
  struct id_shard {
    std::mutex Mutex;
    std::unordered_map<std::string, shard_ptr> Pools;
  };

  shard_ptr shardOf(std::string_view Pool);
  id_shard &idShardOf(std::string_view Id);
  bool chargeQuota(const admission_request &Request,
                   admission_verdict &Verdict);
  /// Runs `RunStep` on a shard under its lock, then the callbacks of the
  /// decided requests without it.
  template <typename Step>
  void run(const shard_ptr &Shard, const Step &RunStep);

  const runtime_clock &Clock;
  const capacity_source Capacity;
  mutable std::shared_mutex PoolsMutex;
  std::map<std::string, shard_ptr, std::less<>> Pools;
  std::array<id_shard, 16> Ids;
  std::mutex QuotaMutex;
  fleet_quota Quota;
  std::atomic<std::uint64_t> RefusedByQuota{0};
};

} // namespace clementinelane
