#include "request_runner.h"

#include "config.h"
#include "logs.h"
#include "request_planning.h"

#include <algorithm>
#include <deque>
#include <mutex>

namespace clementinelane {

namespace {

namespace action = request_action;
namespace event = request_event;

std::string versionPool(const configuration &Config, bool IsService,
                        const std::string &Name) {
  if (IsService)
    return Config.Services.at(Name).Pool;
  return Config.Versions.at(Name).Pool;
}

/// The kind of work and the quality target that the version was chosen for.
struct work_target {
  std::string Work;
  double QualityTarget = 0;
};

/// A request in progress. Events from any thread are queued and handled by the
/// state machine one at a time, in order.
class request_run : public std::enable_shared_from_this<request_run> {
public:
  request_run(request_services Services, caller_request Request,
              request_plan Plan, answer_formatter Formatter,
              admission_request Admission, work_target WorkTarget)
      : Services(std::move(Services)), Request(std::move(Request)),
        Admission(std::move(Admission)), WorkTarget(std::move(WorkTarget)),
        AtMostOnce(!Plan.Idempotent), Machine(std::move(Plan)),
        Formatter(std::move(Formatter)) {
    ++this->Services.OpenRequests;
  }
  ~request_run() { --Services.OpenRequests; }
  request_run(const request_run &) = delete;
  request_run &operator=(const request_run &) = delete;

  void start() {
    Deadline =
        Services.Timers.after(Request.TimeLeft, [Weak = weak_from_this()] {
          if (const auto Self = Weak.lock())
            Self->post(event::deadline_expired{});
        });
    post(event::started{});
  }

  void post(request_input Event) {
    {
      const std::scoped_lock Lock(Mutex);
      EventQueue.push_back(std::move(Event));
      if (std::exchange(IsProcessing, true))
        return;
    }
    processEvents();
  }

private:
  void processEvents() {
    for (;;) {
      request_input Next;
      {
        const std::scoped_lock Lock(Mutex);
        if (EventQueue.empty()) {
          IsProcessing = false;
          return;
        }
        Next = std::move(EventQueue.front());
        EventQueue.pop_front();
      }
      if (const auto *End = std::get_if<event::finished>(&Next))
        AnsweredTokens = End->PromptTokens + End->CompletionTokens;
      for (const request_output &Action : Machine.handle(Next))
        std::visit([this](const auto &Each) { perform(Each); }, Action);
    }
  }

  /// Posts events to this request and keeps it alive until the last copy is
  /// destroyed.
  auto eventSink() {
    return [Self = shared_from_this()](request_input Event) {
      Self->post(std::move(Event));
    };
  }

  void perform(const action::admit &) {
    if (!Services.Usage.hasRoom())
      return post(event::refused{error_kind::UsageStoreFull});
    Services.Admission.offer(Admission, [Post = eventSink(), Id = Request.Id](
                                            const admission_verdict &Verdict) {
      if (!Verdict.Error)
        return Post(event::admitted{});
      logs::decision(
          "not_admitted",
          {{"request", Id},
           {"reason", std::string(Verdict.Rule)},
           {"runner_up", std::string(Verdict.RunnerUp)},
           {"retry_after_ms", std::to_string(Verdict.RetryAfter.count())}});
      Post(event::refused{kindOf(Verdict.Error), Verdict.RetryAfter});
    });
  }

  void perform(const action::place_intent &Place) {
    Services.Intents.place(Place.Key,
                           [Post = eventSink()](intent_verdict Verdict) {
                             Post(event::intent_decided{std::move(Verdict)});
                           });
  }

  void perform(const action::place &Place) {
    // Uses the current configuration rather than the one at the request's
    // start: endpoints may have been removed, and a withdrawn version gets no
    // further attempts.
    const configuration_ptr Current = Services.Config.get();
    if (!isServable(*Current, Place.Version))
      return post(event::not_placed{error_kind::NoVersionActive});
    const std::string Pool =
        versionPool(*Current, Request.IsService, Place.Version);
    // The first attempt at the cascade's next version is not a retry.
    const bool IsRetry = Place.IsRetry && Place.Version == AttemptVersion;
    AttemptVersion = Place.Version;
    if (IsRetry &&
        !Services.Retries.spend(Admission.Customer, Services.Clock.now())) {
      logs::decision("no_place", {{"request", Request.Id},
                                  {"version", Place.Version},
                                  {"pool", Pool},
                                  {"reason", "retry_budget"},
                                  {"runner_up", "retry"}});
      return post(event::not_placed{error_kind::RetryBudgetSpent});
    }
    const bool IsRepeatable =
        !Request.NonIdempotent &&
        (!Request.IsService || Current->Services.at(Place.Version).Idempotent);
    const result<placement> Placed = Services.Placer.place(
        *Current,
        {Pool, Request.SessionId, Place.ExcludedEndpoints,
         Place.RequiredEndpoint, Request.PromptTokens + Request.MaxTokens,
         IsRepeatable},
        Services.Clock.now());
    if (!Placed) {
      logs::decision(
          "no_place",
          {{"request", Request.Id},
           {"version", Place.Version},
           {"pool", Pool},
           {"reason", std::string(answerOf(kindOf(Placed.error())).Name)}});
      return post(event::not_placed{kindOf(Placed.error())});
    }
    Address = Placed.value().Endpoint.Address;
    AttemptStart = Services.Clock.now();
    logs::decision("place", {{"request", Request.Id},
                             {"version", Place.Version},
                             {"endpoint", Placed.value().Endpoint.Name},
                             {"reason", Placed.value().Reason},
                             {"runner_up", Placed.value().RunnerUp},
                             {"retry", IsRetry ? "true" : "false"}});
    post(event::placed{Placed.value().Endpoint.Name});
  }

  bool isServable(const configuration &Current, const std::string &Name) const {
    if (Request.IsService)
      return Current.Services.contains(Name);
    const auto Version = Current.Versions.find(Name);
    return Version != Current.Versions.end() &&
           Version->second.State != version_state::Withdrawn;
  }

  void perform(const action::dispatch &Dispatch) {
    Services.Transport.start(Request,
                             {Address, Dispatch.Version, Dispatch.Attempt,
                              Dispatch.ResumeFrom, Dispatch.PriorText,
                              AtMostOnce, Dispatch.Endpoint},
                             eventSink());
  }

  void perform(const action::cancel &Cancel) {
    Services.Transport.cancel(Request.Id, Cancel.Attempt);
  }

  void perform(const action::release &Release) {
    if (Release.Outcome == attempt_outcome::Answered)
      Services.Retries.earn(Admission.Customer);
    const mono_time Now = Services.Clock.now();
    Services.Placer.finished(
        Release.Endpoint, Request.PromptTokens + Request.MaxTokens,
        Release.Outcome, Now - AttemptStart, Now, AnsweredTokens);
  }

  void perform(const action::report_silence &Silence) {
    logs::warning("endpoint_silent",
                  {{"request", Request.Id}, {"endpoint", Silence.Endpoint}});
  }

  void perform(const action::evaluate_answer &Evaluation) {
    const configuration_ptr Current = Services.Config.get();
    const auto Version = Current->Versions.find(Evaluation.Version);
    const bool Accepted =
        Version != Current->Versions.end() &&
        Services.Quality.acceptsCascadeAnswer(
            Version->second, WorkTarget.Work, Admission.Customer,
            Evaluation.Confidence, WorkTarget.QualityTarget);
    logs::decision("cascade",
                   {{"request", Request.Id},
                    {"version", Evaluation.Version},
                    {"confidence", std::to_string(Evaluation.Confidence)},
                    {"target", std::to_string(WorkTarget.QualityTarget)},
                    {"accepted", Accepted ? "true" : "false"}});
    post(event::answer_evaluated{Accepted});
  }

  void perform(const action::sample &Sample) {
    Services.Rater.enqueue({Request.Id, Admission.Customer, WorkTarget.Work,
                            Sample.Version, Sample.Answer, Sample.Confidence});
  }

  void perform(const action::send_head &Head) { Formatter.head(Head); }
  void perform(const action::send_tokens &Send) {
    Formatter.tokens(Send.Tokens);
  }
  void perform(const action::send_end &End) { Formatter.end(End); }
  void perform(const action::send_replay &Replay) {
    Formatter.replay(Replay.Answer);
  }

  void perform(const action::send_error &Error) {
    logs::decision("refuse",
                   {{"request", Request.Id},
                    {"kind", std::string(answerOf(Error.Kind).Name)},
                    {"ran", std::string(nameOf(Error.Ran))},
                    {"attempts", std::to_string(Machine.attempts())}});
    Formatter.error(Error);
  }

  void perform(const action::store_usage &Store) {
    Services.Usage.keep(Store.Record,
                        [Post = eventSink()](std::error_code Error) {
                          Post(event::usage_stored{Error});
                        });
  }

  void perform(const action::record_outcome &Record) {
    Services.Intents.record(Record.Outcome,
                            [Post = eventSink()](std::error_code Error) {
                              Post(event::outcome_recorded{Error});
                            });
  }

  void perform(const action::done &) {
    Services.Timers.cancel(Deadline);
    Services.Admission.finished(Request.Id);
  }

  request_services Services;
  caller_request Request;
  admission_request Admission;
  work_target WorkTarget;
  bool AtMostOnce;
  request_machine Machine;
  answer_formatter Formatter;
  std::string Address;
  std::string AttemptVersion;
  mono_time AttemptStart{};
  std::uint64_t AnsweredTokens = 0; ///< total of the last answer
  timer_service::handle Deadline;
  std::mutex Mutex;
  std::deque<request_input> EventQueue;
  bool IsProcessing = false;
};

planning_context planningContext(const request_services &Services) {
  return {Services.Clock, Services.Quality, Services.Tokens};
}

std::int64_t wallSeconds(const request_services &Services) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             Services.Clock.wallNow().time_since_epoch())
      .count();
}

void refuse(const caller_request &Request,
            const std::shared_ptr<answer_writer> &Writer, error_kind Kind) {
  logs::decision("refuse", {{"request", Request.Id},
                            {"kind", std::string(answerOf(Kind).Name)},
                            {"ran", "not_run"}});
  answer_formatter({Request.Id, "", 0, false, Request.IsService}, Writer)
      .error({Kind, run_state::NotRun});
}

/// Starts a request whose session, if any, already has a binding.
void startRequest(const request_services &Services, const configuration &Config,
                  caller_request Request,
                  const std::shared_ptr<answer_writer> &Writer,
                  const std::optional<session_binding> &StoredBinding) {
  const customer_spec *Customer = nullptr;
  auto Result = planRequest(planningContext(Services), Config, Request,
                            StoredBinding, Customer);
  if (!Result)
    return refuse(Request, Writer, kindOf(Result.error()));
  planned_request &Planned = Result.value();
  logs::decision("route", {{"request", Request.Id},
                           {"customer", Customer->Name},
                           {"model", Request.Model},
                           {"version", Planned.Plan.Versions.front()},
                           {"reason", Planned.Reason},
                           {"runner_up", Planned.RunnerUp},
                           {"config_offset", std::to_string(Config.Offset)}});
  const auto Wall = Services.Clock.wallNow().time_since_epoch();
  const std::int64_t WallSeconds = wallSeconds(Services);
  if (Planned.Binding.OpenedAt == 0)
    Planned.Binding.OpenedAt = WallSeconds;
  request_plan &Plan = Planned.Plan;
  Plan.RequestId = Request.Id;
  Plan.Customer = Customer->Name;
  Plan.Vm = Services.VmName;
  Plan.WallMillis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wall).count();
  Plan.Intent = {Customer->Name, Request.IdempotencyKey, requestHash(Request),
                 Request.Id};
  answer_formatter Formatter({Request.Id,
                              Request.IsService
                                  ? std::string()
                                  : Services.Tokens.sign(Planned.Binding),
                              WallSeconds, Request.Streamed, Request.IsService},
                             Writer);
  admission_request Admission{
      Request.Id,
      Customer->Name,
      versionPool(Config, Request.IsService, Plan.Versions.front()),
      Customer->Weight,
      Customer->QuotaTokensPerSecond,
      Request.Priority,
      Request.PromptTokens + Request.MaxTokens,
      Services.Clock.now() + Request.TimeLeft};
  auto Run = std::make_shared<request_run>(
      Services, std::move(Request), std::move(Plan), std::move(Formatter),
      std::move(Admission),
      work_target{Planned.Binding.Work, Planned.QualityTarget});
  Writer->onDisconnect([Weak = std::weak_ptr(Run)] {
    if (const auto Self = Weak.lock())
      Self->post(event::caller_disconnected{});
  });
  Run->start();
}

/// Counts a request as open during its session lookup, so that a graceful
/// shutdown waits for it.
std::shared_ptr<void>
countOpenRequest(std::atomic<std::uint64_t> &OpenRequests) {
  ++OpenRequests;
  return {nullptr, [&OpenRequests](void *) { --OpenRequests; }};
}

/// Looks up or creates the binding of a session that is identified by its id
/// alone, then starts the request.
void bindSessionAndStart(const request_services &Services,
                         const configuration_ptr &Config,
                         caller_request Request,
                         const std::shared_ptr<answer_writer> &Writer) {
  const customer_spec *Customer = nullptr;
  auto Planned = planRequest(planningContext(Services), *Config, Request,
                             std::nullopt, Customer);
  if (!Customer)
    return refuse(Request, Writer, kindOf(Planned.error()));
  // A planning error is not final: an existing session may keep a version that
  // takes no new sessions.
  const std::error_code PlanError =
      Planned ? std::error_code() : Planned.error();
  session_claim Claim{
      {Customer->Name, Request.SessionId, "", "", 0, 0}, Request.Id, false};
  if (Planned)
    Claim.Binding = Planned.value().Binding;
  Claim.Binding.OpenedAt = wallSeconds(Services);
  const mono_time Start = Services.Clock.now();
  Services.Sessions.bind(
      std::move(Claim),
      [Services, Config, Request = std::move(Request), Writer, PlanError, Start,
       OpenGuard = countOpenRequest(Services.OpenRequests)](
          const result<std::optional<session_binding>> &StoredBinding) mutable {
        if (!StoredBinding)
          return refuse(Request, Writer, kindOf(StoredBinding.error()));
        if (!StoredBinding.value())
          return refuse(Request, Writer, kindOf(PlanError));
        Request.TimeLeft -=
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Services.Clock.now() - Start);
        startRequest(Services, *Config, std::move(Request), Writer,
                     StoredBinding.value());
      });
}

} // namespace

void runRequest(const request_services &Services, caller_request Request,
                const std::shared_ptr<answer_writer> &Writer) {
  const configuration_ptr Config = Services.Config.get();
  if (!Config)
    return refuse(Request, Writer, error_kind::NotReady);
  const bool NeedsBinding = !Request.IsService && !Request.SessionId.empty() &&
                            Request.SessionToken.empty();
  if (NeedsBinding)
    return bindSessionAndStart(Services, Config, std::move(Request), Writer);
  startRequest(Services, *Config, std::move(Request), Writer, std::nullopt);
}

} // namespace clementinelane
