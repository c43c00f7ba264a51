#pragma once

#include "clock.h"
#include "config.h"

#include <atomic>

namespace clementinelane {

/// Timeouts of an exchange with an endpoint without progress.
struct progress_timeouts {
  duration FirstToken = config::FirstTokenTimeout;
  duration BetweenTokens = config::InterTokenTimeout;
  duration AtMostOnce = config::AtMostOnceTimeout;
};

/// Watchdog for the progress of one exchange. Progress is tokens, not bytes:
/// otherwise an endpoint or an intermediary that sends only comments or partial
/// events as keep-alive could hold a caller indefinitely.
class progress_watchdog {
public:
  progress_watchdog(duration FirstToken, duration BetweenTokens, mono_time Now)
      : BetweenTokens(BetweenTokens),
        Expiry((Now + FirstToken).time_since_epoch().count()) {}

  /// Records a token, or the head of a non-streamed answer.
  void recordProgress(mono_time Now) {
    Expiry = (Now + BetweenTokens).time_since_epoch().count();
  }
  mono_time expiry() const { return mono_time(duration(Expiry.load())); }
  bool isExpired(mono_time Now) const { return Now >= expiry(); }

private:
  duration BetweenTokens;
  std::atomic<duration::rep> Expiry;
};

} // namespace clementinelane
