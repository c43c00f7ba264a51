#include "routed_request.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <utility>

namespace clementinelane {

namespace {

constexpr std::string_view AnyModel = "*";
/// Failed direct connections after which a request prefers peers. A single
/// endpoint may be down; several at once suggest that this VM's links are lost.
constexpr unsigned DirectFailuresBeforePeers = 2;
/// Failed tunnels after which a request is given up.
constexpr unsigned MaxTunnelFailures = 3;

bool wasSent(exchange_failure Failure) {
  return Failure == exchange_failure::NoAnswer ||
         Failure == exchange_failure::BrokenAnswer;
}

/// Whether an attempt with this result may have run at its endpoint.
bool mayHaveRun(attempt_result Result) {
  return Result != attempt_result::Full && Result != attempt_result::Replaced &&
         Result != attempt_result::Unreachable &&
         Result != attempt_result::Refused &&
         Result != attempt_result::Untunnelled;
}

/// Whether the endpoint is in one of the regions; an empty list allows all.
bool isInRegions(const std::vector<std::string> &Regions,
                 const endpoint_info &Endpoint) {
  return Regions.empty() || std::find(Regions.begin(), Regions.end(),
                                      Endpoint.Region) != Regions.end();
}

/// The last part belongs to the request or its session.
std::vector<std::uint64_t> sharedParts(const call_metadata &Metadata) {
  std::vector<std::uint64_t> Hashes;
  for (std::size_t Each = 0; Each + 1 < Metadata.Parts.size(); ++Each)
    Hashes.push_back(partHash(Metadata.Parts[Each].Id));
  return Hashes;
}

std::string_view nameOf(exchange_failure Failure) {
  switch (Failure) {
  case exchange_failure::NotConnected:
    return "not_connected";
  case exchange_failure::Unanswered:
    return "connection_unanswered";
  case exchange_failure::PeerUnavailable:
    return "peer_unavailable";
  case exchange_failure::NoAnswer:
    return "no_answer";
  case exchange_failure::BrokenAnswer:
    return "broken_answer";
  case exchange_failure::TunnelBroken:
    return "tunnel_broken";
  }
  return "";
}

} // namespace

std::uint64_t sessionHash(const call_metadata &Metadata) {
  return stableHash(Metadata.Session.empty() ? Metadata.Id : Metadata.Session);
}

std::uint64_t affinityHash(const call_metadata &Metadata) {
  // The last part is specific to the request or session. The id of the part
  // before it stands for the whole shared prefix, since a cached part is only
  // usable if all parts before it match.
  if (Metadata.Parts.size() < 2)
    return sessionHash(Metadata);
  return stableHash(Metadata.Parts[Metadata.Parts.size() - 2].Id);
}

routed_request::routed_request(routed_call Call, request_context &Context,
                               request_outputs &Outputs)
    : Call(std::move(Call)), SharedParts(sharedParts(this->Call.Metadata)),
      Context(Context), Outputs(Outputs),
      LastEvent(this->Call.Metadata.ResumeFrom) {}

bool routed_request::isQuarantined() const {
  return Context.Quarantine.isQuarantined(Call.Digest) ||
         Context.Parts.isQuarantined(SharedParts);
}

// A part that crashes endpoints may do so after any number of events.
void routed_request::reportBrokenConnection() {
  Context.OnConnectionBroken(Attempt->Endpoint, Attempt->Peer,
                             {Call.Digest, SharedParts});
}

bool routed_request::choosesModel() const {
  return !Call.Route->Models.empty() && Call.Metadata.Model == AnyModel;
}

request_rank routed_request::rank() const {
  const unsigned Route = Call.Route->Priority;
  return {std::min(Call.Customer.Priority.value_or(Route),
                   request_rank::MaxPriority),
          std::min(Route, request_rank::MaxPriority)};
}

mono_time routed_request::callerDeadline() const {
  return Call.ArrivedAt +
         Call.Metadata.Remaining.value_or(duration(Call.Route->Timeout));
}

mono_time routed_request::effectiveDeadline() const {
  return std::min(callerDeadline(), Call.ArrivedAt + Call.Route->Timeout);
}

void routed_request::begin(mono_time Now) {
  Context.Budget.recordRequest(Call.Service, Now);
  if (isQuarantined()) {
    refuseQuarantined(run_state::NotRun, Now);
    return;
  }
  if (isStream())
    Context.Mix.recordRequest(Call.Service, rank(), Call.Route->TargetLatency);
  if (passesGate(Now))
    beginSending(Now);
}

gate_request routed_request::gateRequest(mono_time Now) const {
  gate_request Request =
      gateRequestOf(Call, rank().order(), maxRetryAfter(Now));
  Request.IsFull = Context.Gate.shares().isShort(Request.Key.Service, Now) &&
                   Context.Choice.occupancyOf(Call.Service).busyPart() >=
                       config::FullServicePart;
  return Request;
}

bool routed_request::passesGate(mono_time Now) {
  const gate_decision Decision = Context.Gate.offer(gateRequest(Now), Now);
  if (Decision.Action == gate_action::Send)
    return true;
  Outputs.logGate(Decision, rank().Priority);
  if (Decision.Action == gate_action::Wait) {
    RetryAt = Now + Decision.Time;
    return false;
  }
  finish();
  Outputs.refuse({error_kind::QuotaExceeded, run_state::NotRun, Decision.Time});
  return false;
}

void routed_request::beginSending(mono_time Now) {
  if (version_shift *Shift = Context.ShiftOf(Call.Service)) {
    if (defersAttempt(*Shift, Now))
      return;
    assignVersion(*Shift, Now);
  }
  if (choosesModel())
    chooseFirstModel(Now);
  if (effectiveDeadline() - Now < config::MinAttemptTime) {
    refuse(error_kind::DeadlineTooShort, run_state::NotRun, Now);
    return;
  }
  sendAttempt(Now);
}

// Never defers once an attempt may have run: answering the caller is worth more
// than keeping the session's version.
bool routed_request::defersAttempt(const version_shift &Shift, mono_time Now) {
  return !AnyMayHaveRun &&
         (startsSessionLookup(Shift, Now) || waitsForSessionExpiry(Shift, Now));
}

bool routed_request::startsSessionLookup(const version_shift &Shift,
                                         mono_time Now) {
  if (IsLookedUp || !Shift.needsLookup(Call.Metadata.Session,
                                       sessionHash(Call.Metadata), Now))
    return false;
  IsLookingUp = true;
  Outputs.lookUpSession();
  return true;
}

void routed_request::onSessionLookedUp(bool IsAnswered, mono_time Now) {
  if (IsOver || !std::exchange(IsLookingUp, false))
    return;
  IsLookedUp = true;
  if (!IsAnswered) {
    Outputs.logDecision("refused", "session_unknown", "");
    refuse(error_kind::SessionStateUnavailable, run_state::NotRun, Now);
    return;
  }
  beginSending(Now);
}

// The caller gets a Retry-After with the time until its session expires. If the
// caller wouldn't honour so long a time, and can still be served within its
// target latency afterwards, the request waits here instead.
bool routed_request::waitsForSessionExpiry(const version_shift &Shift,
                                           mono_time Now) {
  const auto Lapse = Shift.placementDelay(Call.Metadata.Session,
                                          sessionHash(Call.Metadata), Now);
  if (!Lapse)
    return false;
  if (*Lapse > maxRetryAfter(Now) &&
      *Lapse + Call.Route->TargetLatency <= effectiveDeadline() - Now) {
    Outputs.logDecision("waits", "session_without_version", "");
    RetryAt = Now + *Lapse;
    return true;
  }
  finish();
  Outputs.refuse({error_kind::NoVersionActive, run_state::NotRun, *Lapse});
  return true;
}

duration routed_request::maxRetryAfter(mono_time Now) const {
  return std::max(duration::zero(),
                  (callerDeadline() - Now) / config::RetryAfterDivisor);
}

// Evaluated for each attempt, since the session may have moved while this
// request waited or ran elsewhere. A stream that has started keeps its version.
void routed_request::assignVersion(const version_shift &Shift, mono_time Now) {
  const std::uint64_t Hash = sessionHash(Call.Metadata);
  const version_side Before =
      std::exchange(Side, Shift.sideFor(Call.Metadata.Session, Hash, Now));
  const bool IsNews = !std::exchange(IsPlaced, true) || Side != Before;
  if (IsNews && Shift.isActive() && !Call.Metadata.Session.empty())
    Outputs.logPlacement({Hash, Side, Shift.sessionInfo(Hash, Now)});
}

endpoint_request routed_request::choiceRequestFor(std::size_t ModelIndex,
                                                  mono_time Now) const {
  const version_shift *Shift = Context.ShiftOf(Call.Service);
  endpoint_request Request;
  Request.Service = Call.Service;
  if (isStream()) {
    Request.Model =
        choosesModel() ? Call.Route->Models[ModelIndex] : Call.Metadata.Model;
    const call_work Work = workOf(Call.Metadata, paceOf(ModelIndex));
    Request.Work = Work.Prompt + Work.Answer;
    Request.AnswerWork = Work.Answer;
    Request.SharedWork = Work.Shared;
  }
  Request.Affinity = affinityHash(Call.Metadata);
  Request.Excluded = Excluded;
  Request.Unconnected = Unconnected;
  Request.WasRejected = WasRejected;
  Request.PrefersPeers = ConnectFailures >= DirectFailuresBeforePeers;
  Request.IsAllowed = [this, Shift, Now](const endpoint_info &Info) {
    if (!isInRegions(Call.Route->Regions, Info) ||
        !isInRegions(Call.Customer.Regions, Info))
      return false;
    if (!PinnedVersion.empty() && Info.Version != PinnedVersion)
      return false;
    if (!Shift)
      return true;
    return Shift->allows(Info.Version, Side) &&
           (Side == version_side::Old || IsBeyondCanary ||
            Shift->allowsEndpoint(Info.Id, Now));
  };
  return Request;
}

std::optional<chosen_endpoint> routed_request::chooseEndpoint(mono_time Now) {
  endpoint_request Request = choiceRequestFor(Model, Now);
  if (auto Found = Context.Choice.choose(Request, Now))
    return Found;
  // Fall back to endpoints that failed this request before, then to other
  // endpoints or versions.
  Request.Excluded = {};
  Request.Unconnected = {};
  if (auto Found = Context.Choice.choose(Request, Now))
    return Found;
  if (!PinnedVersion.empty())
    return chooseWithoutPin(Now);
  if (Side == version_side::Old)
    return std::nullopt;
  return chooseBeyondCanary(Now);
}

// A session that can't fall back may use target endpoints outside the canary.
// Other requests run on the old version rather than not at all.
std::optional<chosen_endpoint>
routed_request::chooseBeyondCanary(mono_time Now) {
  const version_shift *Shift = Context.ShiftOf(Call.Service);
  if (!Shift || Shift->mayFallBack(Call.Metadata.Session)) {
    Outputs.logDecision("old_version_instead", "no_endpoint_of_target", "");
    Side = version_side::Old;
  } else {
    IsBeyondCanary = true;
  }
  return Context.Choice.choose(choiceRequestFor(Model, Now), Now);
}

// Failure: a roll-out completes and the old endpoints stop with open streams.
// No endpoint of that version is left, so the stream resumes on the new version
// instead of being cut off.
std::optional<chosen_endpoint> routed_request::chooseWithoutPin(mono_time Now) {
  const version_shift *Shift = Context.ShiftOf(Call.Service);
  if (!Shift || Shift->isActive() ||
      Shift->allows(PinnedVersion, version_side::Old))
    return std::nullopt;
  PinnedVersion.clear();
  Side = version_side::Old;
  return Context.Choice.choose(choiceRequestFor(Model, Now), Now);
}

// Once false it stays false: the body is released then, and no attempt may
// start without it.
bool routed_request::mayRunAgain() const {
  return !HasBegunPlain && (!AnyMayHaveRun || Call.Route->isRetryable());
}

void routed_request::releaseUnneededBody() {
  if (!mayRunAgain())
    Call.Body.reset();
}

void routed_request::sendAttempt(mono_time Now) {
  if (!mayRunAgain()) {
    giveUp("may_have_run", Now);
    return;
  }
  // Failure: the customer's key is revoked while the VM is suspended or cut off
  // from the platform. Checked for each attempt.
  if (!Call.Route->IsPublic && Call.Table->HasCustomers &&
      !Context.AreKeysValid(Now)) {
    giveUp("keys_too_old", Now);
    return;
  }
  if (isQuarantined()) {
    giveUp("quarantined", Now);
    return;
  }
  if (const version_shift *Shift = Context.ShiftOf(Call.Service);
      Shift && PinnedVersion.empty()) {
    if (defersAttempt(*Shift, Now))
      return;
    assignVersion(*Shift, Now);
  }
  const auto Endpoint = chooseEndpoint(Now);
  if (!Endpoint) {
    if (!waitsForEndpoint(Now) && !waitsForRateLimit(Now))
      giveUp("no_endpoint", Now);
    return;
  }
  Attempt = attempt{};
  Attempt->Endpoint = *Endpoint;
  Attempt->Peer = Endpoint->Peer;
  Attempt->Work = workOf(Call.Metadata, paceOf(Model));
  Attempt->WorkLeft = Attempt->Work.Prompt + Attempt->Work.Answer;
  Attempt->Model = Model;
  Attempt->Ahead = Endpoint->Ahead;
  Attempt->SentAt = Now;
  FirstSentAt = FirstSentAt.value_or(Now);
  Splitter.reset();
  ++SentAttempts;
  recordSample(sample_type::Sent, Now);
  attempt_spec Spec;
  Spec.Endpoint = *Endpoint;
  Spec.Peer = Endpoint->Peer;
  Spec.Model = choosesModel() ? Call.Route->Models[Model] : std::string{};
  Spec.ResumeFrom = LastEvent;
  Spec.Remaining = effectiveDeadline() - Now;
  Spec.Urgency = urgencyOf(
      Attempt->Work,
      Context.Mix.tolerance(Call.Service, rank(), Call.Route->TargetLatency));
  Spec.Number = SentAttempts;
  Spec.ConnectTimeout = Context.Choice.connectTimeout(*Endpoint);
  Outputs.startAttempt(Spec);
}

void routed_request::endAttempt(attempt_result Result, mono_time Now) {
  if (!Attempt)
    return;
  std::optional<duration> FirstByte;
  if (Attempt->HeadAt)
    FirstByte = *Attempt->HeadAt - Attempt->SentAt;
  else if (Result == attempt_result::Cancelled)
    FirstByte = Now - Attempt->SentAt; // lower bound of its latency
  if (FirstByte && !Attempt->HeadAt && Attempt->IsSent)
    recordSample(sample_type::FirstByte, Now, *FirstByte);
  if (Result == attempt_result::Cancelled && Attempt->FirstEventAt &&
      Attempt->Events < config::RolloutMeasuredEvents)
    recordSample(sample_type::EventInterval, Now,
                 (Now - *Attempt->FirstEventAt) /
                     (config::RolloutMeasuredEvents - 1));
  if (Attempt->IsSent && mayHaveRun(Result))
    recordSample(sample_type::AnswerTime, Now, Now - Attempt->SentAt);
  recordSample(sample_type::Ended, Now);
  if (Attempt->IsSent && mayHaveRun(Result)) {
    if (!Attempt->HeadAt)
      Context.Gate.shares().recordRun(digestHash(Call.Service), Now);
    beginRun(Now);
  }
  endRun(Now);
  Context.Choice.attemptEnded(Attempt->Endpoint.Id, Attempt->WorkLeft, Result,
                              FirstByte, Now);
}

void routed_request::recordSample(sample_type Kind, mono_time Now,
                                  duration Time) {
  version_shift *Shift = Context.ShiftOf(Call.Service);
  if (!Shift || !Shift->isActive() || !Attempt)
    return;
  if (Kind == sample_type::Sent)
    Attempt->Sampled = Shift->newAttempt();
  // Requests that were open when the order came are the long ones.
  if (Attempt->Sampled == 0)
    return;
  Shift->observe({Call.Route->Name + "|" + std::to_string(Attempt->Model),
                  Shift->isTarget(Attempt->Endpoint.Version), Kind, Time,
                  Attempt->Sampled},
                 Now);
}

void routed_request::onSent(mono_time Now) {
  if (!Attempt)
    return;
  Attempt->IsSent = true;
  Attempt->LastReceivedAt = Now;
  HasPaidForRetry = false;
  if (Attempt->Peer.empty())
    Context.Choice.connected(Attempt->Endpoint, Now - Attempt->SentAt, Now);
  else
    Context.Choice.connectedThroughPeer(Attempt->Endpoint, Now);
}

void routed_request::onHead(endpoint_response Response, mono_time Now) {
  if (IsOver || !Attempt)
    return;
  Attempt->HeadAt = Now;
  Attempt->LastReceivedAt = Now;
  Attempt->Response = std::move(Response);
  const endpoint_response &Head = *Attempt->Response;
  updateRateLimit(Head, Now);
  updateRejectionLimit(Head, Now);
  if (Head.IsLeaving)
    Context.OnLeaving(Attempt->Endpoint);
  updatePause(Head, Now);
  if (Head.IsNotExecuted) {
    if (!Head.IsMisdirected)
      Context.Gate.shares().recordRejection(digestHash(Call.Service), Now);
    WasRejected = WasRejected || !Head.IsMisdirected;
    failAttempt(Head.IsMisdirected ? attempt_result::Replaced
                                   : attempt_result::Full,
                false, Head.IsMisdirected ? "elsewhere" : "endpoint_full", Now);
    return;
  }
  AnyMayHaveRun = true;
  releaseUnneededBody();
  Context.Gate.shares().recordRun(digestHash(Call.Service), Now);
  beginRun(Now);
  recordSample(sample_type::FirstByte, Now, Now - Attempt->SentAt);
  Context.Choice.reportProgress(Attempt->Endpoint.Id,
                                Attempt->WorkLeft - Attempt->Work.Answer);
  Attempt->WorkLeft = Attempt->Work.Answer;
  if (Head.isSuccess() && Head.HasSignature && !Head.IsEncoded) {
    onSuccessHead(Now);
    return;
  }
  if (Head.isSuccess()) {
    failAttempt(attempt_result::Broken, true, "not_the_endpoints_answer", Now);
    return;
  }
  // The endpoint reported an error. If no other endpoint can be tried, the
  // error is forwarded to the caller once its body is complete.
  const bool CanRetry = Call.Route->isRetryable() && mayAttempt(Now) &&
                        Context.Budget.available(Call.Service, Now) >= 1;
  if (HasBegunResponse || CanRetry)
    failAttempt(attempt_result::Failed, true, "endpoint_failed", Now);
}

// An error without a limit may come from a component of the endpoint that
// doesn't know the limit, so only a success without one clears it.
void routed_request::updateRateLimit(const endpoint_response &Head,
                                     mono_time Now) {
  const auto Limit = Head.RequestsPerSecond;
  const bool SaysLimit = Limit || (Head.isSuccess() && Head.HasSignature);
  if (Head.IsMisdirected || !SaysLimit ||
      !Context.Choice.recordLimit(Attempt->Endpoint.Id, Limit, Now))
    return;
  Outputs.logDecision("endpoint_limited",
                      Limit ? std::to_string(*Limit) : "no_longer",
                      Attempt->Endpoint.Id);
}

void routed_request::updateRejectionLimit(const endpoint_response &Head,
                                          mono_time Now) {
  const auto Limit = Head.RejectionsPerSecond;
  const bool SaysLimit = Limit || (Head.isSuccess() && Head.HasSignature);
  if (Head.IsMisdirected || !SaysLimit ||
      !Context.Choice.recordRejectionLimit(Call.Service, Limit, Now))
    return;
  Outputs.logDecision("rejections_limited",
                      Limit ? std::to_string(*Limit) : "no_longer",
                      Call.Service);
}

void routed_request::updatePause(const endpoint_response &Head, mono_time Now) {
  if (!Head.RetryAfterSeconds)
    return;
  const duration Pause = pauseTime(*Head.RetryAfterSeconds);
  Context.Choice.pause(Attempt->Endpoint.Id, Pause, Now);
  if (!Attempt->Peer.empty())
    Context.OnPausedThroughPeer(Attempt->Endpoint, Attempt->Peer, Pause);
  Outputs.logDecision("endpoint_paused",
                      std::to_string(*Head.RetryAfterSeconds),
                      Attempt->Endpoint.Id);
}

void routed_request::onSuccessHead(mono_time Now) {
  if (!isStream())
    return;
  Context.Pace.observe(Call.Service,
                       choosesModel() ? Call.Route->Models[Model]
                                      : Call.Metadata.Model,
                       Attempt->Ahead, Now - Attempt->SentAt);
  if (choosesModel() && !HasBegunResponse && Attempt->Response->Confidence)
    updateQuality(*Attempt->Response->Confidence);
  if (!HasBegunResponse && escalatesModel(Now)) {
    recordSample(sample_type::Answered, Now);
    endAttempt(attempt_result::Cancelled, Now);
    Outputs.cancelAttempt();
    Attempt.reset();
    sendAttempt(Now);
  }
}

double routed_request::paceOf(std::size_t ModelIndex) const {
  return Context.Pace.of(Call.Service, choosesModel()
                                           ? Call.Route->Models[ModelIndex]
                                           : Call.Metadata.Model);
}

double routed_request::priorQuality(std::size_t ModelIndex) const {
  return answer_quality::prior(ModelIndex, Call.Route->Models.size());
}

void routed_request::updateQuality(double Confidence) {
  const std::string &Name = Call.Route->Models[Model];
  const double Prior = priorQuality(Model);
  if (!DroppedAnswer) {
    Context.Quality.observe(Call.Service, Name, Prior, Confidence);
    return;
  }
  const double Asked = Context.Quality.of(
      Call.Service, Call.Route->Models[DroppedAnswer->Model], Prior);
  Context.Quality.observeEscalated(Call.Service, Name, Prior, Confidence, Asked,
                                   DroppedAnswer->Confidence);
}

std::vector<model_option> routed_request::modelOptions(mono_time Now) const {
  const std::vector<std::string> &Names = Call.Route->Models;
  std::vector<model_quote> Quotes(Names.size());
  for (std::size_t I = 0; I < Names.size(); ++I) {
    const endpoint_request Choice = choiceRequestFor(I, Now);
    const auto Endpoint = Context.Choice.peek(Choice, Now);
    model_quote &Quote = Quotes[I];
    Quote.Quality = Context.Quality.of(Call.Service, Names[I], priorQuality(I));
    Quote.CostPerThousandTokens = Call.Table->priceOf(Call.Service, Names[I]);
    Quote.Work = Choice.Work;
    Quote.Wait = Context.Pace.predict(
        Call.Service, Names[I], Endpoint ? Endpoint->Ahead : work_ahead{});
  }
  return optionsOf(Call.Metadata, Quotes);
}

cascade_view routed_request::cascadeView(std::span<const model_option> Options,
                                         mono_time Now) const {
  cascade_view View;
  View.Models = Options;
  View.TimeToTarget = Call.ArrivedAt + Call.Route->TargetLatency - Now;
  View.TimeToDeadline = effectiveDeadline() - Now;
  const duration Wait = Context.Pace.backlogWait(
      Call.Service, Context.Choice.meanOutstandingWork(Call.Service));
  View.EngineTimePrice = Context.Mix.delayCost(Call.Service, rank(),
                                               Call.Route->TargetLatency, Wait);
  View.MayEscalate = Call.Route->isRetryable() &&
                     SentAttempts + 2 <= Call.Route->MaxAttempts &&
                     Context.Budget.available(Call.Service, Now,
                                              config::CascadeBudgetShare) >= 1;
  return View;
}

void routed_request::chooseFirstModel(mono_time Now) {
  const auto Options = modelOptions(Now);
  Model = Context.Cascade.firstModel(cascadeView(Options, Now));
}

bool routed_request::escalatesModel(mono_time Now) {
  const endpoint_response &Head = *Attempt->Response;
  if (!choosesModel() || !Head.Confidence ||
      SentAttempts >= Call.Route->MaxAttempts)
    return false;
  const first_answer Answer{Model, *Head.Confidence};
  const auto Options = modelOptions(Now);
  const std::size_t Next =
      Context.Cascade.nextModel(cascadeView(Options, Now), Answer);
  if (Next == Model)
    return false;
  if (!mayRunAgain()) {
    Outputs.logDecision("kept_weak_answer", "may_run_once",
                        Attempt->Endpoint.Id);
    return false;
  }
  if (!mayRunAfterOrder(Now)) {
    Outputs.logDecision("kept_weak_answer", "session_before_order",
                        Attempt->Endpoint.Id);
    return false;
  }
  if (!Context.Budget.tryAcquire(Call.Service, Now,
                                 config::CascadeBudgetShare)) {
    Outputs.logDecision("kept_weak_answer", "repeat_budget",
                        Attempt->Endpoint.Id);
    return false;
  }
  Outputs.logDecision("other_model", "low_confidence",
                      Call.Route->Models[Next]);
  HasPaidForRetry = true;
  DroppedAnswer = Answer;
  Model = Next;
  return true;
}

bool routed_request::mayRunAfterOrder(mono_time Now) const {
  const version_shift *Shift = Context.ShiftOf(Call.Service);
  return !Shift ||
         !Shift->forbidsRerun(Call.Metadata.Session, *FirstSentAt, Now);
}

void routed_request::onBody(std::string_view Bytes, mono_time Now) {
  if (IsOver || !Attempt || !Attempt->Response)
    return;
  Attempt->LastReceivedAt = Now;
  if (isStream() && Attempt->Response->isSuccess()) {
    Splitter.add(Bytes);
    forwardEvents(Now);
    if (Splitter.pending() > config::MaxAnswerBufferBytes)
      onEventTooLong(Now);
    return;
  }
  if (Attempt->IsForwarded) {
    Outputs.writeStream(Bytes);
    return;
  }
  Attempt->Body += Bytes;
  if (Attempt->Body.size() > config::MaxAnswerBufferBytes ||
      Context.IsMemoryShort())
    forwardAnswer(Now);
}

// Load: an event that never ends. Harm prevented: it fills the memory until the
// caller's deadline, and the caller gets no answer.
void routed_request::onEventTooLong(mono_time Now) {
  if (!IsOver && Attempt)
    failAttempt(attempt_result::Broken, true, "answer_too_long", Now);
}

// Load: long answers to many callers. Harm prevented: held back as a whole they
// fill the memory, and cut at a size they are lost although they ran. An error
// that isn't the endpoint's is answered without its body.
void routed_request::forwardAnswer(mono_time Now) {
  if (!Attempt->Response->HasSignature) {
    Outputs.cancelAttempt();
    onEnd(Now);
    return;
  }
  const std::string Body = std::exchange(Attempt->Body, {});
  Attempt->IsForwarded = true;
  HasBegunResponse = true;
  HasBegunPlain = true;
  releaseUnneededBody();
  Outputs.beginAnswer(*Attempt->Response);
  Outputs.writeStream(Body);
}

std::size_t routed_request::heldAnswerBytes() const {
  return (Attempt ? Attempt->Body.size() : 0) + Splitter.pending();
}

void routed_request::onReadingPaused() {
  if (Attempt)
    Attempt->IsPaused = true;
}

void routed_request::onReadingResumed(mono_time Now) {
  if (!Attempt)
    return;
  Attempt->IsPaused = false;
  Attempt->LastReceivedAt = Now;
}

void routed_request::forwardEvents(mono_time Now) {
  std::string Whole;
  while (auto Event = Splitter.next()) {
    // Failure: an endpoint resumes from an earlier event and the caller gets
    // events twice.
    if (Event->Id && LastEvent && *Event->Id <= *LastEvent)
      continue;
    if (Event->Id)
      LastEvent = Event->Id;
    if (!Attempt->FirstEventAt) {
      Attempt->FirstEventAt = Now;
      recordSample(sample_type::FirstEvent, Now);
    }
    if (++Attempt->Events == config::RolloutMeasuredEvents)
      recordSample(sample_type::EventInterval, Now,
                   (Now - *Attempt->FirstEventAt) /
                       (config::RolloutMeasuredEvents - 1));
    Whole += Event->Bytes;
  }
  if (Whole.empty())
    return;
  LastForwardedAt = Now;
  if (!HasBegunResponse) {
    HasBegunResponse = true;
    PinnedVersion = Attempt->Endpoint.Version;
    Outputs.beginStream(*Attempt->Response);
  }
  Outputs.writeStream(Whole);
}

void routed_request::onEnd(mono_time Now) {
  if (IsOver || !Attempt || !Attempt->Response)
    return;
  const endpoint_response Response = *Attempt->Response;
  const bool IsCut =
      isStream() && Response.isSuccess() && Splitter.pending() > 0;
  if (IsCut) {
    reportBrokenConnection();
    failAttempt(attempt_result::Broken, true, "ends_within_event", Now);
    return;
  }
  if (Response.isSuccess()) {
    Context.Quarantine.markServed(Call.Digest, Now);
    Context.Parts.markServed(SharedParts, Now);
  }
  recordSample(
      Response.isSuccess() ? sample_type::Answered : sample_type::Failed, Now);
  endAttempt(Response.isSuccess() ? attempt_result::Served
                                  : attempt_result::Failed,
             Now);
  const std::string Body = std::move(Attempt->Body);
  const bool IsForwarded = Attempt->IsForwarded;
  Attempt.reset();
  finish();
  if (IsForwarded) {
    Outputs.logDecision(
        "answered", Response.isSuccess() ? "served" : "endpoint_failed", "");
    Outputs.endStream();
    return;
  }
  if (!isStream() || !Response.isSuccess()) {
    Outputs.logDecision(
        "answered", Response.isSuccess() ? "served" : "endpoint_failed", "");
    if (Response.HasSignature)
      Outputs.sendResponse(Response, Body);
    else
      Outputs.refuse({error_kind::EndpointFailed, run_state::MayHaveRun, {}});
    return;
  }
  if (!HasBegunResponse)
    Outputs.beginStream(Response);
  Outputs.logDecision("answered", "served", "");
  Outputs.endStream();
}

void routed_request::onFailure(exchange_failure Failure, mono_time Now) {
  if (IsOver || !Attempt)
    return;
  if (Failure == exchange_failure::TunnelBroken) {
    onTunnelBroken(Now);
    return;
  }
  if (!wasSent(Failure)) {
    onConnectFailure(Failure, Now);
    return;
  }
  reportBrokenConnection();
  failAttempt(attempt_result::Broken, true, nameOf(Failure), Now);
}

// Failure: the VM that tunnels this attempt dies. Neither the endpoint's health
// nor its version nor the request must suffer from it, while the endpoint may
// have run the request.
void routed_request::onTunnelBroken(mono_time Now) {
  Context.Choice.paths().tunnelFailed(Attempt->Peer, Attempt->Endpoint,
                                      tunnel_failure::PeerUnavailable, Now);
  AnyMayHaveRun = true;
  Outputs.logDecision("attempt_failed", nameOf(exchange_failure::TunnelBroken),
                      Attempt->Endpoint.Id);
  endAttempt(attempt_result::Cancelled, Now);
  Outputs.cancelAttempt();
  Attempt.reset();
  retryOrGiveUp(nameOf(exchange_failure::TunnelBroken), Now);
}

void routed_request::onConnectFailure(exchange_failure Failure, mono_time Now) {
  --SentAttempts; // the endpoint received nothing
  if (Attempt->Peer.empty()) {
    ++ConnectFailures;
    failAttempt(Failure == exchange_failure::NotConnected
                    ? attempt_result::Refused
                    : attempt_result::Unreachable,
                false, nameOf(Failure), Now);
    return;
  }
  ++TunnelFailures;
  Context.Choice.tunnelFailed(Attempt->Peer, Attempt->Endpoint,
                              Failure == exchange_failure::PeerUnavailable
                                  ? tunnel_failure::PeerUnavailable
                                  : tunnel_failure::EndpointUnreachable,
                              Now);
  failAttempt(attempt_result::Untunnelled, false, nameOf(Failure), Now);
}

// A peer may reach an endpoint that this VM failed to connect to, and another
// peer one whose tunnel failed, so these stay candidates.
void routed_request::excludeEndpoint(attempt_result Result) {
  if (Result == attempt_result::Untunnelled)
    return;
  const bool IsConnectFailure = Result == attempt_result::Unreachable ||
                                Result == attempt_result::Refused;
  (IsConnectFailure ? Unconnected : Excluded).push_back(Attempt->Endpoint.Id);
}

void routed_request::failAttempt(attempt_result Result, bool MayHaveRun,
                                 std::string_view Reason, mono_time Now) {
  if (MayHaveRun) {
    AnyMayHaveRun = true;
    recordSample(sample_type::Failed, Now);
  }
  Outputs.logDecision("attempt_failed", Reason, Attempt->Endpoint.Id);
  excludeEndpoint(Result);
  endAttempt(Result, Now);
  Outputs.cancelAttempt();
  Attempt.reset();
  retryOrGiveUp(Reason, Now);
}

bool routed_request::mayAttempt(mono_time Now) const {
  return SentAttempts < Call.Route->MaxAttempts &&
         ConnectFailures < config::MaxConnectFailures &&
         TunnelFailures < MaxTunnelFailures &&
         effectiveDeadline() - Now >= config::MinAttemptTime;
}

// Load: endpoints that fail many requests at once. Harm prevented: retries
// overload the remaining endpoints. A retry after a failed connect costs the
// service nothing and is free; any other is charged to the fleet's retry
// budget.
void routed_request::retryOrGiveUp(std::string_view Reason, mono_time Now) {
  const bool CanGoOn =
      !HasBegunResponse || (Call.Route->IsResumable && LastEvent);
  if (!mayRunAgain() || !CanGoOn) {
    giveUp(Reason, Now);
    return;
  }
  if (!mayAttempt(Now)) {
    if (!waitsForEndpoint(Now))
      giveUp(Reason, Now);
    return;
  }
  if (SentAttempts > 0 && !HasPaidForRetry &&
      !Context.Budget.tryAcquire(Call.Service, Now)) {
    giveUp("repeat_budget", Now);
    return;
  }
  HasPaidForRetry = SentAttempts > 0;
  sendAttempt(Now);
}

// Failure: a roll-out completes and all old endpoints stop with open streams
// before this VM has read that. Each refuses connections, the stream's version
// has no other endpoint, and the caller gets a truncated answer although the
// next read would show a usable endpoint. The stream therefore retries for a
// short time.
bool routed_request::waitsForEndpoint(mono_time Now) {
  const bool IsResumable = HasBegunResponse && !HasBegunPlain &&
                           Call.Route->IsResumable && LastEvent &&
                           SentAttempts < Call.Route->MaxAttempts;
  if (!IsResumable || Now - LastForwardedAt >= config::StreamRetryLimit ||
      effectiveDeadline() - Now < config::MinAttemptTime)
    return false;
  ConnectFailures = 0;
  TunnelFailures = 0;
  Excluded.clear();
  Unconnected.clear();
  RetryAt = Now + config::StreamRetryInterval;
  return true;
}

// Load: most endpoints are cold or rate-limited, and each VM has only a small
// share of their rate. Harm prevented: a request is refused although it could
// be sent after a wait too short for the caller to notice. A longer wait is
// left to the caller.
bool routed_request::waitsForRateLimit(mono_time Now) {
  const auto At =
      Context.Choice.nextSendTime(choiceRequestFor(Model, Now), Now);
  const mono_time Latest =
      Call.ArrivedAt + Call.Route->TargetLatency / config::UnnoticedWaitDivisor;
  if (!At || *At <= Now || *At > std::min(Latest, effectiveDeadline()))
    return false;
  Excluded.clear();
  RetryAt = *At;
  return true;
}

void routed_request::giveUp(std::string_view Reason, mono_time Now) {
  if (HasBegunResponse) {
    Outputs.logDecision("broken_off", Reason, "");
    finish();
    Outputs.abortStream();
    return;
  }
  if (Reason == "quarantined") {
    refuseQuarantined(AnyMayHaveRun ? run_state::MayHaveRun : run_state::NotRun,
                      Now);
    return;
  }
  Outputs.logDecision("refused", Reason,
                      Context.Choice.describePauses(Call.Service, Now));
  if (AnyMayHaveRun)
    refuse(error_kind::EndpointFailed, run_state::MayHaveRun, Now);
  else if (Reason == "keys_too_old")
    refuse(error_kind::NotReady, run_state::NotRun, Now);
  else if (Reason == "stopping")
    refuse(error_kind::Draining, run_state::NotRun, Now);
  else
    refuse(Reason == "no_endpoint" ? error_kind::NoEndpoint
                                   : error_kind::EndpointRefused,
           run_state::NotRun, Now);
}

// Retry-After is the full remaining quarantine, even if no caller waits that
// long, because an earlier retry would fail again.
void routed_request::refuseQuarantined(run_state Ran, mono_time Now) {
  Outputs.logDecision("refused", "quarantined", "");
  finish();
  const duration Left = Context.Quarantine.isQuarantined(Call.Digest)
                            ? Context.Quarantine.timeLeft(Call.Digest, Now)
                            : Context.Parts.timeLeft(SharedParts, Now);
  Outputs.refuse({error_kind::RequestQuarantined, Ran, Left});
}

// Load: many requests are refused at once and their callers retry at once. Harm
// prevented: the retries arrive together and overload the service again.
// Retry-After is jittered and limited to what a caller honours, a third of its
// remaining time: another VM may not have to wait. It includes the pause that
// all endpoints asked for.
void routed_request::refuse(error_kind Kind, run_state Ran, mono_time Now) {
  finish();
  const gate_request Request = gateRequest(Now);
  if (Kind == error_kind::EndpointRefused && WasRejected &&
      Context.Gate.isHolding(Request, Now)) {
    Outputs.refuse({Kind, Ran, Context.Gate.planReturn(Request, Now)});
    return;
  }
  const duration Base = answerOf(Kind).RetryAfter;
  const duration Pause =
      Ran == run_state::NotRun
          ? Context.Choice.pauseLeft(choiceRequestFor(Model, Now), Now)
                .value_or(duration::zero())
          : duration::zero();
  const auto Wait =
      Pause + std::chrono::duration_cast<duration>(
                  Base * (config::RetryJitterBase +
                          config::RetryJitterRange * Context.Jitter()));
  Outputs.refuse(
      {Kind, Ran, std::clamp(Wait, duration::zero(), maxRetryAfter(Now))});
}

void routed_request::finish() { IsOver = true; }

// A run is published only once an attempt may have run, since an endpoint may
// refuse it and the next attempt may use another version.
void routed_request::beginRun(mono_time Now) {
  version_shift *Shift = Context.ShiftOf(Call.Service);
  if (!Shift || Call.Metadata.Session.empty() || Attempt->IsRunPublished)
    return;
  Attempt->IsRunPublished = true;
  publishRun(*Shift, Now);
  Shift->beginRun(sessionHash(Call.Metadata), Attempt->Endpoint.Version, Now);
}

// Failure: the session's next request follows some seconds after the end of a
// long stream. If the TTL counted from the stream's start, the session would
// have expired and could get another version within one conversation.
void routed_request::endRun(mono_time Now) {
  version_shift *Shift = Context.ShiftOf(Call.Service);
  if (!Shift || !Attempt || !Attempt->IsRunPublished)
    return;
  Attempt->IsRunPublished = false;
  Shift->endRun(sessionHash(Call.Metadata), Now);
  publishRun(*Shift, Now);
}

void routed_request::publishRun(const version_shift &Shift, mono_time Now) {
  const std::uint64_t Hash = sessionHash(Call.Metadata);
  const std::string &Version = Attempt->Endpoint.Version;
  if (Shift.mustReportRun(Hash, Version, Now))
    Context.PublishRun(Call.Service, {Hash, versionHash(Version), Now});
}

// Failure: a data centre becomes unreachable during a stream. The stream's
// connection reports no error for seconds, while new connections to that
// endpoint already go unanswered; the caller sees a stall and misses its target
// or disconnects. Checked with each tick. A plain call isn't moved, because it
// may have run.
void routed_request::onTick(mono_time Now) {
  if (IsOver || !Attempt)
    return;
  if (!Attempt->IsSent) {
    recallAttempt(Now);
    return;
  }
  if (!isStream() || !Call.Route->isRetryable() || Attempt->IsPaused ||
      Now - Attempt->LastReceivedAt < config::UnreachableStreamTimeout ||
      !Context.Choice.isPathSilent(Attempt->Endpoint, Attempt->Peer, Now))
    return;
  if (mayAttempt(Now) && Context.Budget.available(Call.Service, Now) >= 1)
    failAttempt(attempt_result::Broken, true, "endpoint_silent", Now);
}

// Failure: an endpoint asks for a pause while other requests of this VM still
// connect to it, and they arrive within the pause.
void routed_request::recallAttempt(mono_time Now) {
  if (Context.Choice.takesRequests(Attempt->Endpoint, Now))
    return;
  --SentAttempts; // the endpoint received nothing
  failAttempt(attempt_result::Cancelled, false, "endpoint_withdrawn", Now);
}

void routed_request::onCallerGone(mono_time Now) {
  if (IsOver)
    return;
  Outputs.logDecision("caller_gone", "", Attempt ? Attempt->Endpoint.Id : "");
  finish();
  endAttempt(attempt_result::Cancelled, Now);
  Outputs.cancelAttempt();
  Attempt.reset();
}

void routed_request::onStop(mono_time Now) {
  if (IsOver)
    return;
  if (Attempt) {
    AnyMayHaveRun = AnyMayHaveRun || Attempt->IsSent;
    endAttempt(attempt_result::Cancelled, Now);
    Outputs.cancelAttempt();
    Attempt.reset();
  }
  giveUp("stopping", Now);
}

// Load: an endpoint hangs although it reports healthy. Harm prevented: a short
// idempotent call waits there until its deadline. A small multiple of the
// target latency is far above the usual latency and leaves time for a retry.
duration routed_request::attemptTimeout() const {
  return Call.Route->TargetLatency * config::AttemptTimeoutFactor;
}

bool routed_request::hasNoAttemptTimeout() const {
  return !Attempt || Attempt->HeadAt || Attempt->HasTimedOut ||
         Call.Route->Kind != call_kind::Idempotent ||
         SentAttempts >= Call.Route->MaxAttempts;
}

std::optional<mono_time> routed_request::nextTimer() const {
  if (IsOver)
    return std::nullopt;
  if (RetryAt)
    return std::min(effectiveDeadline(), *RetryAt);
  if (hasNoAttemptTimeout())
    return effectiveDeadline();
  return std::min(effectiveDeadline(), Attempt->SentAt + attemptTimeout());
}

void routed_request::onTimer(mono_time Now) {
  if (IsOver)
    return;
  if (RetryAt && Now < effectiveDeadline()) {
    if (Now < *RetryAt)
      return;
    RetryAt.reset();
    if (IsPlaced)
      sendAttempt(Now);
    else
      beginSending(Now);
    return;
  }
  if (Now < effectiveDeadline()) {
    if (hasNoAttemptTimeout() || Now < Attempt->SentAt + attemptTimeout())
      return;
    Attempt->HasTimedOut = true;
    if (mayAttempt(Now) && Context.Budget.available(Call.Service, Now) >= 1)
      failAttempt(attempt_result::Broken, true, "too_slow", Now);
    return;
  }
  if (Attempt) {
    AnyMayHaveRun = AnyMayHaveRun || Attempt->IsSent;
    // Failure: an endpoint whose plain answers never end. It has failed, unless
    // the caller was behind.
    const bool IsEndless = Attempt->IsForwarded && !Attempt->IsPaused;
    endAttempt(IsEndless               ? attempt_result::Broken
               : Attempt->IsSent       ? attempt_result::Cancelled
               : Attempt->Peer.empty() ? attempt_result::Unreachable
                                       : attempt_result::Untunnelled,
               Now);
    Outputs.cancelAttempt();
    Attempt.reset();
  }
  if (HasBegunResponse) {
    giveUp("deadline", Now);
    return;
  }
  Outputs.logDecision("refused", "deadline", "");
  // The caller may retry a request that certainly did not run.
  if (AnyMayHaveRun)
    refuse(error_kind::DeadlinePassed, run_state::MayHaveRun, Now);
  else
    refuse(error_kind::NoEndpoint, run_state::NotRun, Now);
}

} // namespace clementinelane
