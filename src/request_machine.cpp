#include "request_machine.h"

#include "config.h"

#include <array>

namespace clementinelane {

namespace {

namespace event = request_event;
namespace action = request_action;

std::string textOf(std::span<const answer_token> Tokens) {
  std::string Text;
  for (const answer_token &Token : Tokens)
    Text += Token.Text;
  return Text;
}

struct intent_error {
  error_kind Kind;
  run_state Ran;
};

/// Errors for callers whose intent did not win, indexed by intent_status.
constexpr std::array<intent_error, 7> IntentErrors{{
    {error_kind::Ok, run_state::Ran},
    {error_kind::Ok, run_state::Ran},
    {error_kind::IdempotencyInProgress, run_state::MayHaveRun},
    {error_kind::IdempotencyKeyReused, run_state::NotRun},
    {error_kind::OutcomeUnknown, run_state::MayHaveRun},
    {error_kind::LogUnavailable, run_state::NotRun},
    {error_kind::AnswerNotKept, run_state::Ran},
}};

} // namespace

std::vector<request_output>
request_machine::handle(const request_input &Event) {
  if (State != state::Done)
    std::visit([this](const auto &Each) { on(Each); }, Event);
  else if (const auto *Placed = std::get_if<event::placed>(&Event))
    on(*Placed);
  return std::exchange(Actions, {});
}

void request_machine::on(const event::started &) {
  if (State != state::Idle)
    return;
  State = state::Admitting;
  emit(action::admit{});
}

void request_machine::on(const event::admitted &) {
  if (State != state::Admitting)
    return;
  if (Plan.Idempotent)
    return placeAttempt("");
  State = state::PlacingIntent;
  emit(action::place_intent{Plan.Intent});
}

void request_machine::on(const event::refused &Event) {
  if (State != state::Admitting)
    return;
  sendFinalError(Event.Kind, run_state::NotRun, Event.RetryAfter);
  finish();
}

void request_machine::on(const event::intent_decided &Event) {
  if (State != state::PlacingIntent)
    return;
  const intent_status Status = Event.Verdict.Status;
  if (Status == intent_status::Won) {
    // The caller disconnected, or its deadline passed, during the log append.
    // Nothing was dispatched; recording that frees the idempotency key.
    if (IsCallerDone)
      return recordOutcome(intent_end::NotRun);
    return placeAttempt("");
  }
  if (Status == intent_status::Replay && !IsCallerDone) {
    IsCallerDone = true;
    emit(action::send_replay{Event.Verdict.Answer});
    return finish();
  }
  const auto &[Kind, Ran] = IntentErrors[static_cast<std::size_t>(Status)];
  sendFinalError(Kind, Ran);
  finish();
}

void request_machine::placeAttempt(std::string RequiredEndpoint) {
  State = state::Placing;
  IsReconnecting = !RequiredEndpoint.empty();
  // The first attempt at the cascade's next version is not a retry and must not
  // draw on the retry budget.
  emit(action::place{Plan.Versions[VersionIndex], ExcludedEndpoints,
                     std::move(RequiredEndpoint), VersionAttempts > 0});
}

// A caller may disconnect between placement and the placed event. If that event
// were ignored, the endpoint's in-flight count would never be decremented and
// the endpoint would get less and less work. A placement that is no longer
// needed is released.
void request_machine::on(const event::placed &Event) {
  if (State != state::Placing)
    return emit(action::release{Event.Endpoint, attempt_outcome::Cancelled});
  if (IsCallerDone) {
    emit(action::release{Event.Endpoint, attempt_outcome::Cancelled});
    return failRequest(error_kind::Cancelled, run_state::NotRun);
  }
  State = state::Dispatched;
  Endpoint = Event.Endpoint;
  HasAttemptOutput = false;
  ++Attempts;
  ++VersionAttempts;
  emit(action::dispatch{Attempts, Plan.Versions[VersionIndex], Endpoint,
                        NextToken, textOf(Tokens)});
}

void request_machine::on(const event::not_placed &Event) {
  if (State != state::Placing)
    return;
  // The silent endpoint no longer accepts work, so it can't be retried on a new
  // connection; another endpoint may still finish the answer.
  if (IsReconnecting && Event.Kind == error_kind::NoEndpoint) {
    ExcludedEndpoints.push_back(Endpoint);
    return placeAttempt("");
  }
  // After a failed attempt its error is more useful to the caller than "no
  // endpoint"; a withdrawal of the version is more useful than both.
  const bool IsWithdrawn = Event.Kind == error_kind::NoVersionActive;
  const error_kind Kind =
      LastError == error_kind::Ok || IsWithdrawn ? Event.Kind : LastError;
  failRequest(Kind, overallRunState());
}

// Reporting "not run" would be wrong once a cheaper version of the cascade has
// answered, or while an earlier attempt may still be running.
run_state request_machine::overallRunState() const {
  return UsageParts.empty() ? WorstRunState
                            : std::max(WorstRunState, run_state::MayHaveRun);
}

// Events of an earlier attempt may arrive after a resume on another endpoint;
// mixed into the new answer they would duplicate or corrupt tokens. The attempt
// number tells them apart.
bool request_machine::isCurrentAttempt(unsigned Attempt) const {
  return State == state::Dispatched && Attempt == Attempts;
}

void request_machine::on(const event::head &Event) {
  if (!isCurrentAttempt(Event.Attempt))
    return;
  HasAttemptOutput = true;
  Status = Event.Status;
  ContentType = Event.ContentType;
}

void request_machine::on(const event::tokens &Event) {
  if (!isCurrentAttempt(Event.Attempt))
    return;
  HasAttemptOutput = true;
  std::vector<answer_token> NewTokens;
  bool HasGap = false;
  for (const answer_token &Token : Event.Tokens) {
    // An engine may repeat or lose tokens after a resume. Repeats are dropped.
    // A gap ends the attempt and the next one resumes before it, so that the
    // caller never gets a truncated answer as complete. Tokens before the gap
    // are forwarded, since the resume starts after them.
    if (Token.Index < NextToken)
      continue;
    if (HasGap = Token.Index > NextToken; HasGap)
      break;
    ++NextToken;
    Tokens.push_back(Token);
    NewTokens.push_back(Token);
  }
  sendNewTokens(std::move(NewTokens));
  if (HasGap)
    abandonAttempt();
}

void request_machine::sendNewTokens(std::vector<answer_token> NewTokens) {
  // An answer that the cascade may still reject is buffered.
  if (NewTokens.empty() || mayEscalate() || IsCallerDone)
    return;
  if (!std::exchange(HeadSent, true))
    emit(action::send_head{Status, ContentType, Plan.Versions[VersionIndex]});
  emit(action::send_tokens{std::move(NewTokens)});
}

void request_machine::abandonAttempt() {
  emit(action::cancel{Attempts});
  emit(action::release{Endpoint, attempt_outcome::Failed});
  retryOrFail(error_kind::EndpointFailed, run_state::MayHaveRun);
}

// An endpoint's answer may end early, after a lost event or an orderly close by
// an intermediary: it then lacks a finish reason, or its token count differs
// from what arrived. Such an end is treated as a gap.
bool request_machine::isComplete(const event::finished &Event) const {
  if (Event.FinishReason.empty())
    return false;
  const bool HasTokenCount = Event.HasUsage || Event.CompletionTokens != 0;
  return !HasTokenCount || Event.CompletionTokens == NextToken;
}

void request_machine::on(const event::finished &Event) {
  if (!isCurrentAttempt(Event.Attempt))
    return;
  if (!isComplete(Event))
    return abandonAttempt();
  emit(action::release{Endpoint, attempt_outcome::Answered});
  End = Event;
  const double Tokens1k =
      static_cast<double>(Event.PromptTokens + Event.CompletionTokens) / 1000;
  UsageParts.push_back({Plan.Versions[VersionIndex], Endpoint,
                        Event.PromptTokens, Event.CompletionTokens,
                        Tokens1k * Plan.CostsPer1kTokens[VersionIndex]});
  if (Plan.IsSampled)
    emit(action::sample{Plan.Versions[VersionIndex], textOf(Tokens),
                        Event.Confidence});
  if (!mayEscalate())
    return storeUsage();
  State = state::EvaluatingAnswer;
  emit(action::evaluate_answer{Plan.Versions[VersionIndex], Event.Confidence});
}

void request_machine::on(const event::answer_evaluated &Event) {
  if (State != state::EvaluatingAnswer)
    return;
  if (Event.Accepted)
    return storeUsage();
  // The rejected answer is billed, but marked as not delivered.
  UsageParts.back().Delivered = false;
  ++VersionIndex;
  VersionAttempts = 0;
  NextToken = 0;
  Tokens.clear();
  ExcludedEndpoints.clear();
  SilentEndpoint.clear();
  LastError = error_kind::Ok;
  placeAttempt("");
}

void request_machine::on(const event::failed &Event) {
  if (!isCurrentAttempt(Event.Attempt))
    return;
  // An endpoint that refuses after it started to answer has run the work at
  // least in part. Accepting its "not run" would repeat a booking.
  const run_state Ran =
      HasAttemptOutput ? std::max(Event.Ran, run_state::MayHaveRun) : Event.Ran;
  emit(action::release{Endpoint, Ran == run_state::NotRun
                                     ? attempt_outcome::Refused
                                     : attempt_outcome::Failed});
  ExcludedEndpoints.push_back(Endpoint);
  retryOrFail(Event.Kind, Ran);
}

void request_machine::on(const event::silent &Event) {
  if (!isCurrentAttempt(Event.Attempt))
    return;
  // An intermediary may have dropped the state of this connection, without an
  // error to either end. The same endpoint gets one retry on a new connection;
  // only a second timeout counts as the endpoint's failure.
  emit(action::report_silence{Endpoint});
  emit(action::cancel{Attempts});
  emit(action::release{Endpoint, attempt_outcome::Silent});
  const bool WasReconnected = SilentEndpoint == Endpoint;
  SilentEndpoint = Endpoint;
  if (WasReconnected)
    ExcludedEndpoints.push_back(Endpoint);
  else if (Plan.Idempotent && VersionAttempts < config::MaxAttempts) {
    LastError = error_kind::EndpointSilent;
    WorstRunState = run_state::MayHaveRun;
    return placeAttempt(Endpoint);
  }
  retryOrFail(error_kind::EndpointSilent, run_state::MayHaveRun);
}

// Load: a pool that fails under many requests at once. Harm prevented: work
// that may not be repeated running twice; retries that multiply the load on the
// remaining endpoints. MaxAttempts limits one request at each version; the
// retry budget, which is checked on placement, limits all requests.
void request_machine::retryOrFail(error_kind Kind, run_state Ran) {
  LastError = Kind;
  WorstRunState = std::max(WorstRunState, Ran);
  const bool MayRepeat = Plan.Idempotent || Ran == run_state::NotRun;
  if (IsCallerDone || !MayRepeat || VersionAttempts >= config::MaxAttempts)
    return failRequest(LastError, overallRunState());
  placeAttempt("");
}

void request_machine::failRequest(error_kind Kind, run_state Ran) {
  sendFinalError(Kind, Ran);
  if (Plan.Idempotent)
    return finishWithoutAnswer();
  recordOutcome(Ran == run_state::NotRun ? intent_end::NotRun
                                         : intent_end::Unknown);
}

void request_machine::sendFinalError(error_kind Kind, run_state Ran,
                                     std::chrono::milliseconds RetryAfter) {
  if (!std::exchange(IsCallerDone, true))
    emit(action::send_error{Kind, Ran, RetryAfter});
}

void request_machine::recordOutcome(intent_end End) {
  State = state::RecordingOutcome;
  kept_answer Answer;
  if (End == intent_end::Answered)
    Answer = {Status, ContentType, Plan.Versions[VersionIndex], textOf(Tokens)};
  emit(action::record_outcome{{Plan.Intent, End, std::move(Answer)}});
}

void request_machine::storeUsage() {
  State = state::StoringUsage;
  emit(action::store_usage{{Plan.RequestId, Plan.Customer, Plan.Work, Plan.Vm,
                            Plan.WallMillis, UsageParts}});
}

void request_machine::on(const event::usage_stored &Event) {
  if (State != state::StoringUsage)
    return;
  // The end of the answer is sent only after its usage is stored. The work has
  // run.
  if (Event.Error) {
    sendFinalError(kindOf(Event.Error), run_state::Ran);
    if (Plan.Idempotent)
      return finish();
  }
  if (Plan.Idempotent)
    return completeAnswer();
  recordOutcome(intent_end::Answered);
}

void request_machine::on(const event::outcome_recorded &) {
  if (State != state::RecordingOutcome)
    return;
  // If the outcome could not be recorded, the intent stays open in the log and
  // a repeated call gets "may have run", which is correct.
  completeAnswer();
}

void request_machine::completeAnswer() {
  if (!std::exchange(IsCallerDone, true)) {
    if (!HeadSent)
      emit(action::send_head{Status, ContentType, Plan.Versions[VersionIndex]});
    if (!HeadSent && !Tokens.empty())
      emit(action::send_tokens{Tokens});
    emit(action::send_end{End.PromptTokens, End.CompletionTokens,
                          End.FinishReason});
  }
  finish();
}

// Ends a request without an answer. Cascade versions that answered are still
// billed, as not delivered.
void request_machine::finishWithoutAnswer() {
  if (UsageParts.empty())
    return finish();
  for (usage_part &Part : UsageParts)
    Part.Delivered = false;
  storeUsage();
}

void request_machine::finish() {
  State = state::Done;
  emit(action::done{});
}

void request_machine::on(const event::caller_disconnected &) {
  IsCallerDone = true;
  // Non-idempotent work runs to completion and its outcome is recorded, also
  // while its intent is being placed. A usage record that is being stored is
  // completed too, since the work has run.
  const bool MustComplete = !Plan.Idempotent && State > state::Admitting;
  if (MustComplete || State == state::StoringUsage)
    return;
  if (State == state::Dispatched) {
    emit(action::cancel{Attempts});
    emit(action::release{Endpoint, attempt_outcome::Cancelled});
  }
  finishWithoutAnswer();
}

void request_machine::on(const event::deadline_expired &) {
  const bool HasRun =
      State == state::StoringUsage || State == state::RecordingOutcome;
  const bool MayHaveRun = Attempts > 0;
  sendFinalError(MayHaveRun ? error_kind::DeadlinePassed
                            : error_kind::DeadlineTooShort,
                 HasRun       ? run_state::Ran
                 : MayHaveRun ? run_state::MayHaveRun
                              : run_state::NotRun);
  on(event::caller_disconnected{});
}

} // namespace clementinelane
