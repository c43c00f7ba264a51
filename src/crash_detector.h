#pragma once

#include "clock.h"
#include "endpoint_directory.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// What was in flight at an endpoint whose connection broke.
struct crash_suspect {
  std::uint64_t Request = 0;        ///< see requestDigest()
  std::vector<std::uint64_t> Parts; ///< shared ones of its prompt
};

/// Distinguishes endpoint crashes from lost connections. Does no I/O.
///
/// Failure: a connection breaks because it is reset, because the endpoint drops
/// one request, or because the endpoint crashes with all requests in flight.
/// Only a crash makes these requests suspects. So the endpoint is probed with a
/// separate connection; if that is refused or times out, the endpoint crashed.
class crash_detector {
public:
  enum class verdict : std::uint8_t {
    Probe,  ///< open a connection to the endpoint and call probeFinished()
    Wait,   ///< a probe is in flight
    Crashed ///< a recent probe found that it crashed
  };
  /// A request's connection to the endpoint was lost while the request may have
  /// run there.
  verdict connectionLost(const endpoint_info &Endpoint, crash_suspect Suspect,
                         mono_time Now);
  /// Returns what was in flight at the endpoint if it crashed, else nothing.
  std::vector<crash_suspect> probeFinished(std::string_view EndpointId,
                                           bool IsAnswered, mono_time Now);
  /// Drops expired entries; call periodically.
  void expire(mono_time Now);

private:
  struct entry {
    std::uint64_t Incarnation = 0;
    std::vector<crash_suspect> Suspects;
    mono_time At{}; ///< of the first lost connection, then of the verdict
    bool HasCrashed = false;
  };
  std::map<std::string, entry, std::less<>> Entries;
};

} // namespace clementinelane
