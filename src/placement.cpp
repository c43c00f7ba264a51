#include "placement.h"

#include "pool_placement.h"

#include <set>

namespace clementinelane {

struct placer::shard {
  shard(const std::string &VmName, const std::string &DataCentre,
        std::uint64_t Seed)
      : Pool(VmName, DataCentre), Random(Seed) {}

  std::mutex Mutex;
  pool_placement Pool;
  std::mt19937_64 Random;
};

struct placer::pool_index {
  const configuration *Config = nullptr;
  std::uint64_t Offset = 0;
  vm_topology Topology;
  std::map<std::string, shard_ptr, std::less<>> Pools;
  std::unordered_map<std::string, shard_ptr> ByEndpoint;
  std::set<std::string> Leaving; ///< announced by the endpoint
  std::set<std::string> Drained; ///< set to leave in the configuration
};

placer::placer(std::string VmName, std::string DataCentre, std::uint64_t Seed)
    : VmName(std::move(VmName)), DataCentre(std::move(DataCentre)), Seed(Seed),
      Index(std::make_unique<pool_index>()) {}

placer::~placer() = default;

placer::shard_ptr placer::shardOfPool(std::string_view Pool) const {
  const std::shared_lock Lock(IndexMutex);
  const auto At = Index->Pools.find(Pool);
  return At == Index->Pools.end() ? nullptr : At->second;
}

placer::shard_ptr placer::shardOfEndpoint(const std::string &Endpoint) const {
  const std::shared_lock Lock(IndexMutex);
  const auto At = Index->ByEndpoint.find(Endpoint);
  return At == Index->ByEndpoint.end() ? nullptr : At->second;
}

bool placer::isCurrent(const configuration &Config) const {
  return Config.Offset < Index->Offset ||
         (Config.Offset == Index->Offset && Index->Config == &Config);
}

// Load: 25,000 configuration changes a day with 5,800 endpoints. Harm
// prevented: a scan of all endpoints for each attempt. The pools are indexed
// once per configuration; a caller with an older configuration uses the newer
// index.
void placer::refresh(const configuration &Config, mono_time Now) {
  {
    const std::shared_lock Lock(IndexMutex);
    if (isCurrent(Config))
      return;
  }
  const std::unique_lock Lock(IndexMutex);
  if (!isCurrent(Config))
    rebuild(Config, Now);
}

void placer::rebuild(const configuration &Config, mono_time Now) {
  std::map<std::string, std::vector<const endpoint_spec *>> ByPool;
  for (const auto &[Name, Pool] : Index->Pools)
    ByPool[Name];
  for (const auto &[Name, Endpoint] : Config.Endpoints)
    ByPool[Endpoint.Pool].push_back(&Endpoint);
  Index->Drained.clear();
  const auto Previous = std::exchange(Index->ByEndpoint, {});
  for (const auto &[Name, Specs] : ByPool) {
    shard_ptr &Shard = Index->Pools[Name];
    if (!Shard)
      Shard = std::make_shared<shard>(VmName, DataCentre,
                                      Seed + std::hash<std::string>{}(Name));
    const std::scoped_lock Lock(Shard->Mutex);
    Shard->Pool.setEndpoints(Specs, Index->Topology, Now);
    for (const endpoint_spec *Spec : Specs) {
      Index->ByEndpoint[Spec->Name] = Shard;
      if (Spec->Leaving)
        Index->Drained.insert(Spec->Name);
      Shard->Pool.setLeaving(
          Spec->Name, Spec->Leaving || Index->Leaving.contains(Spec->Name));
    }
  }
  // Attempts at removed endpoints still end in their old pool.
  for (const auto &[Name, Shard] : Previous)
    if (const std::scoped_lock Lock(Shard->Mutex);
        Shard->Pool.hasEndpoint(Name))
      Index->ByEndpoint.try_emplace(Name, Shard);
  Index->Config = &Config;
  Index->Offset = Config.Offset;
}

result<placement> placer::place(const configuration &Config,
                                const placement_request &Request,
                                mono_time Now) {
  refresh(Config, Now);
  const shard_ptr Shard = shardOfPool(Request.Pool);
  if (!Shard)
    return error_kind::NoEndpoint;
  const std::scoped_lock Lock(Shard->Mutex);
  return Shard->Pool.place(Request, Shard->Random, Now);
}

void placer::finished(const std::string &Endpoint, std::uint64_t Tokens,
                      attempt_outcome Outcome, duration Took, mono_time Now,
                      std::uint64_t Actual) {
  const shard_ptr Shard = shardOfEndpoint(Endpoint);
  if (!Shard)
    return;
  const std::scoped_lock Lock(Shard->Mutex);
  Shard->Pool.finished(Endpoint, Tokens, Outcome, Took, Now, Actual);
}

void placer::setLeaving(const std::string &Endpoint, bool IsLeaving) {
  {
    const std::unique_lock Lock(IndexMutex);
    if (IsLeaving)
      Index->Leaving.insert(Endpoint);
    else
      Index->Leaving.erase(Endpoint);
    // An endpoint that is draining by configuration stays drained, even if it
    // no longer announces that it is leaving.
    IsLeaving = IsLeaving || Index->Drained.contains(Endpoint);
  }
  if (const shard_ptr Shard = shardOfEndpoint(Endpoint)) {
    const std::scoped_lock Lock(Shard->Mutex);
    Shard->Pool.setLeaving(Endpoint, IsLeaving);
  }
}

void placer::reportLoad(const std::string &Endpoint, std::uint64_t Running,
                        mono_time MeasuredAt) {
  if (const shard_ptr Shard = shardOfEndpoint(Endpoint)) {
    const std::scoped_lock Lock(Shard->Mutex);
    Shard->Pool.reportLoad(Endpoint, Running, MeasuredAt);
  }
}

void placer::updatePrefixAffinity(const std::string &Endpoint,
                                  std::string_view Affinity, bool IsCached) {
  if (const shard_ptr Shard = shardOfEndpoint(Endpoint)) {
    const std::scoped_lock Lock(Shard->Mutex);
    Shard->Pool.updatePrefixAffinity(Endpoint, Affinity, IsCached);
  }
}

void placer::setVms(const configuration &Config, vm_topology Topology,
                    mono_time Now) {
  const std::unique_lock Lock(IndexMutex);
  Index->Topology = std::move(Topology);
  if (Config.Offset >= Index->Offset)
    rebuild(Config, Now);
}

pool_capacity placer::capacity(const configuration &Config,
                               std::string_view Pool, mono_time Now) {
  refresh(Config, Now);
  const shard_ptr Shard = shardOfPool(Pool);
  if (!Shard)
    return {};
  const std::scoped_lock Lock(Shard->Mutex);
  return Shard->Pool.capacity(Now);
}

placement_stats placer::stats(std::string_view Pool) {
  const shard_ptr Shard = shardOfPool(Pool);
  if (!Shard)
    return {};
  const std::scoped_lock Lock(Shard->Mutex);
  return Shard->Pool.stats();
}

std::vector<std::string> placer::subset(std::string_view Pool) {
  const shard_ptr Shard = shardOfPool(Pool);
  if (!Shard)
    return {};
  const std::scoped_lock Lock(Shard->Mutex);
  return Shard->Pool.subset();
}

} // namespace clementinelane
