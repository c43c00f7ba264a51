#pragma once

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace clementinelane {

/// An endpoint whose answer announced that it is leaving, shared between VMs.
struct leave_note {
  std::uint32_t Endpoint = 0;       ///< hash of its id, see digestHash
  std::chrono::milliseconds Age{0}; ///< since the answer
};

/// Endpoints whose answers announced that they are leaving. Does no I/O.
///
/// Failure: the registry is down or late, and lists an endpoint as ready that
/// is about to exit. Only its answers tell. The endpoint's word prevails over
/// the registry's until the endpoint restarts. An endpoint that hasn't left
/// within config::LeaveTtl is used again, so that a forged or damaged answer
/// takes none away for good. Notes of other VMs expire far sooner.
class endpoint_leaves {
public:
  /// An answer to this VM announced the leave. Returns true if this is news.
  bool recordAnswer(std::uint32_t Endpoint, mono_time Now);
  /// Merges a note from another VM. Returns true if this is news.
  bool applyPeerNote(const leave_note &Note, mono_time Now);
  /// Drops an endpoint that restarted.
  void forget(std::uint32_t Endpoint) { Entries.erase(Endpoint); }

  bool isLeaving(std::uint32_t Endpoint) const {
    return Entries.contains(Endpoint);
  }
  /// Recent answers received by this VM, for the load digest.
  std::vector<leave_note> ownNotes(mono_time Now) const;
  /// Drops expired entries; call periodically. Returns true if there were any.
  bool expire(mono_time Now);
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::optional<mono_time> AnsweredAt; ///< the first answer to this VM
    mono_time NotedAt{};                 ///< as the newest peer's note says
  };

  std::unordered_map<std::uint32_t, entry> Entries;
};

} // namespace clementinelane
