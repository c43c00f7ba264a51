#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// A pause that an endpoint asked for through a peer's tunnel, sent to that
/// peer: the endpoint takes the peer for the sender.
struct pause_note {
  std::string Endpoint; ///< its id
  std::chrono::milliseconds Left{0};
};

std::string encodePause(const pause_note &Note);
/// None if the bytes are malformed.
std::optional<pause_note> decodePause(std::string_view Bytes);

/// Endpoints that rejected a request of this VM and want no more from it for a
/// while. Does no I/O.
///
/// Load: endpoints that shed load. They answer at once, so they have no work in
/// flight and look the cheapest. Harm prevented: most requests go there and use
/// up their attempts and the fleet's retry budget, and the endpoints never
/// recover. A pause holds for one VM, as the endpoint chooses whom it turns
/// away. Nothing but the endpoint's restart shortens it: an answer without a
/// pause may belong to a request that was sent before.
class endpoint_pauses {
public:
  /// Returns the end of the pause. A later answer can only prolong it.
  mono_time pause(std::string_view Id, duration Time, mono_time Now);
  /// Drops the pause of an endpoint that restarted.
  void forget(std::uint32_t Endpoint) { Entries.erase(Endpoint); }

  /// `Endpoint`: digestHash() of its id.
  bool isPaused(std::uint32_t Endpoint, mono_time Now) const {
    return endOf(Endpoint).value_or(Now) > Now;
  }
  /// None if it isn't paused.
  std::optional<mono_time> endOf(std::uint32_t Endpoint) const;
  /// Drops pauses that have ended and returns the ids of their endpoints; call
  /// periodically.
  std::vector<std::string> expire(mono_time Now);
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::string Id;
    mono_time Until{};
  };

  std::unordered_map<std::uint32_t, entry> Entries;
};

/// The time of a Retry-After, at most one hour.
duration pauseTime(double Seconds);

} // namespace clementinelane
