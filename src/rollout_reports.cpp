#include "rollout_reports.h"

#include "hashing.h"

#include <algorithm>
#include <set>

namespace clementinelane {

namespace {

std::uint32_t vmHash(std::string_view Vm) {
  return static_cast<std::uint32_t>(stableHash(Vm));
}

bool overlaps(const std::set<std::uint32_t> &Counted,
              const std::vector<std::uint32_t> &Vms) {
  return std::any_of(Vms.begin(), Vms.end(), [&Counted](std::uint32_t Vm) {
    return Counted.contains(Vm);
  });
}

} // namespace

void rollout_reports::clear() {
  VmReports.clear();
  VmReportsSum = {};
  Summaries.clear();
}

void rollout_reports::add(const rollout_report &Report) {
  if (Report.isSummary()) {
    Summaries[Report.Vm] = Report;
    return;
  }
  rollout_report &Known = VmReports[{Report.Vm, Report.Incarnation}];
  // A late report, or one that carries only a verdict.
  if (Report.Tally.answers() < Known.Tally.answers())
    return;
  VmReportsSum.Tally.subtract(Known.Tally);
  VmReportsSum.Tally.merge(Report.Tally);
  VmReportsSum.OpenAges.subtract(Known.OpenAges);
  VmReportsSum.OpenAges.merge(Report.OpenAges);
  Known = Report;
}

// Answers from a VM's earlier incarnations still count.
rollout_report rollout_reports::summary(const rollout_report &Own) const {
  rollout_report Sum = Own;
  std::set<std::uint32_t> Vms{vmHash(Own.Vm)};
  Sum.Tally.merge(VmReportsSum.Tally);
  Sum.OpenAges.merge(VmReportsSum.OpenAges);
  for (const auto &[Key, Report] : VmReports)
    Vms.insert(vmHash(Report.Vm));
  Sum.Vms.assign(Vms.begin(), Vms.end());
  return Sum;
}

// Starts with the summary that has the most answers. Others are added only if
// they have no VM in common with those counted so far, as in a network
// partition where each part has its own readers. Overlapping summaries would
// count answers twice.
rollout_reports::counts
rollout_reports::combined(const rollout_report &Own) const {
  const rollout_report Local = summary(Own);
  std::vector<const rollout_report *> BySize{&Local};
  for (const auto &[Vm, Summary] : Summaries)
    BySize.push_back(&Summary);
  std::stable_sort(BySize.begin(), BySize.end(),
                   [](const rollout_report *A, const rollout_report *B) {
                     return A->Tally.answers() > B->Tally.answers();
                   });
  counts Whole;
  std::set<std::uint32_t> Counted;
  for (const rollout_report *Each : BySize) {
    if (overlaps(Counted, Each->Vms))
      continue;
    Counted.insert(Each->Vms.begin(), Each->Vms.end());
    Whole.Tally.merge(Each->Tally);
    Whole.OpenAges.merge(Each->OpenAges);
  }
  return Whole;
}

} // namespace clementinelane
