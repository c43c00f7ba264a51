#pragma once

#include "clock.h"

namespace clementinelane {

inline double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

inline double secondsOf(mono_time Time) {
  return secondsOf(Time.time_since_epoch());
}

} // namespace clementinelane
