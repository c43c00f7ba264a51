#include "pool_placement.h"
#include "pool_placement_p.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

/// Refused and cancelled attempts carry no information on the endpoint's
/// health.
bool isInconclusive(attempt_outcome Outcome) {
  return Outcome == attempt_outcome::Refused ||
         Outcome == attempt_outcome::Cancelled;
}

/// With fewer endpoints, the median doesn't show which one is slow.
constexpr std::size_t MinMedianEndpoints = 3;
/// Lower bound that keeps products of times and loads above zero.
constexpr double Epsilon = 1e-9;

} // namespace

double pool_placement::slowStartFactor(const endpoint_state &Each,
                                       mono_time Now) {
  if (Each.SlowStartAt == mono_time::min())
    return 1;
  const double Part =
      secondsOf(Now - Each.SlowStartAt) / secondsOf(config::SlowStartTime);
  return std::clamp(Part, config::SlowStartMinShare, 1.0);
}

double pool_placement::load(const endpoint_state &Each, mono_time Now) {
  const bool IsFresh = Now - Each.ReportedAt <= config::LoadReportMaxAge;
  return static_cast<double>(Each.InFlight) +
         (IsFresh ? Each.OtherVmsInFlight : 0);
}

// Load: an endpoint that becomes slow with work on it. Harm prevented: it looks
// as fast as before until its next answer arrives. The age of the attempts in
// flight is a lower bound on latency that grows without any answer.
double pool_placement::secondsPerToken(const endpoint_state &Each,
                                       mono_time Now) const {
  const double KnownLatency = Each.Latency > 0 ? Each.Latency : MedianLatency;
  if (Each.InFlight == 0)
    return std::max(KnownLatency, Epsilon);
  const double TotalAge =
      static_cast<double>(Each.InFlight) * secondsOf(Now) - Each.StartTimeSum;
  return std::max(
      {KnownLatency, TotalAge / (Each.TokensInFlight * ActualRatio), Epsilon});
}

// Load: endpoints of different speed and requests of different size. Harm
// prevented: equal request counts on an endpoint that processes them slowly.
// Consecutive failures raise the cost too, since an endpoint that fails fast is
// always the least loaded.
double pool_placement::cost(const endpoint_state &Each, mono_time Now) const {
  const double FailurePenalty = 1 + 4.0 * Each.ConsecutiveFailures;
  return secondsPerToken(Each, Now) * (load(Each, Now) + 1) * FailurePenalty /
         slowStartFactor(Each, Now);
}

double pool_placement::medianLatency() const {
  std::vector<double> Latencies;
  for (const group &Group : Groups)
    for (const std::size_t Index : Group.Subset)
      if (Endpoints[Index].Latency > 0 && !Endpoints[Index].IsRemoved)
        Latencies.push_back(Endpoints[Index].Latency);
  if (Latencies.size() < MinMedianEndpoints)
    return 0;
  const auto Middle =
      Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  return *Middle;
}

void pool_placement::runPeriodicChecks(mono_time Now) {
  if (CheckedAt != mono_time::min() &&
      Now - CheckedAt < config::PlacementCheckInterval)
    return;
  CheckedAt = Now;
  MedianLatency = medianLatency();
  updateSpill(Now);
  for (endpoint_state &Each : Endpoints)
    if (!Each.IsRemoved && !Each.IsEjected && Each.InFlight > 0 &&
        MedianLatency > 0 &&
        secondsPerToken(Each, Now) > config::SlowEjectionFactor * MedianLatency)
      eject(Each, Now);
}

// Limits the ejected fraction of a pool. If a fault is common to all endpoints
// or lies in this VM, each ejection adds load to the rest until none is left;
// this shows as consecutive ejections within one pool.
bool pool_placement::mayEject() const {
  std::size_t Present = 0;
  std::size_t Ejected = 0;
  for (const endpoint_state &Each : Endpoints) {
    if (Each.IsRemoved || Each.IsLeaving || !Each.InSubset)
      continue;
    ++Present;
    Ejected += Each.IsEjected ? 1 : 0;
  }
  return static_cast<double>(Ejected + 1) <=
         config::MaxEjectedFraction * static_cast<double>(Present);
}

void pool_placement::eject(endpoint_state &Each, mono_time Now) {
  if (!Each.IsEjected && !mayEject()) {
    ++Stats.EjectionsSuppressed;
    return;
  }
  if (!Each.IsEjected)
    ++Stats.Ejected;
  Each.IsEjected = true;
  Each.IsProbing = false;
  ++Stats.Ejections;
  const auto Factor = 1U << std::min(Each.Ejections, 6U);
  ++Each.Ejections;
  Each.EjectedUntil =
      Now + std::min<duration>(config::BaseEjectionTime * Factor,
                               config::MaxEjectionTime);
}

void pool_placement::finished(std::string_view Endpoint, std::uint64_t Tokens,
                              attempt_outcome Outcome, duration Took,
                              mono_time Now, std::uint64_t Actual) {
  endpoint_state *Each = find(Endpoint);
  if (!Each || Each->InFlight == 0)
    return;
  const double EstimatedTokens = std::max(1.0, static_cast<double>(Tokens));
  const bool IsAnswered = Outcome == attempt_outcome::Answered;
  const double ActualTokens = IsAnswered && Actual > 0
                                  ? static_cast<double>(Actual)
                                  : EstimatedTokens * ActualRatio;
  const double Sample = secondsOf(Took) / ActualTokens;
  const auto InFlightBefore = static_cast<double>(Each->InFlight);
  --Each->InFlight;
  Each->TokensInFlight = std::max(0.0, Each->TokensInFlight - EstimatedTokens);
  Each->StartTimeSum -= secondsOf(Now - Took);
  if (Each->InFlight == 0)
    Each->TokensInFlight = Each->StartTimeSum = 0;
  recordInFlight(*Each, Now);
  if (Each->IsProbing)
    return handleProbeResult(*Each, Outcome, Sample, Now);
  // An attempt that ended without an answer gives a lower bound on latency.
  if (IsAnswered || Sample > Each->Latency)
    updateLatency(*Each, Sample);
  if (IsAnswered) {
    updateEstimates(ActualTokens / EstimatedTokens,
                    secondsOf(Took) / EstimatedTokens);
    updateLimit(*Each, InFlightBefore);
  }
  updateHealth(*Each, Outcome, Now);
}

void pool_placement::updateLatency(endpoint_state &Each, double Sample) {
  ++Each.Samples;
  // The first few answers are averaged with equal weight.
  const double Weight = std::max(config::LatencyWeight, 1.0 / Each.Samples);
  Each.Latency += Weight * (Sample - Each.Latency);
  ++PoolSamples;
  PoolLatency += std::max(config::PoolLatencyWeight, 1.0 / PoolSamples) *
                 (Sample - PoolLatency);
  if (PoolSamples < config::MinPoolSamples)
    return;
  if (BestPoolLatency == 0 || PoolLatency < BestPoolLatency)
    BestPoolLatency = PoolLatency;
  else
    BestPoolLatency +=
        config::BestLatencyDrift * (PoolLatency - BestPoolLatency);
}

/// Tracks the ratio of actual to estimated tokens, and the time per estimated
/// token.
void pool_placement::updateEstimates(double TokenRatio,
                                     double SecondsPerToken) {
  const double Weight = std::max(config::PoolLatencyWeight, 1.0 / PoolSamples);
  ActualRatio += Weight * (TokenRatio - ActualRatio);
  PoolSecondsPerToken += Weight * (SecondsPerToken - PoolSecondsPerToken);
}

// Load: engines of unknown capacity shared by several VMs. Harm prevented: a
// queue inside the engine, where requests can't be refused, ordered or
// cancelled. Additive increase while the limit is in use and latency stays near
// its best, multiplicative decrease otherwise. The pool's latency decides,
// since the answers of one endpoint are too few and too varied to show a
// difference of a tenth; an endpoint's own latency counts only if it is far
// from the others'.
void pool_placement::updateLimit(endpoint_state &Each,
                                 double InFlightBefore) const {
  const bool IsPoolSlow =
      BestPoolLatency > 0 &&
      PoolLatency > config::LatencyTolerance * BestPoolLatency;
  const bool IsOutlier =
      MedianLatency > 0 &&
      Each.Latency > config::OutlierTolerance * MedianLatency;
  if (IsPoolSlow || IsOutlier)
    Each.Limit *= 1 - config::LimitDecrease;
  else if (InFlightBefore >= config::LimitInUseFraction * Each.Limit)
    Each.Limit += config::LimitIncrease / std::max(1.0, Each.Limit);
  Each.Limit = std::clamp(Each.Limit, config::MinLimit, config::MaxLimit);
}

void pool_placement::updateHealth(endpoint_state &Each, attempt_outcome Outcome,
                                  mono_time Now) {
  if (Each.IsEjected)
    return;
  if (Outcome == attempt_outcome::Answered) {
    Each.ConsecutiveFailures = 0;
    if (MedianLatency > 0 && Each.Samples >= config::MinSlowSamples &&
        Each.Latency > config::SlowEjectionFactor * MedianLatency)
      eject(Each, Now);
    return;
  }
  if (isInconclusive(Outcome))
    return;
  if (++Each.ConsecutiveFailures >= config::ConsecutiveFailuresToEject)
    eject(Each, Now);
}

void pool_placement::handleProbeResult(endpoint_state &Each,
                                       attempt_outcome Outcome, double Sample,
                                       mono_time Now) {
  Each.IsProbing = false;
  // An inconclusive probe changes nothing; a later attempt probes again.
  if (isInconclusive(Outcome))
    return;
  const bool IsGood = Outcome == attempt_outcome::Answered &&
                      (MedianLatency == 0 ||
                       Sample <= config::SlowEjectionFactor * MedianLatency);
  if (!IsGood)
    return eject(Each, Now);
  Each.IsEjected = false;
  --Stats.Ejected;
  Each.Ejections = 0;
  Each.ConsecutiveFailures = 0;
  Each.Samples = 0;
  Each.Latency = 0;
  Each.SlowStartAt = Now;
}

// Corrects delayed load reports. Attempts that this VM sent since, or already
// has on the endpoint, would be missed or counted twice, and VMs would herd to
// an endpoint that only seems idle. This VM's attempts in flight at the time of
// the report are subtracted from it; the current ones are counted separately.
void pool_placement::reportLoad(std::string_view Endpoint,
                                std::uint64_t Running, mono_time MeasuredAt) {
  endpoint_state *Each = find(Endpoint);
  if (!Each || MeasuredAt < Each->ReportedAt)
    return;
  std::uint64_t OwnInFlight = 0;
  for (const endpoint_state::sample &Sample : Each->InFlightHistory)
    if (Sample.At <= MeasuredAt)
      OwnInFlight = Sample.InFlight;
  Each->ReportedAt = MeasuredAt;
  Each->OtherVmsInFlight =
      Running > OwnInFlight ? static_cast<double>(Running - OwnInFlight) : 0;
}

// Load: a pool shared by many VMs. Harm prevented: requests queue in the
// engines instead of here. The capacity for this VM is the sum of its limits;
// other data centres count while spilling, or when nearer ones have none.
pool_capacity pool_placement::capacity(mono_time Now) const {
  pool_capacity Capacity;
  for (const group &Group : Groups) {
    const bool IsRemote = Group.DataCentre != DataCentre;
    if (IsRemote && !IsSpilling && Capacity.Concurrency > 0)
      break;
    for (const std::size_t Index : Group.Subset) {
      const endpoint_state &Each = Endpoints[Index];
      if (Each.IsRemoved || Each.IsLeaving || Each.IsEjected)
        continue;
      Capacity.Concurrency += Each.Limit * slowStartFactor(Each, Now);
    }
  }
  if (PoolSecondsPerToken > 0)
    Capacity.SecondsPerToken = std::max(PoolSecondsPerToken, Epsilon);
  return Capacity;
}

} // namespace clementinelane
