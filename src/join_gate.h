#pragma once

#include "clock.h"
#include "config.h"

#include <cstddef>
#include <optional>

namespace clementinelane {

/// Decides when a newly started control process knows enough peers to report
/// them to its entry process.
///
/// Guard: a newly started VM knows no peers yet. If it reported an empty list,
/// its entry would assume that it is the only VM and decide alone about
/// sessions and bills that other VMs know; a session then changes its version
/// after a VM was replaced. Seeds reply within a period with all members they
/// know, so the table is complete shortly after the first peer is found. A VM
/// that finds no peer until the timeout is alone or partitioned and serves what
/// it can.
class join_gate {
public:
  /// `HasBootstrapPeers`: there are other VMs to contact.
  join_gate(bool HasBootstrapPeers, mono_time Now)
      : HasBootstrapPeers(HasBootstrapPeers), StartedAt(Now) {}

  void updatePeerCount(std::size_t Count, mono_time Now) {
    if (Count > 0 && !FirstPeerAt)
      FirstPeerAt = Now;
  }

  bool isOpen(mono_time Now) const {
    if (!HasBootstrapPeers)
      return true;
    if (FirstPeerAt && Now - *FirstPeerAt >= config::JoinSettleTime)
      return true;
    return Now - StartedAt >= config::JoinTimeout;
  }

private:
  bool HasBootstrapPeers;
  mono_time StartedAt;
  std::optional<mono_time> FirstPeerAt;
};

} // namespace clementinelane
