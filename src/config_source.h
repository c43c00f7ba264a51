#pragma once

#include "configuration.h"

#include <mutex>

namespace clementinelane {

/// The configuration in force, swapped whole.
class config_source {
public:
  configuration_ptr get() const {
    const std::scoped_lock Lock(Mutex);
    return Config;
  }

  /// Guard: a restarted control or an old peer may offer an older state. It
  /// would show as a withdrawn version taking work again; a lower offset is
  /// never taken.
  bool set(configuration_ptr Newer) {
    const std::scoped_lock Lock(Mutex);
    if (Config && Newer->Offset <= Config->Offset)
      return false;
    Config = std::move(Newer);
    return true;
  }

private:
  mutable std::mutex Mutex;
  configuration_ptr Config;
};

} // namespace clementinelane
