#include "fleet_quota.h"

#include "codec.h"

#include <algorithm>
#include <cmath>

namespace clementinelane {

namespace {

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::string encodeDemand(const demand_report &Report) { return pack(Report); }

result<demand_report> decodeDemand(std::string_view Bytes) {
  return unpack<demand_report>(Bytes, error_kind::RecordCorrupt);
}

std::size_t fleet_quota::vmCount() const {
  return std::max<std::size_t>({1, AssumedVms, Vms.size()});
}

fleet_quota::bucket &fleet_quota::bucketOf(std::string_view Customer,
                                           double Quota, mono_time Now) {
  auto At = Buckets.find(Customer);
  if (At != Buckets.end() && At->second.Quota == Quota)
    return At->second;
  if (At == Buckets.end())
    At = Buckets.emplace(std::string(Customer), bucket{}).first;
  bucket &Bucket = At->second;
  // The first share, and any share after a quota change, is an equal part: what
  // each peer without a report from this VM leaves to it.
  Bucket.Quota = Quota;
  Bucket.Share = Bucket.TargetShare = Quota / static_cast<double>(vmCount());
  Bucket.Level = Bucket.Share * config::QuotaBurstSeconds;
  Bucket.RefilledAt = Now;
  return Bucket;
}

void fleet_quota::refill(bucket &Bucket, mono_time Now) {
  Bucket.Level += Bucket.Share * secondsOf(Now - Bucket.RefilledAt);
  Bucket.Level =
      std::min(Bucket.Level, Bucket.Share * config::QuotaBurstSeconds);
  Bucket.RefilledAt = Now;
}

// Load: a customer that sends more than its quota. Harm prevented: its requests
// take capacity of others before any queue can tell them apart. A request may
// overdraw a full bucket, else one longer than the burst would never pass.
duration fleet_quota::consume(std::string_view Customer, double Quota,
                              double Tokens, mono_time Now) {
  if (Quota <= 0)
    return {};
  bucket &Bucket = bucketOf(Customer, Quota, Now);
  Bucket.Offered += Tokens;
  refill(Bucket, Now);
  const double Needed =
      std::min(Tokens, Bucket.Share * config::QuotaBurstSeconds);
  if (Bucket.Level >= Needed) {
    Bucket.Level -= Tokens;
    return {};
  }
  const std::chrono::duration<double> Wait((Needed - Bucket.Level) /
                                           std::max(Bucket.Share, 1e-6));
  return std::chrono::duration_cast<duration>(
      std::min<std::chrono::duration<double>>(Wait, config::MaxRetryAfter));
}

void fleet_quota::refund(std::string_view Customer, double Tokens) {
  if (const auto At = Buckets.find(Customer); At != Buckets.end())
    At->second.Level += Tokens;
}

void fleet_quota::setVms(std::span<const std::string> NewVms) {
  Vms.assign(NewVms.begin(), NewVms.end());
  AssumedVms = 1;
  std::erase_if(PeerReports, [&](const auto &Each) {
    return std::find(Vms.begin(), Vms.end(), Each.first) == Vms.end();
  });
}

double fleet_quota::targetShare(const std::string &Customer,
                                const bucket &Bucket) const {
  const double Equal = Bucket.Quota / static_cast<double>(vmCount());
  const double MinDemand = config::IdleShareFraction * Equal;
  const double Own = std::max(Bucket.Demand, MinDemand);
  double Sum = Own;
  for (const auto &[Name, Report] : PeerReports) {
    const auto At = Report.TokensPerSecond.find(Customer);
    Sum += std::max(At == Report.TokensPerSecond.end() ? 0.0 : At->second,
                    MinDemand);
  }
  // A peer without a report may be using an equal share.
  const std::size_t UnheardPeers =
      vmCount() - std::min(vmCount(), PeerReports.size() + 1);
  const double Left = Bucket.Quota - Equal * static_cast<double>(UnheardPeers);
  return Left * Own / Sum;
}

// Reports that cross or get lost could leave two VMs each assuming the larger
// share, and the customer above its quota. Each VM computes with the demand
// that it last reported, so that all VMs with the same reports compute the same
// shares. It raises its share one exchange later than it lowers it, after the
// VMs that lose share have been told. A partitioned VM keeps its last view, in
// which its share is one of several that add up to the quota.
demand_report fleet_quota::updateShares(mono_time Now) {
  const double Elapsed = SharesUpdatedAt == mono_time::min()
                             ? secondsOf(config::QuotaExchangeInterval)
                             : std::max(secondsOf(Now - SharesUpdatedAt), 1e-3);
  SharesUpdatedAt = Now;
  demand_report Report{Vm, Incarnation, ++Number, {}};
  const double Weight =
      1 - std::exp(-Elapsed / secondsOf(config::DemandTimeConstant));
  for (auto &[Customer, Bucket] : Buckets) {
    refill(Bucket, Now);
    const double NewTarget = targetShare(Customer, Bucket);
    Bucket.Share =
        std::min(std::exchange(Bucket.TargetShare, NewTarget), NewTarget);
    const double Rate = std::exchange(Bucket.Offered, 0) / Elapsed;
    Bucket.Demand += Weight * (Rate - Bucket.Demand);
    Report.TokensPerSecond[Customer] = Bucket.Demand;
  }
  return Report;
}

void fleet_quota::handleReport(const demand_report &Report) {
  if (Report.Vm == Vm)
    return;
  const auto At = PeerReports.find(Report.Vm);
  // Reports may arrive out of order; a restarted VM counts from one again.
  if (At != PeerReports.end() &&
      std::pair(Report.Incarnation, Report.Number) <=
          std::pair(At->second.Incarnation, At->second.Number))
    return;
  if (!Vms.empty() && std::find(Vms.begin(), Vms.end(), Report.Vm) == Vms.end())
    return;
  PeerReports.insert_or_assign(Report.Vm, Report);
}

double fleet_quota::share(std::string_view Customer) const {
  const auto At = Buckets.find(Customer);
  return At == Buckets.end() ? 0 : At->second.Share;
}

} // namespace clementinelane
