#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "config.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// The recent demand of the customers at one VM.
struct demand_report {
  std::string Vm;
  std::uint64_t Incarnation = 0; ///< of the VM's process
  std::uint64_t Number = 0;      ///< sequence number of the report
  std::map<std::string, double> TokensPerSecond; ///< by customer
  MSGPACK_DEFINE_MAP(Vm, Incarnation, Number, TokensPerSecond)
};

std::string encodeDemand(const demand_report &Report);
result<demand_report> decodeDemand(std::string_view Bytes);

/// Splits the customers' quotas over the entry VMs by demand and enforces this
/// VM's share by token buckets. Does no I/O; the caller exchanges the reports
/// with the peers.
class fleet_quota {
public:
  fleet_quota(std::string Vm, std::uint64_t Incarnation, std::size_t AssumedVms)
      : Vm(std::move(Vm)), Incarnation(Incarnation), AssumedVms(AssumedVms) {}

  /// Consumes tokens of the customer's share and returns zero, or returns the
  /// time until enough tokens are available.
  duration consume(std::string_view Customer, double Quota, double Tokens,
                   mono_time Now);
  /// Returns the tokens consumed for a request that did not run.
  void refund(std::string_view Customer, double Tokens);

  /// Sets the VMs of the system, this one included, as membership reports them.
  void setVms(std::span<const std::string> Vms);
  /// Ends an interval: updates the shares and returns the report for the peers.
  demand_report updateShares(mono_time Now);
  void handleReport(const demand_report &Report);

  /// Tokens per second that this VM may admit now.
  double share(std::string_view Customer) const;

private:
  struct bucket {
    double Quota = 0;
    double Offered = 0; ///< tokens requested in this interval
    double Demand = 0;  ///< tokens per second, smoothed, as last reported
    double TargetShare = 0;
    double Share = 0; ///< tokens per second, in use
    double Level = 0; ///< tokens available; negative if overdrawn
    mono_time RefilledAt{};
  };

  bucket &bucketOf(std::string_view Customer, double Quota, mono_time Now);
  double targetShare(const std::string &Customer, const bucket &Bucket) const;
  std::size_t vmCount() const;
  static void refill(bucket &Bucket, mono_time Now);

  std::string Vm;
  std::uint64_t Incarnation;
  std::size_t AssumedVms; ///< until setVms() is called
  std::vector<std::string> Vms;
  std::uint64_t Number = 0;
  mono_time SharesUpdatedAt = mono_time::min();
  std::map<std::string, bucket, std::less<>> Buckets;
  std::map<std::string, demand_report, std::less<>> PeerReports;
};

} // namespace clementinelane
