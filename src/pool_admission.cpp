#include "pool_admission.h"

#include <vector>

namespace clementinelane {

pool_admission::shard_ptr pool_admission::shardOf(std::string_view Pool) {
  {
    const std::shared_lock Lock(PoolsMutex);
    if (const auto At = Pools.find(Pool); At != Pools.end())
      return At->second;
  }
  auto NewShard = std::make_shared<shard>();
  NewShard->Queue.setCapacity(Capacity(Pool));
  const std::unique_lock Lock(PoolsMutex);
  return Pools.try_emplace(std::string(Pool), std::move(NewShard))
      .first->second;
}

pool_admission::id_shard &pool_admission::idShardOf(std::string_view Id) {
  return Ids[std::hash<std::string_view>{}(Id) % Ids.size()];
}

template <typename Step>
void pool_admission::run(const shard_ptr &Shard, const Step &RunStep) {
  std::vector<std::pair<callback, admission_verdict>> Callbacks;
  {
    const std::scoped_lock Lock(Shard->Mutex);
    for (const auto &[Id, Verdict] : RunStep(*Shard)) {
      const auto At = Shard->Waiting.find(Id);
      if (At == Shard->Waiting.end())
        continue;
      Callbacks.emplace_back(std::move(At->second), Verdict);
      Shard->Waiting.erase(At);
    }
  }
  for (const auto &[Callback, Verdict] : Callbacks)
    Callback(Verdict);
}

bool pool_admission::chargeQuota(const admission_request &Request,
                                 admission_verdict &Verdict) {
  const std::scoped_lock Lock(QuotaMutex);
  const duration Wait =
      Quota.consume(Request.Customer, Request.QuotaTokensPerSecond,
                    static_cast<double>(Request.Tokens), Clock.now());
  if (Wait == duration::zero())
    return true;
  ++RefusedByQuota;
  Verdict = {error_kind::QuotaExceeded,
             std::max<std::chrono::milliseconds>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(Wait),
                 config::MinRetryAfter),
             "quota", "queue"};
  return false;
}

void pool_admission::offer(const admission_request &Request, callback Done) {
  if (admission_verdict Verdict; !chargeQuota(Request, Verdict))
    return Done(Verdict);
  const shard_ptr Shard = shardOf(Request.Pool);
  {
    id_shard &Id = idShardOf(Request.Id);
    const std::scoped_lock Lock(Id.Mutex);
    Id.Pools[Request.Id] = Shard;
  }
  // A request that the queue refuses used no quota, so it is refunded.
  auto RefundOnRefusal =
      [this, Customer = Request.Customer, Tokens = Request.Tokens,
       Done = std::move(Done)](const admission_verdict &Verdict) {
        if (Verdict.Error) {
          const std::scoped_lock Lock(QuotaMutex);
          Quota.refund(Customer, static_cast<double>(Tokens));
        }
        Done(Verdict);
      };
  run(Shard, [&](shard &Each) {
    Each.Waiting.emplace(Request.Id, std::move(RefundOnRefusal));
    return Each.Queue.offer(Request, Clock.now());
  });
}

void pool_admission::finished(std::string_view Id) {
  shard_ptr Shard;
  {
    id_shard &IdShard = idShardOf(Id);
    const std::scoped_lock Lock(IdShard.Mutex);
    const auto At = IdShard.Pools.find(std::string(Id));
    if (At == IdShard.Pools.end())
      return;
    Shard = std::move(At->second);
    IdShard.Pools.erase(At);
  }
  run(Shard, [&](shard &Each) {
    Each.Waiting.erase(std::string(Id));
    return Each.Queue.finished(Id, Clock.now());
  });
}

void pool_admission::tick() {
  std::vector<std::pair<std::string, shard_ptr>> All;
  {
    const std::shared_lock Lock(PoolsMutex);
    All.assign(Pools.begin(), Pools.end());
  }
  for (const auto &[Pool, Shard] : All) {
    const pool_capacity Now = Capacity(Pool);
    run(Shard, [&](shard &Each) {
      Each.Queue.setCapacity(Now);
      return Each.Queue.tick(Clock.now());
    });
  }
}

demand_report pool_admission::exchangeQuota() {
  const std::scoped_lock Lock(QuotaMutex);
  return Quota.updateShares(Clock.now());
}

void pool_admission::handleDemandReport(const demand_report &Report) {
  const std::scoped_lock Lock(QuotaMutex);
  Quota.handleReport(Report);
}

void pool_admission::setVms(std::span<const std::string> Vms) {
  const std::scoped_lock Lock(QuotaMutex);
  Quota.setVms(Vms);
}

std::map<std::string, admission_stats> pool_admission::stats() const {
  std::map<std::string, admission_stats> All;
  const std::shared_lock Lock(PoolsMutex);
  for (const auto &[Pool, Shard] : Pools) {
    const std::scoped_lock Inner(Shard->Mutex);
    All.emplace(Pool, Shard->Queue.stats());
  }
  return All;
}

} // namespace clementinelane
