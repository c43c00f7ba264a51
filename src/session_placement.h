#pragma once

#include "clock.h"

#include <cstdint>

namespace clementinelane {

enum class version_side : std::uint8_t { Old, New };

/// Source of a VM's information on a session.
enum class session_source : std::uint8_t {
  None,
  Local, ///< a request of the session at this VM
  Remote ///< a report from another VM
};

/// What a VM knows of a session.
struct session_info {
  session_source Source = session_source::None;
  version_side Side = version_side::Old;
  duration Age{}; ///< since the session was last known to run
};

/// Why a session's request was placed on a version, for the log.
struct session_placement {
  std::uint64_t Session = 0; ///< its hash
  version_side Side = version_side::Old;
  session_info Known; ///< known before this request
};

} // namespace clementinelane
