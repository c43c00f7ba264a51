#pragma once

#include "routed_call.h"
#include "version_shift.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Decoded events of the platform; all called on the router's thread.
class platform_events {
public:
  virtual ~platform_events() = default;
  /// A configuration was read; the router ignores versions that aren't newer.
  virtual void onRoutes(route_table_ptr Table) = 0;
  /// A read sent at `SentAt` confirmed that the configuration in use is the
  /// newest.
  virtual void onRoutesConfirmed(mono_time SentAt) = 0;
  virtual void onEndpoint(std::string_view Id,
                          std::optional<endpoint_info> Info) = 0;
  virtual void onEndpointList(std::vector<endpoint_info> Infos) = 0;
  virtual void onEndpointListReachable(bool IsReachable) = 0;
  /// The complete set of data centres that the operator has evacuated.
  virtual void onEvacuations(std::set<std::string, std::less<>> Ordered) = 0;
  /// `ReadAt` is the same time on all routers, up to the network delay.
  virtual void onRolloutOrder(const rollout_order &Order, mono_time ReadAt) = 0;
  virtual void onRolloutStatus(std::string_view Service,
                               std::string_view Target,
                               rollout_state State) = 0;
  /// All statuses that were in the store at `SentAt` have been delivered.
  virtual void onRolloutStatusesRead(mono_time SentAt) = 0;
  /// A report that some router, maybe this one, wrote with appendReport().
  /// Returns false if it can't be read.
  virtual bool onReport(std::string_view Bytes) = 0;
  /// All reports that were in the store at `SentAt` have been delivered.
  virtual void onReportsRead(mono_time SentAt) = 0;
  /// An entry written with storeQuarantine(); none if it was deleted. Returns
  /// false if it can't be read.
  virtual bool onQuarantine(std::string_view Key,
                            std::optional<std::string_view> Bytes) = 0;
  /// Addresses of all registered routers.
  virtual void onPeers(const std::vector<std::string> &Addresses) = 0;
  /// The store has gone back to an older copy, in a new era: what was read and
  /// written since that copy may be missing until it is written again. All
  /// topics are listed anew after this call.
  virtual void onStoreEra(std::uint64_t Era) = 0;
  /// A record of the store couldn't be read; for metrics.
  virtual void onRecordDropped(std::string_view Topic,
                               std::string_view Reason) = 0;
  /// A call to the store finished; for metrics.
  virtual void onStoreCall(std::string_view Call, bool IsOk) = 0;
};

/// A configuration as the store has it.
struct kept_configuration {
  std::uint64_t Version = 0; ///< 0: none
  std::string Content;
};

/// Interface to the platform; hides its names, formats and calls from the
/// router.
class platform_port {
public:
  virtual ~platform_port() = default;
  virtual void start(platform_events &Events) = 0;
  virtual void stop() = 0;
  /// Watches reports and statuses, polling more often if `IsUrgent`; only
  /// needed during a roll-out.
  virtual void watchRollouts(bool IsWanted, bool IsUrgent) = 0;
  virtual void appendReport(std::string_view Vm, std::string_view Bytes) = 0;
  /// Watches the quarantine while `IsWanted`; it is read once at start in any
  /// case.
  virtual void watchQuarantine(bool IsWanted) = 0;
  /// Stores `Bytes` under `Key` for all routers; empty `Bytes` deletes the
  /// entry.
  virtual void storeQuarantine(std::string_view Key,
                               std::string_view Bytes) = 0;
  /// Registers this router and reads, once, the list of registered routers.
  virtual void registerPeer(std::string_view Vm, std::string_view Address) = 0;
  /// The newest configuration that was read in any era of the store.
  virtual const kept_configuration &newestConfiguration() const = 0;
  /// Reports a configuration that a peer has read from the store.
  virtual void takeConfiguration(std::string_view Content) = 0;
  /// Writes a status unless another one was written meanwhile.
  virtual void writeStatus(std::string_view Service, std::string_view Target,
                           rollout_state State) = 0;

  virtual call_metadata decodeCall(const http_head &Head) const = 0;
  virtual endpoint_response decodeAnswer(const http_head &Head) const = 0;
  /// Whether an endpoint's response belongs to the call with this id.
  virtual bool isResponseTo(const http_head &Head,
                            std::string_view Id) const = 0;
  /// The serialized head of an attempt; the body follows from the call.
  virtual std::string encodeAttempt(const routed_call &Call,
                                    const attempt_spec &Spec) const = 0;
  virtual std::string_view readinessPath() const = 0;
};

} // namespace clementinelane
