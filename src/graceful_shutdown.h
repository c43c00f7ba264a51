#pragma once

#include "clock.h"
#include "config.h"

#include <cstddef>
#include <cstdint>

namespace clementinelane {

/// Phase of a graceful shutdown.
enum class stop_phase : std::uint8_t {
  Serving,
  NotReady, ///< fails readiness probes, still accepts requests
  Refusing, ///< refuses new requests, completes open ones
  Ended,    ///< no open requests and no new ones
  Forced    ///< ended with open requests: second signal or timeout
};

struct stop_limits {
  duration Grace = config::StopGrace;
  duration QuietPeriod = config::StopQuietPeriod;
  duration Timeout = config::StopTimeout;
};

/// State machine of a graceful shutdown that interrupts no request, without
/// I/O.
///
/// Load: a VM under full traffic is replaced, and the balancer learns of it
/// only by its next probe. Harm prevented: requests are refused, or their
/// connections closed, before the balancer stops sending; a connection is
/// closed on a request that has just arrived; shutdown waits forever for a
/// request that never ends. Hence the grace period before the first refusal,
/// the quiet period after the last request, and the timeout of the whole.
class graceful_shutdown {
public:
  explicit graceful_shutdown(stop_limits Limits = {}) : Limits(Limits) {}

  /// Starts the shutdown; a second call forces it.
  void requestStop(mono_time Now);
  /// A request arrived, whether accepted or refused.
  void onRequest(mono_time Now) { LastRequest = Now; }
  /// Updates the phase; `Open` is the number of open requests.
  void advance(std::size_t Open, mono_time Now);

  stop_phase phase() const { return Phase; }

private:
  stop_limits Limits;
  stop_phase Phase = stop_phase::Serving;
  mono_time AskedAt{};
  mono_time LastRequest{};
};

} // namespace clementinelane
