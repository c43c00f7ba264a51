#pragma once

#include "clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// Decides whether a failed request may be retried.
enum class call_kind : std::uint8_t {
  Idempotent,
  NonIdempotent,
  Streaming ///< retryable only if the route is resumable
};

/// One service of a route and its weight in the traffic split.
struct service_share {
  std::string Service;
  double Weight = 1;
};

/// One route: match criteria, target services and latency targets.
struct route_rule {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< starts and ends with a slash
  call_kind Kind = call_kind::NonIdempotent;
  std::chrono::milliseconds Timeout{30'000}; ///< for the whole response
  std::chrono::milliseconds TargetLatency{1'000};
  std::chrono::milliseconds TargetGap{
      1'000};            ///< between two events of a stream
  unsigned Priority = 0; ///< 0 is the most urgent
  std::vector<std::string>
      Models; ///< smallest first; empty: chosen by the caller
  std::vector<service_share> Services;
  unsigned MaxAttempts = 1; ///< including the first
  bool IsPublic = false;    ///< no customer key required
  bool IsSticky = false;    ///< requests share prompt prefixes
  bool IsResumable = false;
  std::vector<std::string> Regions; ///< where it may run; empty: anywhere

  /// Whether running the request twice is harmless.
  bool isRetryable() const {
    return Kind == call_kind::Idempotent ||
           (Kind == call_kind::Streaming && IsResumable);
  }
};

/// A model that an engine serves, and its price.
struct model_price {
  std::string Name;
  double CostPerThousandTokens = 0; ///< 0: not configured
};

/// Target service of routes; `Slots` is 0 for a plain service.
struct service_rule {
  std::string Name;
  std::uint64_t MaxConnections = 0; ///< per endpoint, from all VMs; 0: unknown
  unsigned Slots = 0;               ///< maximum batch size of an engine
  std::uint64_t KvTokens = 0;       ///< KV cache capacity of an engine
  std::vector<model_price> Models;
  std::chrono::milliseconds ColdTime{
      0}; ///< an endpoint is cold for this long after its start
  double ColdRequestsPerSecond = 0; ///< rate limit while cold; 0: none
};

/// Limits for callers' connections and requests.
struct caller_limits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  std::chrono::milliseconds HeaderTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

struct customer_rule {
  std::string Name;
  std::optional<unsigned> Priority; ///< overrides the route's
  std::vector<std::string> Regions; ///< where it may run; empty: anywhere
};

/// One version of the configuration, immutable once built.
struct route_table {
  std::uint64_t Version = 0;
  std::vector<route_rule> Routes;
  std::unordered_map<std::string, service_rule> Services;
  caller_limits Limits;
  bool HasCustomers = false;
  std::unordered_map<std::string, customer_rule> CustomerByKey;

  /// Cost of 1000 tokens of a model, if configured.
  std::optional<double> priceOf(std::string_view Service,
                                std::string_view Model) const;
  /// The route of `Host` with the longest matching path prefix, or null.
  const route_rule *find(std::string_view Host, std::string_view Path) const;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view Target);

/// The service of `Route` for a session hash. The same hash gets the same
/// service as long as the weights don't change.
std::string_view serviceFor(const route_rule &Route, std::uint64_t Hash);

} // namespace clementinelane
