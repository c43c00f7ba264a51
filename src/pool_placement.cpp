#include "pool_placement.h"
#include "pool_placement_p.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace clementinelane {

namespace {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed = 0) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

/// Rendezvous hashing score of a key at an endpoint.
std::uint64_t scoreOf(std::uint64_t Key, std::uint64_t Endpoint) {
  const std::uint64_t KeyAndEndpoint[] = {Key, Endpoint};
  return XXH3_64bits(KeyAndEndpoint, sizeof(KeyAndEndpoint));
}

} // namespace

bool pool_placement::hasEndpoint(std::string_view Endpoint) const {
  return ByName.contains(std::string(Endpoint));
}

endpoint_state *pool_placement::find(std::string_view Endpoint) {
  const auto At = ByName.find(std::string(Endpoint));
  return At == ByName.end() ? nullptr : &Endpoints[At->second];
}

std::size_t pool_placement::findOrAddEndpoint(const endpoint_spec &Spec,
                                              mono_time Now) {
  if (const auto At = ByName.find(Spec.Name); At != ByName.end())
    return At->second;
  const auto Free = std::find_if(Endpoints.begin(), Endpoints.end(),
                                 [](const endpoint_state &Each) {
                                   return Each.IsRemoved && Each.InFlight == 0;
                                 });
  const auto Index = static_cast<std::size_t>(Free - Endpoints.begin());
  if (Free == Endpoints.end())
    Endpoints.emplace_back();
  else
    ByName.erase(Free->Spec.Name);
  Endpoints[Index] = endpoint_state{};
  Endpoints[Index].Hash = hashOf(Spec.Name);
  // Load: a new endpoint has no work and so looks best to every VM at once.
  // Harm prevented: all new work goes to an engine with cold caches.
  if (!Groups.empty())
    Endpoints[Index].SlowStartAt = Now;
  ByName.emplace(Spec.Name, Index);
  return Index;
}

void pool_placement::setEndpoints(std::span<const endpoint_spec *const> Specs,
                                  const vm_topology &Topology, mono_time Now) {
  for (endpoint_state &Each : Endpoints)
    Each.IsRemoved = true;
  std::map<std::string, group> ByDataCentre;
  for (const endpoint_spec *Spec : Specs) {
    const std::size_t Index = findOrAddEndpoint(*Spec, Now);
    Endpoints[Index].Spec = *Spec;
    Endpoints[Index].IsRemoved = false;
    ByDataCentre[Spec->DataCentre].Subset.push_back(Index);
  }
  const auto RegionOf = [&](const std::string &Name) {
    const auto At = Topology.Regions.find(Name);
    return At == Topology.Regions.end() ? std::string() : At->second;
  };
  Groups.clear();
  for (auto &[Name, Group] : ByDataCentre) {
    Group.DataCentre = Name;
    if (Name != DataCentre)
      Group.CostFactor = RegionOf(Name) == RegionOf(DataCentre)
                             ? config::SameRegionCostFactor
                             : config::OtherRegionCostFactor;
    chooseSubset(Group, Topology);
    Groups.push_back(std::move(Group));
  }
  std::stable_sort(Groups.begin(), Groups.end(),
                   [](const group &A, const group &B) {
                     return A.CostFactor < B.CostFactor;
                   });
  CheckedAt = mono_time::min();
}

// Load: 1,100 VMs in front of 5,800 endpoints. Harm prevented: connections and
// load reports for every pair. Each endpoint is in the subsets of the same
// number of VMs, those with the highest rendezvous score, so that all are
// covered evenly and a VM that joins or leaves moves few endpoints. While the
// list of VMs is unknown, this VM takes the endpoints with the highest score
// for itself.
void pool_placement::chooseSubset(group &Group, const vm_topology &Topology) {
  const bool IsLocal = Group.DataCentre == DataCentre;
  const std::size_t Size =
      IsLocal ? config::SubsetSize : config::SpillSubsetSize;
  const auto OwnHash = hashOf(VmName);
  std::vector<std::size_t> &All = Group.Subset;
  for (const std::size_t Index : All)
    Endpoints[Index].InSubset = true;
  if (All.size() <= Size)
    return;
  const auto Score = [&](std::size_t Index) {
    return scoreOf(OwnHash, Endpoints[Index].Hash);
  };
  const auto SubsetsPerEndpoint = static_cast<std::size_t>(
      std::ceil(static_cast<double>(Topology.Vms.size() * Size) /
                static_cast<double>(All.size())));
  std::vector<std::uint64_t> Vms;
  for (const std::string &Vm : Topology.Vms)
    Vms.push_back(hashOf(Vm));
  const auto IsAssigned = [&](std::size_t Index) {
    const std::uint64_t OwnScore = Score(Index);
    const auto HigherCount =
        std::count_if(Vms.begin(), Vms.end(), [&](auto Vm) {
          return scoreOf(Vm, Endpoints[Index].Hash) > OwnScore;
        });
    return static_cast<std::size_t>(HigherCount) < SubsetsPerEndpoint;
  };
  std::sort(All.begin(), All.end(),
            [&](std::size_t A, std::size_t B) { return Score(A) > Score(B); });
  std::size_t Kept = Size;
  if (IsLocal && !Vms.empty()) {
    const auto End = std::stable_partition(All.begin(), All.end(), IsAssigned);
    // Too few assigned by chance: add the next best ones for this VM.
    Kept = std::max<std::size_t>(static_cast<std::size_t>(End - All.begin()),
                                 Size / 2);
  }
  for (std::size_t Index = Kept; Index < All.size(); ++Index)
    Endpoints[All[Index]].InSubset = false;
  All.resize(Kept);
}

bool pool_placement::isEligible(const endpoint_state &Each,
                                const placement_request &Request) {
  return !Each.IsRemoved && !Each.IsLeaving &&
         std::find(Request.Exclude.begin(), Request.Exclude.end(),
                   Each.Spec.Name) == Request.Exclude.end();
}

bool pool_placement::isFull(const endpoint_state &Each, mono_time Now) {
  return static_cast<double>(Each.InFlight) >=
         std::ceil(Each.Limit * slowStartFactor(Each, Now));
}

double pool_placement::utilisation(const group &Group, mono_time Now) const {
  double Used = 0;
  double Limit = 0;
  for (const std::size_t Index : Group.Subset) {
    const endpoint_state &Each = Endpoints[Index];
    if (Each.IsRemoved || Each.IsLeaving || Each.IsEjected)
      continue;
    Used += static_cast<double>(Each.InFlight);
    Limit += Each.Limit * slowStartFactor(Each, Now);
  }
  return Limit > 0 ? Used / Limit : 1;
}

// Load: one data centre at its morning peak while another is idle. Harm
// prevented: callers wait while engines elsewhere idle; or, with a single
// threshold, work and its caches flap between data centres. Spilling starts
// near full utilisation and ends well below it, and each state is held until
// the effect of the last change shows.
void pool_placement::updateSpill(mono_time Now) {
  if (Groups.size() < 2 || Groups.front().DataCentre != DataCentre) {
    IsSpilling = false;
    return;
  }
  if (SpillChangedAt != mono_time::min() &&
      Now - SpillChangedAt < config::MinSpillStateTime)
    return;
  const double Used = utilisation(Groups.front(), Now);
  const bool ShouldSpill = IsSpilling ? Used > config::SpillEndUtilisation
                                      : Used >= config::SpillStartUtilisation;
  if (ShouldSpill == IsSpilling)
    return;
  IsSpilling = ShouldSpill;
  SpillChangedAt = Now;
  ++Stats.SpillChanges;
}

std::size_t pool_placement::findProbeTarget(const placement_request &Request,
                                            mono_time Now) const {
  if (Stats.Ejected == 0 || !Request.MayProbe)
    return None;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
    if (const endpoint_state &Each = Endpoints[Index];
        Each.IsEjected && !Each.IsProbing && Each.InFlight == 0 &&
        Now >= Each.EjectedUntil && isEligible(Each, Request))
      return Index;
  return None;
}

// Load: sessions of different lengths, and prompt prefixes shared by many
// requests. Harm prevented: a cold cache at every turn, or one engine with all
// work of a popular prefix. The recorded endpoint, or else the one with the
// highest rendezvous score, takes the work while its load is within
// AffinityLoadFactor of the mean.
std::size_t pool_placement::findByAffinity(const group &Group,
                                           const placement_request &Request,
                                           mono_time Now) const {
  double Total = 0;
  double Count = 0;
  for (const std::size_t Index : Group.Subset)
    if (const endpoint_state &Each = Endpoints[Index];
        !Each.IsEjected && isEligible(Each, Request)) {
      Total += load(Each, Now);
      ++Count;
    }
  if (Count == 0)
    return None;
  const double Bound =
      std::ceil(config::AffinityLoadFactor * (Total + 1) / Count);
  const auto IsWithinBound = [&](std::size_t Index) {
    const endpoint_state &Each = Endpoints[Index];
    return !Each.IsEjected && isEligible(Each, Request) &&
           load(Each, Now) + 1 <= Bound;
  };
  const std::uint64_t Key = hashOf(Request.Affinity);
  if (const auto Entry = AffinityIndex.find(Key);
      Entry != AffinityIndex.end() && IsWithinBound(Entry->second->second))
    return Entry->second->second;
  std::size_t Best = None;
  std::uint64_t BestScore = 0;
  for (const std::size_t Index : Group.Subset)
    if (const std::uint64_t Score = scoreOf(Key, Endpoints[Index].Hash);
        IsWithinBound(Index) && (Best == None || Score > BestScore)) {
      Best = Index;
      BestScore = Score;
    }
  return Best;
}

// Load: many VMs with stale load data on the same endpoints. Harm prevented: a
// thundering herd on the endpoint that was the least loaded a moment ago. The
// best of a few random endpoints is near the best of all, and differs between
// VMs.
pool_placement::choice
pool_placement::chooseInGroup(const group &Group,
                              const placement_request &Request,
                              std::mt19937_64 &Random, mono_time Now) const {
  choice Chosen{None, None};
  std::pair<bool, double> Lowest;
  std::pair<bool, double> Second;
  const auto Consider = [&](std::size_t Index) {
    const endpoint_state &Each = Endpoints[Index];
    if (Index == Chosen.Endpoint || Index == Chosen.RunnerUp ||
        Each.IsEjected || !isEligible(Each, Request))
      return;
    const std::pair Rank(isFull(Each, Now), cost(Each, Now));
    if (Chosen.Endpoint == None || Rank < Lowest) {
      Chosen.RunnerUp = std::exchange(Chosen.Endpoint, Index);
      Second = std::exchange(Lowest, Rank);
    } else if (Chosen.RunnerUp == None || Rank < Second) {
      Chosen.RunnerUp = Index;
      Second = Rank;
    }
  };
  if (Group.Subset.empty())
    return Chosen;
  std::uniform_int_distribution<std::size_t> Any(0, Group.Subset.size() - 1);
  const bool IsSmall = Group.Subset.size() <= config::ChoiceCount;
  for (unsigned Try = 0; Try < config::ChoiceCount && !IsSmall; ++Try)
    Consider(Group.Subset[Any(Random)]);
  // None of the sampled endpoints is eligible, or all are full: compare every
  // one.
  if (Chosen.Endpoint == None || Lowest.first)
    for (const std::size_t Index : Group.Subset)
      Consider(Index);
  return Chosen;
}

/// Last resort: also considers endpoints outside the subset and ejected ones,
/// but never leaving ones.
std::size_t pool_placement::chooseAnywhere(const placement_request &Request,
                                           mono_time Now) const {
  std::size_t Best = None;
  double Lowest = 0;
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const endpoint_state &Each = Endpoints[Index];
    if (!isEligible(Each, Request) ||
        (!Request.RequiredEndpoint.empty() &&
         Request.RequiredEndpoint != Each.Spec.Name))
      continue;
    const double Cost = cost(Each, Now) * (Each.IsEjected ? 1e6 : 1);
    if (Best == None || Cost < Lowest) {
      Best = Index;
      Lowest = Cost;
    }
  }
  return Best;
}

pool_placement::choice
pool_placement::chooseAcrossGroups(const placement_request &Request,
                                   std::mt19937_64 &Random, mono_time Now,
                                   std::string_view &Reason) const {
  choice Best{None, None};
  std::pair<bool, double> Lowest;
  for (const group &Group : Groups) {
    const bool IsRemote = Group.DataCentre != DataCentre;
    // Other data centres are used only while spilling, or when no nearer one
    // has an eligible endpoint.
    if (IsRemote && !IsSpilling && Best.Endpoint != None)
      break;
    const choice Candidate = chooseInGroup(Group, Request, Random, Now);
    if (Candidate.Endpoint == None)
      continue;
    const endpoint_state &Each = Endpoints[Candidate.Endpoint];
    const std::pair Rank(isFull(Each, Now), cost(Each, Now) * Group.CostFactor);
    if (Best.Endpoint != None && Rank >= Lowest)
      continue;
    Best = Best.Endpoint == None ? Candidate
                                 : choice{Candidate.Endpoint, Best.Endpoint};
    Lowest = Rank;
    Reason = !IsRemote ? "local_choice" : IsSpilling ? "spill" : "remote_only";
  }
  return Best;
}

result<placement> pool_placement::place(const placement_request &Request,
                                        std::mt19937_64 &Random,
                                        mono_time Now) {
  runPeriodicChecks(Now);
  if (!Request.RequiredEndpoint.empty()) {
    const std::size_t Index = chooseAnywhere(Request, Now);
    if (Index == None)
      return error_kind::NoEndpoint;
    return startAttempt(Index, "only", None, Request, Now);
  }
  if (const std::size_t Index = findProbeTarget(Request, Now); Index != None) {
    Endpoints[Index].IsProbing = true;
    ++Stats.Probes;
    return startAttempt(Index, "probe", None, Request, Now);
  }
  if (!Request.Affinity.empty() && !Groups.empty())
    if (const std::size_t Index = findByAffinity(Groups.front(), Request, Now);
        Index != None && !(IsSpilling && isFull(Endpoints[Index], Now))) {
      ++Stats.AffinityHits;
      return startAttempt(Index, "affinity", None, Request, Now);
    }
  std::string_view Reason;
  const choice Chosen = chooseAcrossGroups(Request, Random, Now, Reason);
  if (Chosen.Endpoint != None)
    return startAttempt(Chosen.Endpoint, Reason, Chosen.RunnerUp, Request, Now);
  const std::size_t Index = chooseAnywhere(Request, Now);
  if (Index == None)
    return error_kind::NoEndpoint;
  return startAttempt(Index, "last_resort", None, Request, Now);
}

placement pool_placement::startAttempt(std::size_t Index,
                                       std::string_view Reason,
                                       std::size_t RunnerUp,
                                       const placement_request &Request,
                                       mono_time Now) {
  endpoint_state &Each = Endpoints[Index];
  ++Stats.Placed;
  if (Each.Spec.DataCentre != DataCentre)
    ++Stats.Spilled;
  ++Each.InFlight;
  Each.TokensInFlight += std::max(1.0, static_cast<double>(Request.Tokens));
  Each.StartTimeSum += secondsOf(Now);
  recordInFlight(Each, Now);
  if (!Request.Affinity.empty())
    recordAffinity(Request.Affinity, Index);
  return {Each.Spec, std::string(Reason),
          RunnerUp == None ? "" : Endpoints[RunnerUp].Spec.Name};
}

void pool_placement::recordInFlight(endpoint_state &Each, mono_time Now) {
  Each.InFlightHistory.push_back({Now, Each.InFlight});
  if (Each.InFlightHistory.size() > config::LoadHistorySize)
    Each.InFlightHistory.pop_front();
}

void pool_placement::recordAffinity(std::string_view Affinity,
                                    std::size_t Index) {
  const std::uint64_t Key = hashOf(Affinity);
  if (const auto Entry = AffinityIndex.find(Key);
      Entry != AffinityIndex.end()) {
    Entry->second->second = Index;
    AffinityLru.splice(AffinityLru.begin(), AffinityLru, Entry->second);
    return;
  }
  AffinityLru.emplace_front(Key, Index);
  AffinityIndex.emplace(Key, AffinityLru.begin());
  if (AffinityLru.size() <= config::MaxAffinityEntries)
    return;
  AffinityIndex.erase(AffinityLru.back().first);
  AffinityLru.pop_back();
}

void pool_placement::setLeaving(std::string_view Endpoint, bool IsLeaving) {
  if (endpoint_state *Each = find(Endpoint))
    Each->IsLeaving = IsLeaving;
}

void pool_placement::updatePrefixAffinity(std::string_view Endpoint,
                                          std::string_view Affinity,
                                          bool IsCached) {
  const auto At = ByName.find(std::string(Endpoint));
  if (At == ByName.end())
    return;
  if (IsCached)
    return recordAffinity(Affinity, At->second);
  const auto Entry = AffinityIndex.find(hashOf(Affinity));
  if (Entry == AffinityIndex.end() || Entry->second->second != At->second)
    return;
  AffinityLru.erase(Entry->second);
  AffinityIndex.erase(Entry);
}

std::vector<std::string> pool_placement::subset() const {
  std::vector<std::string> Names;
  for (const group &Group : Groups)
    for (const std::size_t Index : Group.Subset)
      Names.push_back(Endpoints[Index].Spec.Name);
  return Names;
}

} // namespace clementinelane
