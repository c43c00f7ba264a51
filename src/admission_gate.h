#pragma once

#include "clock.h"
#include "return_schedule.h"
#include "routed_call.h"
#include "service_shares.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace clementinelane {

struct gate_request {
  share_key Key;
  std::uint64_t Request = 0; ///< requestDigest()
  duration TargetLatency{};
  duration LongestReturn{}; ///< the longest Retry-After that its caller honours
  bool IsFull = true;       ///< hardly any slot of the service is free
};

enum class gate_action : std::uint8_t {
  Send,
  Wait,  ///< then send; its share is reserved
  Refuse ///< not run
};

struct gate_decision {
  gate_action Action = gate_action::Send;
  duration Time{}; ///< the wait, or Retry-After
  std::string_view Rule;
  double AdmittedPart = 1;
};

/// `LongestReturn`: see gate_request.
gate_request gateRequestOf(const routed_call &Call, unsigned Priority,
                           duration LongestReturn);

/// Decides for each arriving request of a customer whether it is sent. Does no
/// I/O.
///
/// Load: requests of several customers beyond the capacity of a service. Harm
/// prevented: a request that would be rejected anyway is tried at several
/// endpoints first, and its caller learns late when to come back. Callers who
/// return when they were told to go first; whoever returns earlier has no
/// advantage.
class admission_gate {
public:
  admission_gate(service_shares &Shares, return_schedule &Returns)
      : Shares(Shares), Returns(Returns) {}

  /// Off: everything is sent.
  void setEnabled(bool Value) { IsEnabled = Value; }
  /// Called once for each request.
  gate_decision offer(const gate_request &Request, mono_time Now);
  /// Retry-After for a request that endpoints rejected.
  duration planReturn(const gate_request &Request, mono_time Now);
  /// Whether the request may be held back.
  bool isHolding(const gate_request &Request, mono_time Now) const;
  service_shares &shares() { return Shares; }

private:
  struct wait {
    share_key Key;
    mono_time End;
  };
  gate_decision decide(const gate_request &Request, mono_time Now);
  /// Until when the request waits for its share; none if it can't.
  std::optional<mono_time> reserveWait(const gate_request &Request,
                                       mono_time Now);

  service_shares &Shares;
  return_schedule &Returns;
  std::vector<wait> Waits;
  bool IsEnabled = true;
};

} // namespace clementinelane
