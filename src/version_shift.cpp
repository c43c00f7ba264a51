#include "version_shift.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace clementinelane {

namespace {

/// Orders remembered after they were replaced; a copy of the store is only some
/// seconds old.
constexpr std::size_t MaxReplacedOrders = 16;

/// Standard deviations by which the traffic until the deadline may exceed its
/// forecast.
constexpr double ExposureSigmas = 2;
/// The target meets all requests of this time after the final step in any case:
/// a version that is bad only under load shows nothing before.
constexpr double MinStepSeconds = 0.2;
/// An order isn't completed while more than this part of the target's requests
/// is unanswered: fast answers come first, and the rest may hide a slow
/// version.
constexpr double MaxOpenPart = 2.0 / 3;
/// Resolution of a share of the sessions.
constexpr std::uint64_t ShareResolution = 1U << 16U;

bool isBelow(std::uint64_t Hash, double Share) {
  return static_cast<double>(Hash % ShareResolution) <
         Share * double{ShareResolution};
}

} // namespace

bool version_shift::wasReplaced(std::string_view Target) const {
  return std::any_of(
      Replaced.begin(), Replaced.end(),
      [&](const rollout_order &Each) { return Each.Target == Target; });
}

// Failure: the store goes back to a copy that has an older order, and the known
// one is written again at another offset. A VM would begin them anew, and send
// traffic to a version that was rolled back. Offsets of different eras can't be
// compared, except that records of the copy keep theirs.
bool version_shift::isNewOrder(const rollout_order &Value) {
  if (!IsOfOldEra)
    return Value.Offset > Order->Offset;
  const auto IsSame = [&](const rollout_order &Each) {
    return Each.Target == Value.Target && Each.Length == Value.Length;
  };
  const bool IsFromCopy = std::any_of(
      Replaced.begin(), Replaced.end(), [&](const rollout_order &Each) {
        return IsSame(Each) && Each.Offset == Value.Offset;
      });
  if (IsFromCopy)
    return false;
  if (IsSame(*Order)) {
    Order->Offset = Value.Offset;
    IsOfOldEra = false;
    return false;
  }
  // Below all orders that were read here it may have ended before this VM
  // started. It is new if the known one is read again before it.
  const auto IsBelow = [&](const rollout_order &Each) {
    return Value.Offset <= Each.Offset;
  };
  return std::none_of(Replaced.begin(), Replaced.end(), IsSame) &&
         !(IsBelow(*Order) &&
           std::all_of(Replaced.begin(), Replaced.end(), IsBelow));
}

void version_shift::onStoreEra(mono_time Now) {
  IsOfOldEra = Order.has_value();
  EraReadAt = Now;
  HasStatus = false;
  IsStatusKnown = false;
}

void version_shift::setOrder(const rollout_order &Value, mono_time ReadAt) {
  if (Order && !isNewOrder(Value))
    return;
  // When the log drops old records, the newest record of each key is read
  // again, so a known order may be read twice. An order that is replaced has
  // ended, even if its final status was never read.
  if (isActive())
    EndedAt = ReadAt;
  if (Order)
    Replaced.push_back(*std::move(Order));
  if (Replaced.size() > MaxReplacedOrders)
    Replaced.erase(Replaced.begin());
  Order = Value;
  IsOfOldEra = false;
  OrderedAt = ReadAt;
  OrderReadAt = ReadAt;
  FinalState.reset();
  HasStatus = false;
  IsStatusKnown = false;
  Verdict.clear();
  TotalRequests = 0;
  TargetRequests = 0;
  PlainLoad = 0;
  FixedStepTime.reset();
  OwnTally = {};
  OpenAttempts.clear();
  TallyBeforeFinalStep = {};
  NeedsAnswers = false;
  HasTakenFinalStep = false;
  Reports.clear();
  Rejected.erase(Value.Target);
  // The target's endpoints may be listed before the order is read.
  Accepted.erase(Value.Target);
  if (const auto Status = std::exchange(EarlyStatus, std::nullopt);
      Status && Status->Target == Order->Target &&
      ReadAt - Status->ReadAt <= config::RolloutEarlyStatusMaxAge)
    applyStatus(Status->State, ReadAt);
}

// Failure: a VM that is suspended through a whole roll-out while it follows
// another one reads the status before the order. If it dropped that status, it
// would treat the order as new and overwrite its final status with "in
// progress".
void version_shift::updateStatus(std::string_view Target, rollout_state State,
                                 mono_time Now) {
  if (Order && Order->Target == Target) {
    applyStatus(State, Now);
    return;
  }
  EarlyStatus = early_status{std::string(Target), State, Now};
  // The status of a newer order must not be overwritten with a lost one.
  if (FinalState && !wasReplaced(Target))
    HasStatus = true;
}

void version_shift::applyStatus(rollout_state State, mono_time Now) {
  // A known end can be missing only from a copy of the store.
  HasStatus = HasStatus || !FinalState || State != rollout_state::InProgress;
  if (State == rollout_state::InProgress || FinalState)
    return;
  FinalState = State;
  EndedAt = Now;
  if (State == rollout_state::Completed) {
    Accepted = {Order->Target};
  } else {
    Rejected.insert(Order->Target);
    Accepted.erase(Order->Target);
  }
}

// Failure: a process that starts after an order has ended reads the order
// before the status and would overwrite the final status with "in progress".
void version_shift::markStatusesRead(mono_time SentAt) {
  IsStatusKnown = IsStatusKnown || SentAt >= std::max(OrderReadAt, EraReadAt);
}

void version_shift::addReport(const rollout_report &Report, mono_time Now) {
  if (!Order || Report.Target != Order->Target ||
      Report.OrderOffset != Order->Offset)
    return;
  // Failure: a process that starts during a roll-out would treat it as new and
  // repeat its first half. The other VMs' reports give the time since the
  // order.
  OrderedAt = std::min(OrderedAt, Now - Report.Elapsed);
  if (Report.Vm == Vm && Report.Incarnation == Incarnation)
    return;
  const bool WasStopped = !Verdict.empty();
  Reports.add(Report);
  evaluate(Now);
  // Failure: the store loses answers while a bad version is rolled out, and the
  // verdict of the VMs that have all reports doesn't reach the others. Routers
  // therefore send verdicts to each other directly. A verdict can only stop a
  // version, so it is accepted without the counts behind it.
  if (Verdict.empty() && isActive())
    Verdict = Report.Verdict;
  HasUnreportedFailure =
      HasUnreportedFailure || (!WasStopped && !Verdict.empty());
}

void version_shift::markReportsRead(mono_time SentAt) {
  if (SentAt - ReportsReadAt > config::RolloutReportMaxAge)
    ReportsFreshSince = SentAt;
  ReportsReadAt = SentAt;
  if (isActive())
    updateFinalStep(SentAt);
}

// Fixes the time of the final step shortly before it. Failure: requests that
// other VMs send to the target after their own step would count as exposure
// before it and postpone the step of a VM that is behind.
void version_shift::updateFinalStep(mono_time Now) {
  if (const duration Next = finalStepTime();
      !FixedStepTime && elapsed(Now) >= Next - config::RolloutSkew)
    FixedStepTime = Next;
  HasTakenFinalStep = HasTakenFinalStep || targetShare(Now) == 1;
}

void version_shift::updateEndpoints(
    std::span<const endpoint_info *const> Endpoints) {
  acceptVersions(Endpoints);
  TargetEndpoints.clear();
  TargetSlots = std::numeric_limits<unsigned>::max();
  for (const endpoint_info *Info : Endpoints)
    if (isTarget(Info->Version)) {
      TargetEndpoints.push_back(Info->Id);
      TargetSlots = std::min(TargetSlots, std::max(Info->Slots, 1U));
    }
  std::sort(TargetEndpoints.begin(), TargetEndpoints.end(),
            [](const std::string &A, const std::string &B) {
              return stableHash(A) < stableHash(B);
            });
}

// Failure: endpoints of a new version are listed before its order is read, and
// get requests. A version that appears while others are in use must wait for
// its order, unless no accepted version is left.
void version_shift::acceptVersions(
    std::span<const endpoint_info *const> Endpoints) {
  const auto IsRegular = [this](const std::string &Version) {
    return !Rejected.contains(Version) &&
           !(Order && FinalState != rollout_state::Completed &&
             Order->Target == Version);
  };
  const bool HasAccepted = std::any_of(
      Endpoints.begin(), Endpoints.end(), [this](const endpoint_info *Info) {
        return Accepted.contains(Info->Version);
      });
  if (HasAccepted)
    return;
  for (const endpoint_info *Info : Endpoints)
    if (IsRegular(Info->Version))
      Accepted.insert(Info->Version);
}

bool version_shift::isTarget(std::string_view Version) const {
  return Order && Order->Target == Version;
}

bool version_shift::isTargetHash(std::uint32_t Version) const {
  return Order && versionHash(Order->Target) == Version;
}

bool version_shift::isWithdrawn(std::uint32_t Version) const {
  const auto Is = [Version](const std::string &Each) {
    return versionHash(Each) == Version;
  };
  return !(isActive() && isTargetHash(Version)) && !Accepted.empty() &&
         std::none_of(Accepted.begin(), Accepted.end(), Is);
}

bool version_shift::isFirstHalf(mono_time Now) const {
  return elapsed(Now) < Order->Length / 2;
}

// Failure: a VM stops before the order ends, and what it knew of the sessions
// that the end leaves without a version is lost.
bool version_shift::isNearEnd(mono_time Now) const {
  return isActive() && Order->Length - elapsed(Now) < Sessions.ttl();
}

bool version_shift::endedRecently(mono_time Now) const {
  // An active order that came soon after another counts as such until it ends:
  // sessions that it finds without a version aren't placed by their hash.
  const mono_time At = isActive() ? OrderReadAt : Now;
  return EndedAt && At - *EndedAt < MaxRunTime + Sessions.ttl();
}

double version_shift::expectedRequests() const {
  const double Seen =
      std::chrono::duration<double>(EvaluatedAt - OrderedAt).count();
  if (TotalRequests == 0 || Seen <= 0)
    return 0;
  return static_cast<double>(TotalRequests) *
         std::chrono::duration<double>(Order->Length).count() / Seen;
}

// With canary share b until the step at t and all requests after it, the
// target's part of the requests is ExposedShare + b * (t - From) + (1 - t).
duration version_shift::latestFinalStep(double ExposedShare,
                                        double From) const {
  const double CanaryShare = ExposureBound * config::RolloutCanaryShare;
  const double Requests = expectedRequests();
  const double Tolerance = Requests > 0 ? config::RolloutToleranceFraction *
                                              ExposureTolerance / Requests
                                        : 0;
  const double Left =
      ExposureBound + Tolerance - ExposedShare - CanaryShare * (1 - From);
  const double Rest = std::clamp(
      config::RolloutFinalStepFraction * Left / (1 - CanaryShare), 0.0, 0.5);
  return std::chrono::duration_cast<duration>(Order->Length * (1 - Rest));
}

// Uses the measured exposure once it is known; reports are up to one period
// old. With little traffic most sessions of the canary share never send a
// request, which leaves more of the bound for the final step. An earlier step
// leaves fewer sessions on the version that is withdrawn when the order ends.
duration version_shift::finalStepTime() const {
  if (FixedStepTime)
    return *FixedStepTime;
  const duration Planned =
      latestFinalStep(ExposureBound * config::RolloutFirstHalfShare / 2, 0.5);
  const duration Seen = EvaluatedAt - OrderedAt - config::RolloutReportPeriod;
  const double Requests = expectedRequests();
  if (Requests <= 0 || Seen < Order->Length / 2)
    return Planned;
  const double From = std::chrono::duration<double>(Seen) /
                      std::chrono::duration<double>(Order->Length);
  return std::min(
      Planned,
      latestFinalStep(static_cast<double>(TargetRequests) / Requests, From));
}

bool version_shift::hasFreshReports(mono_time Now) const {
  return Now - ReportsReadAt <= config::RolloutReportMaxAge;
}

// Load: a version that fails only under full load, with the store unreachable
// at the final step. Harm prevented: every VM raises its share without learning
// what the others saw. A VM that can't read the other VMs' reports keeps its
// share. It neither takes the final step nor reverts it, since sessions may
// have moved at other VMs.
double version_shift::targetShare(mono_time Now, duration Lead) const {
  if (!Verdict.empty())
    return 0;
  if (HasTakenFinalStep ||
      (elapsed(Now) >= finalStepTime() - Lead && hasFreshReports(Now)))
    return 1;
  return ExposureBound * (isFirstHalf(Now) ? config::RolloutFirstHalfShare
                                           : config::RolloutCanaryShare);
}

// Load: traffic grows right after the final step, which was timed for the
// traffic before. Harm prevented: a version that may be bad meets more requests
// than the bound allows. The requests between completion and deadline count as
// sent. What is left lasts for the time in which other VMs may send requests
// that this one doesn't know of yet.
double version_shift::shareAfterFinalStep(mono_time Now) const {
  const double Seen =
      std::chrono::duration<double>(EvaluatedAt - OrderedAt).count();
  if (Seen <= 0 || elapsed(Now) >= Order->Length)
    return 1;
  const auto All = static_cast<double>(TotalRequests);
  const auto Target = static_cast<double>(TargetRequests);
  const double Rate = All / Seen;
  const double SinceStep =
      Target -
      std::min(Target, static_cast<double>(TallyBeforeFinalStep.sentToNew()));
  if (SinceStep < MinStepSeconds * Rate)
    return 1;
  const duration Unseen = Now - EvaluatedAt + config::RolloutDeadlineMargin;
  const double Ahead = Rate * std::chrono::duration<double>(Unseen).count();
  const double Left = ExposureBound * (All + Ahead) +
                      config::RolloutFinalStepFraction * ExposureTolerance -
                      Target - Ahead - ExposureSigmas * std::sqrt(Ahead);
  const double Delay =
      std::chrono::duration<double>(config::RolloutFastReportPeriod).count();
  return std::clamp(Left / (Rate * Delay), 0.0, 1.0);
}

// Load: a service without sessions, with few requests. Harm prevented: most of
// the exposure bound is spent at a load under which the target shows no fault,
// and too little is left for the final step. Requests without a session may
// return to the old version at any time, so most of theirs are kept for it.
version_side version_shift::sideWithoutSession(std::uint64_t Hash,
                                               mono_time Now) const {
  const double Share =
      targetShare(Now, leadTime()) == 1 ? shareAfterFinalStep(Now)
      : isFirstHalf(Now)
          ? ExposureBound * config::RolloutFirstHalfShare
          : ExposureBound * config::RolloutSessionlessCanaryShare;
  return isBelow(Hash, Share) ? version_side::New : version_side::Old;
}

// Failure: the last requests before the completion are the slow ones, and their
// answers come after it.
duration version_shift::leadTime() const {
  return Sessions.all().empty() ? duration(config::RolloutSessionlessLead)
                                : duration::zero();
}

version_side version_shift::sideByHash(std::uint64_t Hash,
                                       mono_time Now) const {
  return isBelow(Hash, targetShare(Now)) ? version_side::New
                                         : version_side::Old;
}

// Load: sessions whose requests arrive at any VM, within the time to live of
// each other. Harm prevented: a session that began on the old version moves in
// the first half, or one that moved goes back. An unknown session may still
// have run elsewhere: run reports are lost or late, streams are still active,
// VMs have just started. So in the first half only requests without a session
// go to the target. In the second half the hash decides, which is the same on
// all VMs.
version_side version_shift::sideFor(std::string_view Session,
                                    std::uint64_t Hash, mono_time Now) const {
  if (!isActive() || !Verdict.empty())
    return version_side::Old;
  if (Session.empty())
    return sideWithoutSession(Hash, Now);
  const auto *Known = Sessions.find(Hash, Now);
  if (Known && isTargetHash(Known->Version))
    return version_side::New;
  if (isFirstHalf(Now))
    return version_side::Old;
  if (Known && isWithdrawn(Known->Version))
    return version_side::New;
  return sideByHash(Hash, Now);
}

// Failure: a session ran at another VM on a version that is now withdrawn, or
// moved to the target at another VM, and this VM treats it as new. This can
// happen after the end of an order, while the VMs reach the half and the final
// step at different times, and after a start. At other times the hash alone
// decides.
bool version_shift::needsLookup(std::string_view Session, std::uint64_t Hash,
                                mono_time Now) const {
  if (Session.empty() || !isActive() || !Verdict.empty())
    return false;
  const auto *Known = Sessions.find(Hash, Now);
  if (Known && isTargetHash(Known->Version))
    return false;
  if (Now - StartedAt < Sessions.ttl())
    return true;
  const bool IsFirstHalf = isFirstHalf(Now);
  if (!IsFirstHalf && sideByHash(Hash, Now) == version_side::New)
    return false;
  const bool HasVersion = Known && !isWithdrawn(Known->Version);
  const duration Next = IsFirstHalf ? Order->Length / 2 : finalStepTime();
  return (endedRecently(Now) && !HasVersion) ||
         elapsed(Now) >= Next - config::RolloutSkew;
}

std::optional<session_run> version_shift::lastRun(std::uint64_t Hash,
                                                  mono_time Now) const {
  const auto *Known = Sessions.find(Hash, Now);
  if (!Known)
    return std::nullopt;
  return session_run{Hash, Known->Version,
                     Known->Running > 0 ? Now : Known->LastAt};
}

// Failure: a cascade asks its next model after an order was read. Its first run
// changed the session's version before the order, which was allowed; another
// run would change it during the order.
bool version_shift::forbidsRerun(std::string_view Session, mono_time SentAt,
                                 mono_time Now) const {
  return !Session.empty() && isActive() && isFirstHalf(Now) &&
         endedRecently(Now) && SentAt < OrderReadAt;
}

session_info version_shift::sessionInfo(std::uint64_t Hash,
                                        mono_time Now) const {
  const auto *Known = Sessions.find(Hash, Now);
  if (!Known)
    return {};
  return {Known->Source,
          isTargetHash(Known->Version) ? version_side::New : version_side::Old,
          Now - Known->LastAt};
}

// Failure: an order follows the end of another one within the sessions' time to
// live. A session that last ran before that end has no version: in the first
// half the target takes no sessions, and the version in use isn't the session's
// own. In the second half any session may move, so it goes to the target then.
std::optional<duration> version_shift::placementDelay(std::string_view Session,
                                                      std::uint64_t Hash,
                                                      mono_time Now) const {
  if (Session.empty() || !isActive() || !isFirstHalf(Now))
    return std::nullopt;
  const auto *Known = Sessions.find(Hash, Now);
  if (!Known || !isWithdrawn(Known->Version))
    return std::nullopt;
  return std::min<duration>(Sessions.timeLeft(*Known, Now),
                            OrderedAt + Order->Length / 2 - Now);
}

void version_shift::beginRun(std::uint64_t Hash, std::string_view Version,
                             mono_time Now) {
  Sessions.runStarted(Hash, versionHash(Version), Now);
}

void version_shift::endRun(std::uint64_t Hash, mono_time Now) {
  Sessions.runEnded(Hash, Now);
}

// Failure: requests of a session run concurrently, or VMs read an order at
// different times, and their reports name different versions. A session that
// has moved to the target stays there; otherwise VMs would keep adopting each
// other's version.
void version_shift::mergeRun(const session_run &Run, mono_time Now) {
  const auto *Known = Sessions.find(Run.Session, Now);
  const bool IsMoved = Known && isActive() && isTargetHash(Known->Version);
  Sessions.runReported(Run.Session, IsMoved ? Known->Version : Run.Version,
                       Run.LastAt, Now);
}

bool version_shift::mustReportRun(std::uint64_t Hash, std::string_view Version,
                                  mono_time Now) const {
  const std::uint32_t VersionHash = versionHash(Version);
  const auto *Known = Sessions.find(Hash, Now);
  return (isActive() && isTarget(Version)) || isWithdrawn(VersionHash) ||
         endedRecently(Now) || isNearEnd(Now) ||
         (Known && Known->Version != VersionHash);
}

std::vector<session_run> version_shift::orphanedSessions(mono_time Now) const {
  std::vector<session_run> Found;
  for (const auto &[Hash, Session] : Sessions.all())
    if (Session.IsLocal && Sessions.isAlive(Session, Now) &&
        isWithdrawn(Session.Version))
      Found.push_back(
          {Hash, Session.Version, Session.Running > 0 ? Now : Session.LastAt});
  return Found;
}

// Failure: a stream on a withdrawn version lasts longer than the time to live,
// and the session's owners forget the session.
std::vector<session_run> version_shift::collectRenewals(mono_time Now) {
  if (!endedRecently(Now) || Now - RenewedAt < Sessions.ttl() / 2)
    return {};
  RenewedAt = Now;
  std::vector<session_run> Found;
  for (const auto &[Hash, Session] : Sessions.all())
    if (Session.Running > 0 && isWithdrawn(Session.Version))
      Found.push_back({Hash, Session.Version, Now});
  return Found;
}

// Load: the target's endpoints are full, cold or avoided for a moment. Harm
// prevented: sessions that have moved alternate between versions. A session
// that isn't known to have moved may have done so at another VM a moment ago.
// If the target has no endpoints at all, falling back is the only choice.
bool version_shift::mayFallBack(std::string_view Session) const {
  return Session.empty() || !isActive() || !Verdict.empty() ||
         TargetEndpoints.empty();
}

bool version_shift::allows(std::string_view Version, version_side Side) const {
  if (Rejected.contains(Version))
    return false;
  if (isActive() && isTarget(Version))
    return Side == version_side::New;
  if (isActive() && Side == version_side::New)
    return false;
  return Accepted.empty() || Accepted.contains(Version);
}

// Load: a plain service whose endpoints are nearly idle. Harm prevented: a
// version that fails once an endpoint has a few requests at a time is
// completed, because the final step is too short for such a moment. All
// requests go to as few endpoints as can bear them, to each for a part of the
// time, so that one bad endpoint isn't taken for a bad version.
bool version_shift::mustPack() const {
  return PlainLoad > 0 && Sessions.all().empty();
}

bool version_shift::allowsEndpoint(std::string_view EndpointId,
                                   mono_time Now) const {
  if (!isActive())
    return true;
  const std::size_t All = TargetEndpoints.size();
  const std::size_t Count = endpointsInUse(Now);
  const std::size_t First = firstEndpointInUse(Now);
  for (std::size_t I = 0; I < Count; ++I)
    if (TargetEndpoints[(First + I) % All] == EndpointId)
      return true;
  return false;
}

std::size_t version_shift::endpointsInUse(mono_time Now) const {
  const std::size_t All = TargetEndpoints.size();
  if (mustPack()) {
    const double Wanted =
        std::ceil(PlainLoad / (config::RolloutPackedLoad * TargetSlots));
    return std::min(All,
                    std::max<std::size_t>(1, static_cast<std::size_t>(Wanted)));
  }
  const auto Wanted = static_cast<std::size_t>(
      std::ceil(targetShare(Now, leadTime()) * static_cast<double>(All)));
  return std::min(std::max(Wanted, config::RolloutMinEndpoints), All);
}

std::size_t version_shift::firstEndpointInUse(mono_time Now) const {
  return mustPack() ? static_cast<std::size_t>(elapsed(Now) /
                                               config::RolloutPackedTime)
                    : 0;
}

void version_shift::observe(const attempt_sample &Sample, mono_time Now) {
  if (!isActive() || !OpenAttempts.observe(Sample, Now))
    return;
  OwnTally.add(Sample);
  if (!Sample.IsNew || Sample.Type == sample_type::Sent ||
      Sample.Type == sample_type::Ended)
    return;
  const bool WasStopped = !Verdict.empty();
  evaluate(Now);
  HasUnreportedFailure = HasUnreportedFailure ||
                         Sample.Type == sample_type::Failed ||
                         (!WasStopped && !Verdict.empty());
}

void version_shift::evaluate(mono_time Now) {
  if (!Verdict.empty() || !isActive())
    return;
  const auto [Counted, OpenAges] = Reports.combined(report(Now));
  TotalRequests = Counted.sent();
  TargetRequests = Counted.sentToNew();
  EvaluatedAt = Now;
  PlainLoad = plainLoad(Counted, Now);
  const version_tally Whole = Counted.withOpen(OpenAges);
  Verdict = verdictOn(Whole);
  updateFinalStep(Now);
  if (elapsed(Now) < finalStepTime() - leadTime()) {
    TallyBeforeFinalStep = Counted;
    return;
  }
  // Failure: a version turns bad with the final step. Its good answers before
  // the step would hide this until it is completed, and then no other version
  // is left.
  const version_tally Recent = Whole.newSince(TallyBeforeFinalStep);
  if (Verdict.empty())
    Verdict = verdictOn(Recent);
  NeedsAnswers = Whole.openPartOfNew() > MaxOpenPart || isSuspicious(Whole) ||
                 isSuspicious(Recent);
}

// By Little's law.
double version_shift::plainLoad(const version_tally &Whole,
                                mono_time Now) const {
  const auto Time = meanPlainTime(Whole);
  const double Seen = std::chrono::duration<double>(Now - OrderedAt).count();
  if (!Time || Seen <= 0)
    return 0;
  return static_cast<double>(Whole.sent()) / Seen *
         std::chrono::duration<double>(*Time).count();
}

version_shift::evidence version_shift::collectEvidence(mono_time Now) const {
  evidence Evidence;
  const auto [Counted, OpenAges] = Reports.combined(report(Now));
  Evidence.Whole = Counted.withOpen(OpenAges);
  if (elapsed(Now) >= finalStepTime() - leadTime())
    Evidence.SinceFinalStep = Evidence.Whole.newSince(TallyBeforeFinalStep);
  Evidence.ReportsAge = Now - ReportsReadAt;
  return Evidence;
}

rollout_report version_shift::report(mono_time Now) const {
  rollout_report Report;
  Report.Vm = Vm;
  Report.Incarnation = Incarnation;
  Report.Service = Order->Service;
  Report.Target = Order->Target;
  Report.OrderOffset = Order->Offset;
  Report.Elapsed = elapsed(Now);
  Report.Tally = OwnTally;
  Report.OpenAges = OpenAttempts.ages(Now);
  Report.Verdict = Verdict;
  return Report;
}

bool version_shift::needsFastReports(mono_time Now) const {
  const duration PastStep = elapsed(Now) - finalStepTime();
  return !Verdict.empty() ||
         (PastStep > -duration(config::RolloutReportPeriod) &&
          PastStep < config::RolloutFastReportTime);
}

// The old endpoints stop as soon as the order is completed: their running
// requests are cut off, and if the new version turns out to be bad no other is
// left. So the order is completed as late as its deadline allows, based on all
// answers until then. A lost end is written only after its order, since VMs
// that read it earlier would begin that order anew.
std::optional<rollout_state> version_shift::dueStatus(mono_time Now) const {
  if (!IsStatusKnown || !(isActive() || mustRestoreStatus()))
    return std::nullopt;
  if (FinalState)
    return FinalState;
  if (!Verdict.empty())
    return rollout_state::RolledBack;
  if (!HasStatus)
    return rollout_state::InProgress;
  const duration Elapsed = elapsed(Now);
  duration Last = Order->Length - config::RolloutDeadlineMargin;
  // Failure: the store is unreachable at the final step and back near the
  // deadline. All sessions move at once, and how the new version handles them
  // isn't known yet. Exceeding the deadline does less harm than completing a
  // bad version.
  if (ReportsFreshSince > OrderedAt + finalStepTime())
    Last = std::max<duration>(Last, ReportsFreshSince - OrderedAt +
                                        config::RolloutLateStepWait);
  // Completion can't be reverted. It needs the final step and recent reports,
  // and waits for a limited time while more answers are needed.
  if (targetShare(Now) < 1 || !hasFreshReports(Now) ||
      (NeedsAnswers && Elapsed < Last + config::RolloutSuspicionHold))
    return std::nullopt;
  return Elapsed >= Last ? std::optional(rollout_state::Completed)
                         : std::nullopt;
}

} // namespace clementinelane
