#pragma once

#include "clementinelane/error.h"
#include "clock.h"
#include "intents.h"
#include "placement.h"
#include "usage.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace clementinelane {

/// One token of a streamed answer, or the complete answer of a service.
struct answer_token {
  std::uint64_t Index = 0;
  std::string Text;
};

/// The immutable facts of a request after version planning.
struct request_plan {
  std::string RequestId;
  std::string Customer;
  std::string Work;
  std::string Vm;
  std::int64_t WallMillis = 0;
  std::vector<std::string> Versions; ///< in order of escalation, or one service
  std::vector<double> CostsPer1kTokens; ///< one for each of Versions
  bool Idempotent = true;
  bool IsSampled = false; ///< answers are sent to the rating service
  intent_key Intent;      ///< for non-idempotent work
};

/// Events of a request. An event that names an attempt is ignored unless that
/// attempt is the current one.
namespace request_event {
struct started {};
struct admitted {};
struct refused {
  error_kind Kind;
  std::chrono::milliseconds RetryAfter{0}; ///< 0: the default of Kind
};
struct intent_decided {
  intent_verdict Verdict;
};
struct placed {
  std::string Endpoint;
};
struct not_placed {
  error_kind Kind;
};
/// The head of the endpoint's answer arrived, with its HTTP status.
struct head {
  unsigned Attempt;
  std::uint32_t Status;
  std::string ContentType;
};
struct tokens {
  unsigned Attempt;
  std::vector<answer_token> Tokens;
};
struct finished {
  unsigned Attempt;
  std::uint64_t PromptTokens;
  std::uint64_t CompletionTokens;
  std::string FinishReason; ///< empty: the answer's end is missing
  bool HasUsage = false;    ///< CompletionTokens is from the endpoint
  double Confidence = -1;   ///< the engine's score, 0 to 1; below 0: none
};
struct failed {
  unsigned Attempt;
  error_kind Kind;
  run_state Ran;
};
/// The attempt made no progress within its progress limits.
struct silent {
  unsigned Attempt;
};
struct answer_evaluated {
  bool Accepted;
};
struct usage_stored {
  std::error_code Error;
};
struct outcome_recorded {
  std::error_code Error;
};
struct caller_disconnected {};
struct deadline_expired {};
} // namespace request_event

using request_input = std::variant<
    request_event::started, request_event::admitted, request_event::refused,
    request_event::intent_decided, request_event::placed,
    request_event::not_placed, request_event::head, request_event::tokens,
    request_event::finished, request_event::failed, request_event::silent,
    request_event::answer_evaluated, request_event::usage_stored,
    request_event::outcome_recorded, request_event::caller_disconnected,
    request_event::deadline_expired>;

/// Actions for the caller of the state machine to carry out.
namespace request_action {
struct admit {};
struct place_intent {
  intent_key Key;
};
struct place {
  std::string Version;
  std::vector<std::string> ExcludedEndpoints;
  std::string RequiredEndpoint;
  bool IsRetry;
};
struct dispatch {
  unsigned Attempt;
  std::string Version;
  std::string Endpoint;
  std::uint64_t ResumeFrom;
  std::string PriorText; ///< the answer's text before ResumeFrom
};
struct cancel {
  unsigned Attempt;
};
/// The attempt ended; reports its outcome to placement.
struct release {
  std::string Endpoint;
  attempt_outcome Outcome;
};
/// Log that the endpoint made no progress.
struct report_silence {
  std::string Endpoint;
};
/// Decide whether the cascade accepts this answer or escalates.
struct evaluate_answer {
  std::string Version;
  double Confidence;
};
/// Offer the answer to the rating service as a quality sample.
struct sample {
  std::string Version;
  std::string Answer;
  double Confidence;
};
struct send_head {
  std::uint32_t Status;
  std::string ContentType;
  std::string Version;
};
struct send_tokens {
  std::vector<answer_token> Tokens;
};
struct store_usage {
  usage_record Record;
};
struct record_outcome {
  intent_outcome Outcome;
};
/// The end of a complete answer.
struct send_end {
  std::uint64_t PromptTokens;
  std::uint64_t CompletionTokens;
  std::string FinishReason;
};
/// The final error of a failed request; sent immediately.
struct send_error {
  error_kind Kind;
  run_state Ran;
  std::chrono::milliseconds RetryAfter{0}; ///< 0: the default of Kind
};
struct send_replay {
  kept_answer Answer;
};
/// The request is finished and its resources can be released.
struct done {};
} // namespace request_action

using request_output =
    std::variant<request_action::admit, request_action::place_intent,
                 request_action::place, request_action::dispatch,
                 request_action::cancel, request_action::release,
                 request_action::report_silence,
                 request_action::evaluate_answer, request_action::sample,
                 request_action::send_head, request_action::send_tokens,
                 request_action::store_usage, request_action::record_outcome,
                 request_action::send_end, request_action::send_error,
                 request_action::send_replay, request_action::done>;

/// State machine of one request, without I/O: admission, intent, attempts,
/// stream resume, cascade, usage record, outcome and answer.
class request_machine {
public:
  explicit request_machine(request_plan Plan) : Plan(std::move(Plan)) {}

  /// Handles one event and returns the actions to carry out, in order.
  std::vector<request_output> handle(const request_input &Event);

  bool isDone() const { return State == state::Done; }
  unsigned attempts() const { return Attempts; }

private:
  enum class state : std::uint8_t {
    Idle,
    Admitting,
    PlacingIntent,
    Placing,
    Dispatched,
    EvaluatingAnswer,
    StoringUsage,
    RecordingOutcome,
    Done
  };

  void on(const request_event::started &Event);
  void on(const request_event::admitted &Event);
  void on(const request_event::refused &Event);
  void on(const request_event::intent_decided &Event);
  void on(const request_event::placed &Event);
  void on(const request_event::not_placed &Event);
  void on(const request_event::head &Event);
  void on(const request_event::tokens &Event);
  void on(const request_event::finished &Event);
  void on(const request_event::failed &Event);
  void on(const request_event::silent &Event);
  void on(const request_event::answer_evaluated &Event);
  void on(const request_event::usage_stored &Event);
  void on(const request_event::outcome_recorded &Event);
  void on(const request_event::caller_disconnected &Event);
  void on(const request_event::deadline_expired &Event);

  bool isCurrentAttempt(unsigned Attempt) const;
  bool mayEscalate() const {
    return Plan.Idempotent && VersionIndex + 1 < Plan.Versions.size();
  }
  bool isComplete(const request_event::finished &Event) const;
  run_state overallRunState() const;
  void placeAttempt(std::string RequiredEndpoint);
  void sendNewTokens(std::vector<answer_token> NewTokens);
  void abandonAttempt();
  void retryOrFail(error_kind Kind, run_state Ran);
  void failRequest(error_kind Kind, run_state Ran);
  void sendFinalError(error_kind Kind, run_state Ran,
                      std::chrono::milliseconds RetryAfter = {});
  void recordOutcome(intent_end End);
  void completeAnswer();
  void storeUsage();
  void finishWithoutAnswer();
  void finish();
  void emit(request_output Action) { Actions.push_back(std::move(Action)); }

  request_plan Plan;
  state State = state::Idle;
  std::vector<request_output> Actions;
  unsigned Attempts = 0;        ///< also the number of the current attempt
  unsigned VersionAttempts = 0; ///< attempts at the current version
  std::size_t VersionIndex = 0; ///< index into Plan.Versions
  std::string Endpoint;
  std::string SilentEndpoint;    ///< timed out once, is retried once
  bool IsReconnecting = false;   ///< placement is limited to SilentEndpoint
  bool HasAttemptOutput = false; ///< the current attempt's answer began
  std::vector<std::string> ExcludedEndpoints;
  std::uint64_t NextToken = 0;
  std::vector<answer_token> Tokens; ///< all received, for resume and replay
  bool HeadSent = false;
  bool IsCallerDone = false; ///< was sent a final answer, or disconnected
  std::uint32_t Status = 200;
  std::string ContentType = "application/json";
  request_event::finished End{};
  std::vector<usage_part> UsageParts;
  error_kind LastError = error_kind::Ok;
  run_state WorstRunState = run_state::NotRun;
};

} // namespace clementinelane
