#pragma once

#include "configuration.h"

#include <mutex>

namespace clementinelane {

/// The configuration in force; replaced as a whole under a lock.
class config_source {
public:
  configuration_ptr get() const {
    const std::scoped_lock Lock(Mutex);
    return Config;
  }

  /// Rejects a configuration whose offset is not higher than the current one.
  /// Guard: a restarted control or an old peer may offer an older state, and a
  /// withdrawn version would take work again.
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
