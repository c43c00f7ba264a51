#pragma once

#include "admission_gate.h"
#include "answer_quality.h"
#include "call_work.h"
#include "crash_detector.h"
#include "endpoint_choice.h"
#include "engine_pace.h"
#include "event_splitter.h"
#include "fleet_retry_budget.h"
#include "http_exchange.h"
#include "model_options.h"
#include "part_quarantine.h"
#include "request_mix.h"
#include "request_quarantine.h"
#include "routed_call.h"
#include "version_shift.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelane {

/// Carries out the decisions of a request; implemented with sockets by the
/// router and by a recorder in tests.
class request_outputs {
public:
  virtual ~request_outputs() = default;
  virtual void startAttempt(const attempt_spec &Spec) = 0;
  /// Closes the connection of the attempt in flight.
  virtual void cancelAttempt() = 0;
  virtual void beginStream(const endpoint_response &Response) = 0;
  /// Begins a plain answer whose body follows as a stream's.
  virtual void beginAnswer(const endpoint_response &Response) = 0;
  virtual void writeStream(std::string_view Bytes) = 0;
  virtual void endStream() = 0;
  /// Ends the response so that the caller sees it as truncated.
  virtual void abortStream() = 0;
  virtual void sendResponse(const endpoint_response &Response,
                            std::string_view Body) = 0;
  virtual void refuse(const refusal &Refusal) = 0;
  /// Asks the owners of the request's session for its last run;
  /// onSessionLookedUp() is called with the outcome, possibly synchronously.
  virtual void lookUpSession() = 0;
  /// Logs which side of a roll-out a session was assigned to.
  virtual void logPlacement(const session_placement &Placing) = 0;
  /// Logs a decision, its reason, and the endpoint or model it concerns.
  virtual void logDecision(std::string_view Decision, std::string_view Reason,
                           std::string_view Subject) = 0;
  /// Logs that the gate holds the request back, and why.
  virtual void logGate(const gate_decision &Decision, unsigned Priority) = 0;
};

/// State shared by all requests of one VM.
struct request_context {
  endpoint_choice &Choice;
  fleet_retry_budget &Budget;
  model_cascade &Cascade;
  engine_pace &Pace;
  request_mix &Mix;
  answer_quality &Quality;
  request_quarantine &Quarantine;
  part_quarantine &Parts;
  admission_gate &Gate;
  /// The version shift of a service; null if there is none.
  std::function<version_shift *(std::string_view Service)> ShiftOf;
  /// Whether the lease on the customer keys is valid at `Now`.
  std::function<bool(mono_time Now)> AreKeysValid;
  /// Publishes to the owners of a session which version it runs on.
  std::function<void(std::string_view Service, const session_run &)> PublishRun;
  /// Called when the connection of an attempt that may have run breaks. `Peer`:
  /// the router that it went through; empty: direct.
  std::function<void(const endpoint_info &Endpoint, std::string_view Peer,
                     crash_suspect Suspect)>
      OnConnectionBroken;
  /// An answer of the endpoint announced that it is leaving.
  std::function<void(const endpoint_info &Endpoint)> OnLeaving;
  /// An endpoint asked for a pause; `Peer`, which the attempt went through, is
  /// what it takes for the sender.
  std::function<void(const endpoint_info &Endpoint, std::string_view Peer,
                     duration Pause)>
      OnPausedThroughPeer;
  /// Random number from 0 to 1 for the jitter of Retry-After.
  std::function<double()> Jitter;
  /// Whether the VM has no memory left for answers that are held back.
  std::function<bool()> IsMemoryShort = [] { return false; };
};

/// State machine of one request, without I/O: chooses endpoint and model, and
/// retries failed attempts.
///
/// Guarantees: at most one attempt at a time; a non-idempotent request is
/// retried only if it certainly did not run; "not run" is reported only if no
/// attempt ran or may have run; a stream resumes after its last complete event
/// or is visibly truncated; the caller's deadline and the route's timeout end
/// the request.
class routed_request {
public:
  routed_request(routed_call Call, request_context &Context,
                 request_outputs &Outputs);

  void begin(mono_time Now);
  /// The attempt's connection is established; from now on it may run.
  void onSent(mono_time Now);
  void onHead(endpoint_response Response, mono_time Now);
  void onBody(std::string_view Bytes, mono_time Now);
  void onEnd(mono_time Now);
  /// The answer isn't read meanwhile, as the caller is behind.
  void onReadingPaused();
  void onReadingResumed(mono_time Now);
  void onFailure(exchange_failure Failure, mono_time Now);
  void onCallerGone(mono_time Now);
  /// `IsAnswered`: an owner of the session replied to the lookup.
  void onSessionLookedUp(bool IsAnswered, mono_time Now);
  void onTimer(mono_time Now);
  /// The process stops: answers the caller, or breaks off the answer.
  void onStop(mono_time Now);
  /// Called with each tick; moves a stream off an unreachable endpoint.
  void onTick(mono_time Now);

  /// When onTimer() must be called next; none once the request is over.
  std::optional<mono_time> nextTimer() const;
  bool isOver() const { return IsOver; }
  const routed_call &call() const { return Call; }
  /// Bytes of the answer that are held back for a retry.
  std::size_t heldAnswerBytes() const;

private:
  struct attempt {
    endpoint_info Endpoint;
    std::string Peer; ///< router that it goes through; empty: direct
    call_work Work;
    double WorkLeft = 0; ///< still charged to the endpoint's load
    work_ahead Ahead;    ///< queued before it at the endpoint when it was sent
    std::size_t Model = 0;
    std::uint64_t Sampled = 0; ///< id in samples; 0: sent before an order
    mono_time SentAt{};
    mono_time LastReceivedAt{}; ///< last data from the endpoint
    std::optional<mono_time> HeadAt;
    std::optional<mono_time> FirstEventAt;
    unsigned Events = 0;
    bool IsSent = false;         ///< the endpoint may have received it
    bool IsRunPublished = false; ///< its session's run was published
    bool HasTimedOut = false;    ///< its timeout has passed
    bool IsPaused = false;       ///< its answer isn't read
    bool IsForwarded = false;    ///< its plain answer is sent as it comes
    std::optional<endpoint_response> Response;
    std::string Body; ///< of a plain response or a failure, until forwarded
  };

  bool isStream() const { return Call.Route->Kind == call_kind::Streaming; }
  bool choosesModel() const;
  request_rank rank() const;
  mono_time callerDeadline() const;
  mono_time effectiveDeadline() const;
  bool mayAttempt(mono_time Now) const;
  void beginSending(mono_time Now);
  gate_request gateRequest(mono_time Now) const;
  bool passesGate(mono_time Now);
  bool defersAttempt(const version_shift &Shift, mono_time Now);
  bool startsSessionLookup(const version_shift &Shift, mono_time Now);
  bool waitsForSessionExpiry(const version_shift &Shift, mono_time Now);
  /// The longest Retry-After that the caller still honours.
  duration maxRetryAfter(mono_time Now) const;
  void assignVersion(const version_shift &Shift, mono_time Now);
  void sendAttempt(mono_time Now);
  endpoint_request choiceRequestFor(std::size_t ModelIndex,
                                    mono_time Now) const;
  std::optional<chosen_endpoint> chooseEndpoint(mono_time Now);
  std::optional<chosen_endpoint> chooseBeyondCanary(mono_time Now);
  std::optional<chosen_endpoint> chooseWithoutPin(mono_time Now);
  double paceOf(std::size_t ModelIndex) const;
  double priorQuality(std::size_t ModelIndex) const;
  std::vector<model_option> modelOptions(mono_time Now) const;
  cascade_view cascadeView(std::span<const model_option> Options,
                           mono_time Now) const;
  void chooseFirstModel(mono_time Now);
  void updateQuality(double Confidence);
  void updateRateLimit(const endpoint_response &Head, mono_time Now);
  void updateRejectionLimit(const endpoint_response &Head, mono_time Now);
  void updatePause(const endpoint_response &Head, mono_time Now);
  void recallAttempt(mono_time Now);
  void onSuccessHead(mono_time Now);
  bool escalatesModel(mono_time Now);
  bool mayRunAgain() const;
  bool mayRunAfterOrder(mono_time Now) const;
  void releaseUnneededBody();
  void forwardEvents(mono_time Now);
  void onEventTooLong(mono_time Now);
  void forwardAnswer(mono_time Now);
  void endAttempt(attempt_result Result, mono_time Now);
  void recordSample(sample_type Kind, mono_time Now, duration Time = {});
  void failAttempt(attempt_result Result, bool MayHaveRun,
                   std::string_view Reason, mono_time Now);
  void onConnectFailure(exchange_failure Failure, mono_time Now);
  void onTunnelBroken(mono_time Now);
  void excludeEndpoint(attempt_result Result);
  bool hasNoAttemptTimeout() const;
  void retryOrGiveUp(std::string_view Reason, mono_time Now);
  bool waitsForEndpoint(mono_time Now);
  bool waitsForRateLimit(mono_time Now);
  void giveUp(std::string_view Reason, mono_time Now);
  void refuseQuarantined(run_state Ran, mono_time Now);
  void refuse(error_kind Kind, run_state Ran, mono_time Now);
  void finish();
  void beginRun(mono_time Now);
  void endRun(mono_time Now);
  void publishRun(const version_shift &Shift, mono_time Now);
  duration attemptTimeout() const;
  bool isQuarantined() const;
  void reportBrokenConnection();

  routed_call Call;
  std::vector<std::uint64_t> SharedParts; ///< hashes of all but the last part
  request_context &Context;
  request_outputs &Outputs;
  std::optional<attempt> Attempt;
  std::vector<std::string> Excluded;
  std::vector<std::string> Unconnected; ///< ids of failed direct connections
  event_splitter Splitter;
  std::optional<std::uint64_t> LastEvent;
  std::string PinnedVersion; ///< of a stream that has started
  std::size_t Model = 0;
  std::optional<first_answer>
      DroppedAnswer; ///< last one dropped for another model
  version_side Side = version_side::Old;
  bool IsPlaced = false;
  bool IsLookingUp = false; ///< waits for the session owners' reply
  bool IsLookedUp = false;
  std::optional<mono_time> FirstSentAt;
  bool IsBeyondCanary = false; ///< may use target endpoints outside the canary
  unsigned SentAttempts = 0;   ///< attempts that reached an endpoint
  unsigned ConnectFailures = 0;
  unsigned TunnelFailures = 0;
  bool WasRejected = false;     ///< an endpoint had no room for it
  bool HasPaidForRetry = false; ///< for a retry that hasn't reached an endpoint
  mono_time LastForwardedAt{};  ///< last event sent to the caller
  std::optional<mono_time> RetryAt; ///< set while it waits for an endpoint
  bool AnyMayHaveRun = false;
  bool HasBegunResponse = false;
  bool HasBegunPlain = false; ///< a plain answer; nothing can follow it
  bool IsOver = false;
};

/// Hash of the request's session, or of the request id if it has none.
std::uint64_t sessionHash(const call_metadata &Metadata);
/// Hash of the longest prompt prefix that other requests may share.
std::uint64_t affinityHash(const call_metadata &Metadata);

} // namespace clementinelane
