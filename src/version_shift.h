#pragma once

#include "clock.h"
#include "endpoint_directory.h"
#include "open_attempts.h"
#include "rollout_reports.h"
#include "session_versions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// An operator's order to move a service to another version.
struct rollout_order {
  std::string Service;
  std::string Target;
  duration Length{};        ///< from the order to its deadline
  std::uint64_t Offset = 0; ///< in the log; the highest one is the newest
};

enum class rollout_state : std::uint8_t { InProgress, Completed, RolledBack };

/// Moves one service's sessions to an ordered version, or back. Does no I/O.
///
/// Load: a new version that fails or is slow from the start, later on, only
/// under load or only for one kind of request, or that shows nothing before it
/// has all traffic. Harm prevented: more requests than the exposure bound reach
/// it between the order and its deadline; sessions change their version while
/// their requests are in progress; two VMs decide differently.
///
/// No session moves in the first half of the order. In the second half a canary
/// share of the sessions, chosen by hash, goes to a few endpoints of the
/// target, which are then as loaded as they would be after the roll-out, and
/// the answers are evaluated. All other sessions follow in one final step. It
/// comes so late that the target's requests before and after it stay within the
/// bound even if no fault was seen.
class version_shift {
public:
  /// `StartedAt` is when this VM began to track the runs of sessions.
  version_shift(std::string Vm, std::uint64_t Incarnation,
                mono_time StartedAt = {})
      : Vm(std::move(Vm)), Incarnation(Incarnation), StartedAt(StartedAt) {}

  void setSessionTtl(duration Value) { Sessions.setTtl(Value); }
  /// How long a run that began before an order's end may last after that end.
  void setMaxRunTime(duration Value) { MaxRunTime = Value; }
  /// The share of all requests that may reach a bad target, plus a number of
  /// requests.
  void setExposureBound(double Share, double Requests) {
    ExposureBound = Share;
    ExposureTolerance = Requests;
  }
  /// `ReadAt` is the time at which the order was read from the store.
  void setOrder(const rollout_order &Value, mono_time ReadAt);
  /// The store went back to an older copy: what was written since is lost, and
  /// offsets are given out again. Orders and statuses are listed anew after
  /// this call.
  void onStoreEra(mono_time Now);
  /// Applies the status that is in the store.
  void updateStatus(std::string_view Target, rollout_state State,
                    mono_time Now);
  /// All statuses that were in the store when a read was sent at `SentAt` have
  /// been passed to updateStatus().
  void markStatusesRead(mono_time SentAt);
  void addReport(const rollout_report &Report, mono_time Now);
  /// Sets the endpoints of the service that accept requests now.
  void updateEndpoints(std::span<const endpoint_info *const> Endpoints);
  /// All reports that were in the store when a read was sent at `SentAt` have
  /// been passed to addReport().
  void markReportsRead(mono_time SentAt);

  /// The side for a request of `Session`, which may be empty and whose hash is
  /// `Hash`.
  version_side sideFor(std::string_view Session, std::uint64_t Hash,
                       mono_time Now) const;
  /// What this VM knows of a session that has not expired.
  session_info sessionInfo(std::uint64_t Hash, mono_time Now) const;
  /// Whether the session's side depends on a run that only other VMs may know
  /// of.
  bool needsLookup(std::string_view Session, std::uint64_t Hash,
                   mono_time Now) const;
  /// The session's last run, as far as this VM knows.
  std::optional<session_run> lastRun(std::uint64_t Hash, mono_time Now) const;
  /// Whether a session's request that was first sent at `SentAt` must not run
  /// again, because that run may have changed the session's version.
  bool forbidsRerun(std::string_view Session, mono_time SentAt,
                    mono_time Now) const;
  /// How long a session must wait before any version may take it. None if one
  /// may take it now. A session waits if its version is withdrawn, in the first
  /// half of an order.
  std::optional<duration> placementDelay(std::string_view Session,
                                         std::uint64_t Hash,
                                         mono_time Now) const;
  /// A request of the session began to run on `Version`, sent by this VM.
  void beginRun(std::uint64_t Hash, std::string_view Version, mono_time Now);
  /// The run that beginRun() reported has ended.
  void endRun(std::uint64_t Hash, mono_time Now);
  /// Adds a run that another VM reported.
  void mergeRun(const session_run &Run, mono_time Now);
  /// Whether the VMs that own the session's state must be told that it runs on
  /// `Version`.
  bool mustReportRun(std::uint64_t Hash, std::string_view Version,
                     mono_time Now) const;
  /// Sessions that ran from this VM and whose version is withdrawn, to be
  /// reported to their owners.
  std::vector<session_run> orphanedSessions(mono_time Now) const;
  /// Orphaned sessions that still run, whenever their owners' entries must be
  /// refreshed.
  std::vector<session_run> collectRenewals(mono_time Now);
  /// Whether a request on the new side may run on the old version if the target
  /// has no endpoint for it.
  bool mayFallBack(std::string_view Session) const;
  /// Whether a request of `Side` may run on `Version`.
  bool allows(std::string_view Version, version_side Side) const;
  /// Whether a request on the new side may go to the endpoint. The part of the
  /// target's endpoints in use matches the share of the sessions on the target;
  /// plain calls without sessions use as few as can bear them, in turn.
  bool allowsEndpoint(std::string_view EndpointId, mono_time Now) const;
  bool isTarget(std::string_view Version) const;

  /// Identifies an attempt in its samples.
  std::uint64_t newAttempt() { return ++LastAttempt; }
  void observe(const attempt_sample &Sample, mono_time Now);
  /// This VM is running; call with each tick.
  void markRunning(mono_time Now) { OpenAttempts.markRunning(Now); }

  /// Whether there is an order without a final status.
  bool isActive() const { return Order && !FinalState; }
  const std::optional<rollout_order> &order() const { return Order; }
  /// The report of this VM alone.
  rollout_report report(mono_time Now) const;
  /// The sum of this VM's report and the reports that it received from other
  /// VMs.
  rollout_report summary(mono_time Now) const {
    return Reports.summary(report(Now));
  }
  /// Whether most of the traffic is about to move to the target, or has just
  /// moved. What one VM sees must then reach the others within a second.
  bool needsFastReports(mono_time Now) const;
  /// Whether, while fast reports are needed, the target failed here or got a
  /// verdict since the last report.
  bool hasUnreportedFailure(mono_time Now) const {
    return isActive() && HasUnreportedFailure && needsFastReports(Now);
  }
  void markReported() { HasUnreportedFailure = false; }
  /// The status to be written now, if any.
  std::optional<rollout_state> dueStatus(mono_time Now) const;
  /// Whether the store lost the final status of an order that it has.
  bool mustRestoreStatus() const {
    return FinalState && !HasStatus && !IsOfOldEra;
  }
  /// The reason to roll back. Empty if there is none.
  std::string_view verdict() const { return Verdict; }
  /// The counts of all VMs as known here, and those of the target since the
  /// final step.
  struct evidence {
    version_tally Whole;
    version_tally SinceFinalStep;
    duration ReportsAge{};
  };
  evidence collectEvidence(mono_time Now) const;
  duration elapsed(mono_time Now) const { return Now - OrderedAt; }

private:
  /// A status that was read before its order.
  struct early_status {
    std::string Target;
    rollout_state State;
    mono_time ReadAt;
  };
  double targetShare(mono_time Now, duration Lead = {}) const;
  /// Whether the reports of other VMs were read recently.
  bool hasFreshReports(mono_time Now) const;
  void updateFinalStep(mono_time Now);
  bool isFirstHalf(mono_time Now) const;
  /// Whether an order ended so recently that some sessions may be without a
  /// version.
  bool endedRecently(mono_time Now) const;
  bool isNearEnd(mono_time Now) const;
  void acceptVersions(std::span<const endpoint_info *const> Endpoints);
  bool isTargetHash(std::uint32_t Version) const;
  /// Whether no request may run on the version any longer.
  bool isWithdrawn(std::uint32_t Version) const;
  version_side sideByHash(std::uint64_t Hash, mono_time Now) const;
  version_side sideWithoutSession(std::uint64_t Hash, mono_time Now) const;
  /// Time from the order to the final step, which moves all sessions.
  duration finalStepTime() const;
  /// The latest time for the final step, measured from the order, that stays
  /// within the exposure bound. `ExposedShare` of the order's requests went to
  /// the target until `From`, and the canary share goes there from then on.
  /// `From` is a fraction of the order's length.
  duration latestFinalStep(double ExposedShare, double From) const;
  /// The share of the requests without a session that goes to the target after
  /// the final step, until the exposure bound is spent.
  double shareAfterFinalStep(mono_time Now) const;
  /// How much earlier than others requests without a session take the final
  /// step. None if this VM knows of any session.
  duration leadTime() const;
  /// Estimate of the requests of the service during the whole order.
  double expectedRequests() const;
  /// Whether requests go to as few of the target's endpoints as can bear them.
  bool mustPack() const;
  std::size_t endpointsInUse(mono_time Now) const;
  std::size_t firstEndpointInUse(mono_time Now) const;
  /// Requests that run at the same time on average; 0 if some are streams.
  double plainLoad(const version_tally &Whole, mono_time Now) const;
  void evaluate(mono_time Now);
  void applyStatus(rollout_state State, mono_time Now);
  /// Whether an order for the version was replaced by another one.
  bool wasReplaced(std::string_view Target) const;
  /// Whether an order was given after the known one. Takes the offset of the
  /// known one if the order is the same, read in a new era.
  bool isNewOrder(const rollout_order &Value);

  std::string Vm;
  std::uint64_t Incarnation;
  mono_time StartedAt;
  duration MaxRunTime{};
  double ExposureBound = 0.15;
  double ExposureTolerance = 0;
  std::optional<rollout_order> Order;
  std::vector<rollout_order> Replaced; ///< earlier orders that were read here
  /// Whether the order wasn't read since the store went back to a copy.
  bool IsOfOldEra = false;
  mono_time EraReadAt{};   ///< when the store's era last changed
  mono_time OrderedAt{};   ///< earliest time known to this VM
  mono_time OrderReadAt{}; ///< when the order was read here
  std::optional<rollout_state> FinalState;
  std::optional<mono_time> EndedAt; ///< of the last order that ended
  std::optional<early_status> EarlyStatus;
  /// The store has a status of this order, and its final one if that is known.
  bool HasStatus = false;
  bool IsStatusKnown = false; ///< statuses were read since the order and era
  std::set<std::string, std::less<>> Accepted; ///< in regular use
  std::set<std::string, std::less<>> Rejected; ///< rolled back
  std::vector<std::string> TargetEndpoints;    ///< sorted alike on all VMs
  unsigned TargetSlots = 1;                    ///< of the smallest of them
  double PlainLoad = 0;                        ///< at the last evaluation
  mono_time ReportsReadAt{};
  mono_time ReportsFreshSince{}; ///< without a gap in the reads
  version_tally OwnTally;
  open_attempts OpenAttempts;
  std::uint64_t LastAttempt = 0;
  rollout_reports Reports;
  std::string Verdict;
  version_tally TallyBeforeFinalStep;    ///< of all VMs
  bool HasTakenFinalStep = false;        ///< all sessions may have moved
  std::optional<duration> FixedStepTime; ///< set shortly before the step
  /// Whether more answers are needed before the order may be completed.
  bool NeedsAnswers = false;
  bool HasUnreportedFailure = false;
  mono_time EvaluatedAt{};
  std::uint64_t TotalRequests = 0;  ///< of all VMs, at the last evaluation
  std::uint64_t TargetRequests = 0; ///< those sent to the target
  session_versions Sessions;
  mono_time RenewedAt{};
};

} // namespace clementinelane
