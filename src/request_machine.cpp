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

struct verdict_answer {
  error_kind Kind;
  run_state Ran;
};

/// What a caller is told when its intent did not win; by intent_status.
constexpr std::array<verdict_answer, 6> VerdictAnswers{{
    {error_kind::Ok, run_state::Ran},
    {error_kind::Ok, run_state::Ran},
    {error_kind::IdempotencyInProgress, run_state::MayHaveRun},
    {error_kind::IdempotencyKeyReused, run_state::NotRun},
    {error_kind::OutcomeUnknown, run_state::MayHaveRun},
    {error_kind::LogUnavailable, run_state::NotRun},
}};

} // namespace

std::vector<request_output>
request_machine::handle(const request_input &Event) {
  if (State != state::Done)
    std::visit([this](const auto &Each) { on(Each); }, Event);
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
    return placeNext("");
  State = state::PlacingIntent;
  emit(action::place_intent{Plan.Intent});
}

void request_machine::on(const event::refused &Event) {
  if (State != state::Admitting)
    return;
  tellCaller(Event.Kind, run_state::NotRun, Event.RetryAfter);
  finish();
}

void request_machine::on(const event::intent_decided &Event) {
  if (State != state::PlacingIntent)
    return;
  const intent_status Status = Event.Verdict.Status;
  if (Status == intent_status::Won) {
    // The caller went away, or its deadline passed, while the log was asked.
    // Nothing was dispatched, and recording that frees the key.
    if (CallerTold)
      return recordEnd(intent_end::NotRun);
    return placeNext("");
  }
  if (Status == intent_status::Replay && !CallerTold) {
    CallerTold = true;
    emit(action::send_replay{Event.Verdict.Answer});
    return finish();
  }
  const auto &[Kind, Ran] = VerdictAnswers[static_cast<std::size_t>(Status)];
  tellCaller(Kind, Ran);
  finish();
}

void request_machine::placeNext(std::string Only) {
  State = state::Placing;
  emit(action::place{Plan.Versions[Step], Exclude, std::move(Only),
                     Attempts > 0});
}

void request_machine::on(const event::placed &Event) {
  if (State != state::Placing)
    return;
  if (CallerTold) {
    emit(action::release{Event.Endpoint, attempt_outcome::Refused});
    return giveUp(error_kind::Cancelled, run_state::NotRun);
  }
  State = state::Dispatched;
  Endpoint = Event.Endpoint;
  ++Attempts;
  emit(action::dispatch{Attempts, Plan.Versions[Step], Endpoint, NextToken,
                        textOf(Tokens)});
}

void request_machine::on(const event::not_placed &Event) {
  if (State != state::Placing)
    return;
  // After a failed attempt the first failure says more than "no endpoint".
  if (GivenUp != error_kind::Ok)
    return giveUp(GivenUp, GivenUpRan);
  giveUp(Event.Kind, run_state::NotRun);
}

// Guard: an answer that comes late, after a resume on another endpoint, would
// be mixed into the newer one. It shows as repeated or foreign tokens; it is
// told apart by the attempt it belongs to.
bool request_machine::isCurrent(unsigned Attempt) const {
  return State == state::Dispatched && Attempt == Attempts;
}

void request_machine::on(const event::head &Event) {
  if (!isCurrent(Event.Attempt))
    return;
  Status = Event.Status;
  ContentType = Event.ContentType;
}

void request_machine::on(const event::tokens &Event) {
  if (!isCurrent(Event.Attempt))
    return;
  std::vector<answer_token> Fresh;
  for (const answer_token &Token : Event.Tokens) {
    // Guard: an engine may repeat tokens after a resume, or lose some. Repeats
    // are dropped; a gap ends the attempt, and the next resumes before it, so
    // that the caller never gets a cut answer as a whole one.
    if (Token.Index < NextToken)
      continue;
    if (Token.Index > NextToken) {
      emit(action::cancel{Attempts});
      emit(action::release{Endpoint, attempt_outcome::Failed});
      return retryOrGiveUp(error_kind::EndpointFailed, run_state::MayHaveRun);
    }
    ++NextToken;
    Tokens.push_back(Token);
    Fresh.push_back(Token);
  }
  // An answer that may yet be thrown away by the cascade is held.
  if (Fresh.empty() || mayEscalate() || CallerTold)
    return;
  if (!std::exchange(HeadSent, true))
    emit(action::send_head{Status, ContentType, Plan.Versions[Step]});
  emit(action::send_tokens{std::move(Fresh)});
}

void request_machine::on(const event::finished &Event) {
  if (!isCurrent(Event.Attempt))
    return;
  emit(action::release{Endpoint, attempt_outcome::Answered});
  End = Event;
  const double Tokens1k =
      static_cast<double>(Event.PromptTokens + Event.CompletionTokens) / 1000;
  Parts.push_back({Plan.Versions[Step], Endpoint, Event.PromptTokens,
                   Event.CompletionTokens,
                   Tokens1k * Plan.CostsPer1kTokens[Step]});
  if (Plan.IsSampled)
    emit(action::sample{Plan.Versions[Step], textOf(Tokens), Event.Confidence});
  if (!mayEscalate())
    return keepUsage();
  State = state::Rating;
  emit(action::rate{Plan.Versions[Step], Event.Confidence});
}

void request_machine::on(const event::rated &Event) {
  if (State != state::Rating)
    return;
  if (Event.Accepted)
    return keepUsage();
  ++Step;
  NextToken = 0;
  Tokens.clear();
  Exclude.clear();
  placeNext("");
}

void request_machine::on(const event::failed &Event) {
  if (!isCurrent(Event.Attempt))
    return;
  emit(action::release{Endpoint, Event.Ran == run_state::NotRun
                                     ? attempt_outcome::Refused
                                     : attempt_outcome::Failed});
  Exclude.push_back(Endpoint);
  retryOrGiveUp(Event.Kind, Event.Ran);
}

void request_machine::on(const event::silent &Event) {
  if (!isCurrent(Event.Attempt))
    return;
  // Guard: something between the two ends forgot the connection, and others of
  // the pool may be silent too. It shows as an exchange without progress. The
  // whole pool is dropped and the same endpoint gets one fresh connection;
  // only if that one is silent as well does the endpoint count as failed.
  emit(action::cancel{Attempts});
  emit(action::release{Endpoint, attempt_outcome::Silent});
  emit(action::drop_connections{Endpoint});
  const bool IsSecond = SilentEndpoint == Endpoint;
  SilentEndpoint = Endpoint;
  if (IsSecond)
    Exclude.push_back(Endpoint);
  else if (Plan.Idempotent && Attempts < config::MaxAttempts) {
    GivenUp = error_kind::EndpointSilent;
    GivenUpRan = run_state::MayHaveRun;
    return placeNext(Endpoint);
  }
  retryOrGiveUp(error_kind::EndpointSilent, run_state::MayHaveRun);
}

// Load: a pool that fails under many requests at once. Harm prevented: work
// that may not be repeated running twice; attempts that multiply the load on
// what is left. MaxAttempts bounds one request; the shell's retry budget, asked
// when placing, bounds all.
void request_machine::retryOrGiveUp(error_kind Kind, run_state Ran) {
  GivenUp = Kind;
  GivenUpRan = std::max(GivenUpRan, Ran);
  const bool MayRepeat = Plan.Idempotent || Ran == run_state::NotRun;
  if (CallerTold || !MayRepeat || Attempts >= config::MaxAttempts)
    return giveUp(GivenUp, GivenUpRan);
  placeNext("");
}

void request_machine::giveUp(error_kind Kind, run_state Ran) {
  tellCaller(Kind, Ran);
  if (Plan.Idempotent)
    return finish();
  recordEnd(Ran == run_state::NotRun ? intent_end::NotRun
                                     : intent_end::Unknown);
}

void request_machine::tellCaller(error_kind Kind, run_state Ran,
                                 std::chrono::milliseconds RetryAfter) {
  if (!std::exchange(CallerTold, true))
    emit(action::send_error{Kind, Ran, RetryAfter});
}

void request_machine::recordEnd(intent_end End) {
  State = state::RecordingOutcome;
  kept_answer Answer;
  if (End == intent_end::Answered)
    Answer = {Status, ContentType, textOf(Tokens)};
  emit(action::record_outcome{{Plan.Intent, End, std::move(Answer)}});
}

void request_machine::keepUsage() {
  State = state::KeepingUsage;
  emit(action::keep_usage{{Plan.RequestId, Plan.Customer, Plan.Work, Plan.Vm,
                           Plan.WallMillis, Parts}});
}

void request_machine::on(const event::usage_kept &Event) {
  if (State != state::KeepingUsage)
    return;
  // The last byte is not released without a kept bill. The work has run.
  if (Event.Error) {
    tellCaller(kindOf(Event.Error), run_state::Ran);
    if (Plan.Idempotent)
      return finish();
  }
  if (Plan.Idempotent)
    return complete();
  recordEnd(intent_end::Answered);
}

void request_machine::on(const event::outcome_recorded &) {
  if (State != state::RecordingOutcome)
    return;
  // An outcome that could not be recorded leaves the intent open in the log:
  // a repeat is told "may have run", which is true.
  complete();
}

void request_machine::complete() {
  if (!std::exchange(CallerTold, true)) {
    if (!HeadSent)
      emit(action::send_head{Status, ContentType, Plan.Versions[Step]});
    if (!HeadSent && !Tokens.empty())
      emit(action::send_tokens{Tokens});
    emit(action::send_end{End.PromptTokens, End.CompletionTokens,
                          End.FinishReason});
  }
  finish();
}

void request_machine::finish() {
  State = state::Done;
  emit(action::done{});
}

void request_machine::on(const event::caller_gone &) {
  CallerTold = true;
  const bool Dispatched = State == state::Dispatched;
  // Work that may not be repeated is awaited, and its outcome recorded; the
  // same holds for an intent that is under way.
  if (!Plan.Idempotent && State != state::Admitting)
    return;
  if (Dispatched) {
    emit(action::cancel{Attempts});
    emit(action::release{Endpoint, attempt_outcome::Refused});
  }
  if (State != state::KeepingUsage)
    finish();
}

void request_machine::on(const event::deadline &) {
  const bool MayHaveRun = Attempts > 0;
  tellCaller(MayHaveRun ? error_kind::DeadlinePassed
                        : error_kind::DeadlineTooShort,
             MayHaveRun ? run_state::MayHaveRun : run_state::NotRun);
  on(event::caller_gone{});
}

} // namespace clementinelane
