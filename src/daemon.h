#pragma once

#include "settings.h"

#include <functional>
#include <string_view>

namespace clementinelane {

/// The daemon-specific part of main(). runDaemon() reads and checks the
/// settings, sets up logging and waits for signals.
struct daemon_program {
  std::string_view Name;
  /// Starts, calls `WaitForStop`, and stops gracefully.
  std::function<void(const settings &,
                     const std::function<void()> &WaitForStop)>
      Run;
};

/// Whether another SIGTERM or SIGINT is pending after the one that ended
/// `WaitForStop`. Consumes it.
bool isStopRequestedAgain();

/// Parses --config and --check and runs `Program`. Returns the exit status: 0
/// after a stop or a passed check, 1 on failure, 2 for bad settings or flags.
int runDaemon(int ArgCount, char **Args, const daemon_program &Program);

} // namespace clementinelane
