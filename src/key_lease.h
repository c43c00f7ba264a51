#pragma once

#include "clock.h"

namespace clementinelane {

/// Limits how long customers' keys are accepted without a fresh read of the
/// configuration.
///
/// Failure: a VM that is partitioned or was suspended still accepts a key that
/// has been revoked, and the request runs. The lease starts when the confirming
/// read was *sent*, since its result may be as old as that, and uses a clock
/// that also runs while the machine is suspended. So no key is accepted for
/// longer than the term after the last confirming read.
class key_lease {
public:
  explicit key_lease(duration Term) : Term(Term) {}

  void setTerm(duration Value) { Term = Value; }
  /// A read sent at `SentAt` confirmed the configuration in use.
  void renew(mono_time SentAt) {
    if (!IsKnown || SentAt > RenewedAt)
      RenewedAt = SentAt;
    IsKnown = true;
  }
  bool isValid(mono_time Now) const {
    return IsKnown && Now - RenewedAt < Term;
  }
  /// Time since the last confirming read was sent.
  duration age(mono_time Now) const {
    return IsKnown ? Now - RenewedAt : duration::max();
  }

private:
  duration Term;
  mono_time RenewedAt{};
  bool IsKnown = false;
};

} // namespace clementinelane
