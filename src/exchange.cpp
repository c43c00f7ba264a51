#include "exchange_p.h"

#include <boost/asio/post.hpp>
#include <cpprest/json.h>
#include <utility>

namespace clementinelane {

namespace {

namespace json = web::json;

constexpr std::string_view EventSeparator = "\n\n";
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view StreamEndMarker = "[DONE]";
constexpr std::string_view LeavingHeader = "X-Leaving";
constexpr std::string_view JsonType = "application/json";

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusUnavailable = 503;

std::string chatBody(const caller_request &Request, const endpoint_call &Call) {
  auto Body = json::value::parse(Request.Body);
  Body["model"] = json::value::string(Call.Version);
  Body["stream"] = json::value::boolean(true);
  Body["request_id"] = json::value::string(Request.Id);
  Body["attempt"] = json::value::number(Call.Attempt);
  Body["priority"] = json::value::string(std::string(nameOf(Request.Priority)));
  if (Call.ResumeFrom > 0) {
    Body["resume_from"] = json::value::number(Call.ResumeFrom);
    Body["resume_text"] = json::value::string(Call.PriorText);
  }
  return Body.serialize();
}

duration firstProgressLimit(const progress_timeouts &Limits,
                            const endpoint_call &Call) {
  return Call.AtMostOnce ? Limits.AtMostOnce : Limits.FirstToken;
}

/// Whether nothing was sent.
bool isConnectFailure(exchange_failure Failure) {
  return Failure == exchange_failure::NotConnected ||
         Failure == exchange_failure::Unanswered;
}

} // namespace

exchange::exchange(std::shared_ptr<exchange_context> Shared,
                   const caller_request &Request, const endpoint_call &Call,
                   attempt_callback OnEvent, std::function<void()> OnEnd)
    : Context(std::move(Shared)), Call(Call), Id(Request.Id),
      IsService(Request.IsService), OnEvent(std::move(OnEvent)),
      OnEnd(std::move(OnEnd)), Charge(Context->Memory, memory_holder::Answer),
      Watch(firstProgressLimit(Context->Limits, Call),
            Context->Limits.BetweenTokens, Context->Clock.now()) {
  FinishEvent.Attempt = Call.Attempt;
}

void exchange::run(const caller_request &Request) {
  armTimer();
  runGuarded([&] {
    boost::asio::post(Context->Http.context(),
                      [Self = shared_from_this(), Out = makeRequest(Request)] {
                        Self->start(Out);
                      });
  });
}

fetch_request exchange::makeRequest(const caller_request &Request) const {
  fetch_request Out;
  Out.Address = Call.Address;
  Out.Method = IsService ? Request.Method : "POST";
  Out.Target = !IsService             ? "/v1/chat/completions"
               : Request.Path.empty() ? "/"
                                      : Request.Path;
  Out.Body = IsService ? Request.Body : chatBody(Request, Call);
  std::string Type(JsonType);
  if (IsService)
    Type = Request.ContentType.empty() ? "application/octet-stream"
                                       : Request.ContentType;
  if (!Out.Body.empty())
    Out.Fields.push_back({"Content-Type", std::move(Type)});
  Out.Fields.push_back({"X-Request-Id", Id});
  if (!Request.Traceparent.empty())
    Out.Fields.push_back({"traceparent", Request.Traceparent});
  if (!Request.IdempotencyKey.empty())
    Out.Fields.push_back({"Idempotency-Key", Request.IdempotencyKey});
  return Out;
}

// The progress watchdog ends a connect that hangs.
void exchange::start(const fetch_request &Request) {
  if (Ended)
    return;
  Http = startExchange(Context->Http.connector(),
                       {{Request.Address},
                        Request.Method,
                        fetchText(Request),
                        config::MaxDeadline},
                       events());
}

http_exchange_events exchange::events() {
  const auto With = [Weak = weak_from_this()](auto Do) {
    if (const auto Self = Weak.lock(); Self && !Self->Ended)
      Self->runGuarded([&] { Do(*Self); });
  };
  http_exchange_events Events;
  Events.OnHead = [With](const http_head &Head) {
    With([&Head](exchange &Self) { Self.onHead(Head); });
  };
  Events.OnBody = [With](const std::string &Bytes) {
    With([&Bytes](exchange &Self) { Self.onBody(Bytes); });
  };
  Events.OnEnd = [With] { With([](exchange &Self) { Self.onAnswerEnd(); }); };
  Events.OnFailure = [With](exchange_failure Failure) {
    With([Failure](exchange &Self) { Self.onFailure(Failure); });
  };
  return Events;
}

void exchange::close() {
  boost::asio::post(Context->Http.context(), [Self = shared_from_this()] {
    if (const auto Open = std::exchange(Self->Http, nullptr))
      Open->cancel();
  });
}

void exchange::cancel() {
  Ended = true;
  close();
  if (!IsService)
    cancelAtEngine();
}

// An engine notices a closed connection only on its next write; a cancel call
// stops it at once. The call names the attempt, so that a late one can't stop a
// newer attempt at the same engine.
void exchange::cancelAtEngine() {
  auto Body = json::value::object();
  Body["request_id"] = json::value::string(Id);
  Body["attempt"] = json::value::number(Call.Attempt);
  fetch_request Request{
      Call.Address,     "POST",
      "/v1/cancel",     {{"Content-Type", std::string(JsonType)}},
      Body.serialize(), config::CancelCallTimeout};
  boost::asio::post(Context->Http.context(), [Context = Context,
                                              Request = std::move(Request)] {
    startFetch(Context->Http.context(), Context->Http.connector(), Request,
               [](const std::optional<fetch_answer> &) {
                 // If the engine is down or slow, it stops on its next
                 // write.
               });
  });
}

/// Runs `Run`; an exception of the JSON library fails the attempt.
template <typename F> void exchange::runGuarded(F Run) {
  try {
    Run();
  } catch (const std::exception &) {
    fail(error_kind::EndpointFailed, run_state::MayHaveRun);
  }
}

// A 503 or 429 of an engine, or of a service with idempotent calls, is a
// refusal. For a non-idempotent call the status alone doesn't prove that
// nothing ran, since a gateway may send it after the work was done. Without
// X-Ran: not_run it is forwarded as the service's answer.
bool exchange::isRefusal(const http_head &Head) const {
  const bool IsBusy =
      Head.Status == StatusUnavailable || Head.Status == StatusTooManyRequests;
  if (!IsBusy)
    return !IsService && Head.Status == StatusNotFound;
  return !Call.AtMostOnce || Head.value("X-Ran") == "not_run";
}

void exchange::onHead(const http_head &Head) {
  if (Head.has(LeavingHeader))
    Context->OnLeaving(Call.Endpoint, Head.value(LeavingHeader) == "true");
  if (isRefusal(Head))
    return fail(error_kind::EndpointRefused, run_state::NotRun);
  if (IsService) {
    OnEvent(request_event::head{Call.Attempt, Head.Status,
                                std::string(Head.value("Content-Type"))});
    return;
  }
  if (Head.Status != StatusOk)
    return fail(error_kind::EndpointFailed, run_state::MayHaveRun);
  OnEvent(request_event::head{Call.Attempt, StatusOk, std::string(JsonType)});
}

// Failure: an endpoint sends a body without end, which would fill the VM's
// memory: a service's is held until it is whole, and the text of a stream for
// callers that don't stream and for a resume elsewhere.
void exchange::onBody(std::string_view Bytes) {
  BodyBytes += Bytes.size();
  if (BodyBytes > config::MaxEndpointBodyBytes || !Charge.tryResize(BodyBytes))
    return fail(error_kind::EndpointFailed, run_state::MayHaveRun);
  Pending += Bytes;
  if (!IsService)
    readEvents();
}

void exchange::readEvents() {
  std::vector<answer_token> Tokens;
  std::size_t Begin = 0;
  for (auto Split = Pending.find(EventSeparator); Split != std::string::npos;
       Split = Pending.find(EventSeparator, Begin)) {
    const std::string_view Event =
        std::string_view(Pending).substr(Begin, Split - Begin);
    Begin = Split + EventSeparator.size();
    if (Event.substr(0, DataPrefix.size()) == DataPrefix)
      readEvent(Event.substr(DataPrefix.size()), Tokens);
  }
  Pending.erase(0, Begin);
  if (Pending.size() > config::MaxStreamEventBytes)
    return fail(error_kind::EndpointFailed, run_state::MayHaveRun);
  if (!Tokens.empty()) {
    recordProgress();
    OnEvent(request_event::tokens{Call.Attempt, std::move(Tokens)});
  }
  if (IsStreamDone)
    end(FinishEvent);
}

void exchange::readEvent(std::string_view Data,
                         std::vector<answer_token> &Tokens) {
  if (Data == StreamEndMarker) {
    IsStreamDone = true;
    return;
  }
  const auto Json = json::value::parse(std::string(Data));
  const auto &Choice = Json.at("choices").as_array().at(0);
  const auto &Delta = Choice.at("delta");
  if (Delta.has_string_field("content"))
    Tokens.push_back({Json.at("token_index").as_number().to_uint64(),
                      Delta.at("content").as_string()});
  if (Choice.has_string_field("finish_reason"))
    FinishEvent.FinishReason = Choice.at("finish_reason").as_string();
  if (Json.has_number_field("confidence"))
    FinishEvent.Confidence = Json.at("confidence").as_double();
  if (Json.has_object_field("usage")) {
    const auto &Usage = Json.at("usage");
    FinishEvent.PromptTokens =
        Usage.at("prompt_tokens").as_number().to_uint64();
    FinishEvent.CompletionTokens =
        Usage.at("completion_tokens").as_number().to_uint64();
    FinishEvent.HasUsage = true;
  }
}

// An engine's stream ends with its marker, not with the answer.
void exchange::onAnswerEnd() {
  if (!IsService)
    return fail(error_kind::EndpointFailed, run_state::MayHaveRun);
  if (!Pending.empty())
    OnEvent(request_event::tokens{Call.Attempt, {{0, std::move(Pending)}}});
  FinishEvent.FinishReason = "stop";
  end(FinishEvent);
}

void exchange::onFailure(exchange_failure Failure) {
  fail(error_kind::EndpointFailed,
       isConnectFailure(Failure) ? run_state::NotRun : run_state::MayHaveRun);
}

void exchange::recordProgress() {
  Watch.recordProgress(Context->Clock.now());
  // The limit between tokens is shorter than the first one, so the timer is
  // armed anew. Later tokens only move the expiry, which onTimer() checks
  // again, so that tokens need no timer operations.
  if (!std::exchange(HasProgress, true))
    armTimer();
}

void exchange::armTimer() {
  const std::scoped_lock Lock(TimerMutex);
  Context->Timers.cancel(Timer);
  Timer = Context->Timers.after(Watch.expiry() - Context->Clock.now(),
                                [Weak = weak_from_this()] {
                                  if (const auto Self = Weak.lock())
                                    Self->onTimer();
                                });
}

void exchange::onTimer() {
  if (Ended)
    return;
  if (!Watch.isExpired(Context->Clock.now()))
    return armTimer();
  end(request_event::silent{Call.Attempt});
}

void exchange::fail(error_kind Kind, run_state Ran) {
  end(request_event::failed{Call.Attempt, Kind, Ran});
}

void exchange::end(request_input Event) {
  if (Ended.exchange(true))
    return;
  {
    const std::scoped_lock Lock(TimerMutex);
    Context->Timers.cancel(Timer);
  }
  // A silent exchange stays registered, so that cancel() can close its
  // connection.
  if (!std::holds_alternative<request_event::silent>(Event)) {
    close();
    OnEnd();
  }
  OnEvent(std::move(Event));
}

} // namespace clementinelane
