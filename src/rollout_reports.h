#pragma once

#include "clock.h"
#include "version_tally.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace clementinelane {

/// What one VM reports to the others of a roll-out. Counts only grow within an
/// incarnation, so a duplicate or late report does no harm; those of open
/// attempts don't, and belong to the same moment.
struct rollout_report {
  std::string Vm;
  std::uint64_t Incarnation = 0;
  std::string Service;
  std::string Target;
  std::uint64_t OrderOffset = 0;
  duration Elapsed{}; ///< since the order, as far as this VM knows
  version_tally Tally;
  version_tally OpenAges; ///< see open_attempts
  /// The reason to roll back, if one was found; see verdictOn().
  std::string Verdict;
  /// Sorted hashes of the VMs that the report sums up. Empty if it is about one
  /// VM only.
  std::vector<std::uint32_t> Vms;

  bool isSummary() const { return !Vms.empty(); }
};

/// The reports of one roll-out that reached this VM. Does no I/O.
///
/// Load: dozens of VMs whose answers are evaluated together, with reports twice
/// a second. Harm prevented: each VM writes its report to the store and reads
/// those of all others, so that calls and bytes grow with the square of the
/// fleet. Instead VMs report to the few readers, which read the store for all.
/// The readers write summaries, and summaries that have no VM in common are
/// added up.
class rollout_reports {
public:
  void clear();
  void add(const rollout_report &Report);

  struct counts {
    version_tally Tally;
    version_tally OpenAges;
  };
  /// The counts of all VMs, as far as they are known here.
  counts combined(const rollout_report &Own) const;
  /// The sum of `Own` and the reports received directly from other VMs.
  rollout_report summary(const rollout_report &Own) const;

private:
  using incarnation = std::pair<std::string, std::uint64_t>;
  std::map<incarnation, rollout_report> VmReports;
  counts VmReportsSum; ///< updated with each report
  std::map<std::string, rollout_report, std::less<>> Summaries; ///< by writer
};

} // namespace clementinelane
