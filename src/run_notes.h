#pragma once

#include "peer_loads.h"
#include "version_shift.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinelane {

/// Runs of sessions that the other VMs are to be told of, without I/O.
///
/// Load: hundreds of sessions at once, each to be told to all VMs. Harm
/// prevented: a burst that the VM's link doesn't take, of which the last peers
/// get nothing. What fits into one datagram goes out at a time.
class run_notes {
public:
  void add(std::string_view Service, const session_run &Run);
  /// The next for one datagram; empty if there are none.
  std::vector<session_note> take(mono_time Now);

private:
  /// With the hash of the service.
  std::deque<std::pair<std::uint32_t, session_run>> Untold;
};

} // namespace clementinelane
