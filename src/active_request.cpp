#include "active_request_p.h"

#include "config.h"
#include "hashing.h"

#include <algorithm>
#include <array>

namespace clementinelane {

namespace {

/// Bytes of a write beside its data: packet headers and framing.
constexpr double WriteOverheadBytes = 60;
/// Bytes of an exchange beside its writes: the packets that open and close its
/// connection, and the head of the answer.
constexpr double ExchangeOverheadBytes = 500;

constexpr std::array<std::string_view, 2> SideNames{"old", "new"};
constexpr std::array<std::string_view, 3> SourceNames{"nobody", "own", "told"};

std::string sessionText(const call_metadata &Metadata) {
  return Metadata.Session.empty() ? std::string{}
                                  : toHex(sessionHash(Metadata));
}

} // namespace

router::active_request::active_request(
    router &Router, std::shared_ptr<caller_exchange> Exchange, routed_call Call)
    : Router(Router), Exchange(std::move(Exchange)),
      Request(std::move(Call), Router.Requests, *this),
      ChargedBytes(this->Exchange->takeReservation()),
      HeldAnswer(Router.Memory, memory_holder::Answer), Timer(Router.Context) {
  countReceived(ExchangeOverheadBytes +
                static_cast<double>(call().Body ? call().Body->size() : 0));
}

/// Runs one step of the request, then rearms its timer.
template <typename Step> void router::active_request::runStep(Step &&Do) {
  const auto Keep = shared_from_this();
  if (IsEnded)
    return;
  Do(Router.now());
  Router.sendRejections();
  if (IsEnded)
    return;
  // What doesn't fit is forwarded with the next bytes.
  static_cast<void>(HeldAnswer.tryResize(Request.heldAnswerBytes()));
  armTimer();
}

void router::active_request::begin() {
  Exchange->onDisconnect([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->runStep([&Self](mono_time Now) {
        Self->Request.onCallerGone(Now);
        Self->finish("caller_gone");
      });
  });
  Exchange->onDrained([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->resumeReading();
  });
  runStep([this](mono_time Now) { Request.begin(Now); });
}

// Load: an endpoint writes faster than the caller reads. Harm prevented: the
// answer fills the VM's memory.
void router::active_request::pauseAboveBound() {
  if (!Attempt || IsPaused ||
      Exchange->unsentBytes() <= config::AnswerPauseBytes)
    return;
  IsPaused = true;
  Attempt->pauseReading();
  Request.onReadingPaused();
}

void router::active_request::resumeReading() {
  if (!IsPaused)
    return;
  IsPaused = false;
  if (IsEnded || !Attempt)
    return;
  Request.onReadingResumed(Router.now());
  Attempt->resumeReading();
}

void router::active_request::onTick() {
  runStep([this](mono_time Now) { Request.onTick(Now); });
}

void router::active_request::endForStop() {
  runStep([this](mono_time Now) { Request.onStop(Now); });
}

void router::active_request::armTimer() {
  const auto At = Request.nextTimer();
  if (!At)
    return;
  Timer.expires_after(
      std::max<duration>(*At - Router.now(), config::MinTimerDelay));
  Timer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const auto Self = Weak.lock();
        if (Self && !Error)
          Self->runStep([&Self](mono_time Now) { Self->Request.onTimer(Now); });
      });
}

http_exchange_events router::active_request::attemptEvents() {
  http_exchange_events Events;
  const std::weak_ptr<active_request> Weak = weak_from_this();
  const auto With = [Weak](auto Do) {
    if (const auto Self = Weak.lock())
      Self->runStep([&](mono_time Now) { Do(*Self, Now); });
  };
  Events.MatchesRequest = [Weak](const http_head &Head) {
    const auto Self = Weak.lock();
    return Self &&
           Self->Router.Platform.isResponseTo(Head, Self->call().Metadata.Id);
  };
  Events.OnSent = [With] {
    With([](active_request &Self, mono_time Now) {
      Self.countSent(Self.AttemptBytes);
      Self.Request.onSent(Now);
    });
  };
  Events.OnHead = [With](const http_head &Head) {
    With([&Head](active_request &Self, mono_time Now) {
      Self.Router.Metrics.firstByte(Self.call().Route->Name,
                                    Now - Self.AttemptAt);
      Self.Request.onHead(Self.Router.Platform.decodeAnswer(Head), Now);
    });
  };
  Events.OnBody = [With](std::string Bytes) {
    With([&Bytes](active_request &Self, mono_time Now) {
      Self.countReceived(WriteOverheadBytes +
                         static_cast<double>(Bytes.size()));
      Self.Request.onBody(Bytes, Now);
    });
  };
  Events.OnEnd = [With] {
    With([](active_request &Self, mono_time Now) { Self.Request.onEnd(Now); });
  };
  Events.OnFailure = [With](exchange_failure Failure) {
    With([Failure](active_request &Self, mono_time Now) {
      Self.Request.onFailure(Failure, Now);
    });
  };
  return Events;
}

void router::active_request::startAttempt(const attempt_spec &Spec) {
  logs::decision("attempt",
                 {{"id", call().Metadata.Id},
                  {"request", toHex(call().Digest)},
                  {"session", sessionText(call().Metadata)},
                  {"endpoint", Spec.Endpoint.Id},
                  {"peer", Spec.Peer},
                  {"version", Spec.Endpoint.Version},
                  {"model", Spec.Model},
                  {"number", std::to_string(Spec.Number)},
                  {"config", std::to_string(call().Table->Version)}});
  Router.Metrics.attemptStarted(call().Route->Name, Spec.Number > 1);
  AttemptAt = Router.now();
  std::string Bytes = Router.Platform.encodeAttempt(call(), Spec);
  AttemptBytes = ExchangeOverheadBytes +
                 static_cast<double>(Bytes.size() +
                                     (call().Body ? call().Body->size() : 0));
  Attempt = startExchange(Router.Connector,
                          {{Spec.Endpoint.Address, Spec.Peer},
                           call().Head.Method,
                           std::move(Bytes),
                           Spec.ConnectTimeout,
                           call().Body},
                          attemptEvents());
}

void router::active_request::cancelAttempt() {
  IsPaused = false;
  if (Attempt)
    Attempt->cancel();
  Attempt.reset();
}

void router::active_request::beginStream(const endpoint_response &Response) {
  Exchange->begin(Response.Status, Response.Fields);
}

void router::active_request::beginAnswer(const endpoint_response &Response) {
  Exchange->begin(Response.Status, Response.Fields, Response.Length);
}

void router::active_request::writeStream(std::string_view Bytes) {
  countSent(WriteOverheadBytes + static_cast<double>(Bytes.size()));
  Exchange->write(Bytes);
  pauseAboveBound();
}

void router::active_request::endStream() {
  finish("served");
  Exchange->end();
}

void router::active_request::abortStream() {
  finish("broken_off");
  Exchange->abortAnswer();
}

void router::active_request::sendResponse(const endpoint_response &Response,
                                          std::string_view Body) {
  countSent(WriteOverheadBytes + static_cast<double>(Body.size()));
  finish(Response.isSuccess() ? "served" : "endpoint_failed");
  Exchange->answer(Response.Status, Response.Fields, Body);
}

void router::active_request::refuse(const refusal &Refusal) {
  finish("refused");
  Router.refuse(*Exchange, Refusal, call().Metadata.Id);
}

void router::active_request::lookUpSession() {
  Router.lookUpSession(call().Service, sessionHash(call().Metadata),
                       [Weak = weak_from_this()](bool IsAnswered) {
                         if (const auto Self = Weak.lock())
                           Self->runStep([&Self, IsAnswered](mono_time Now) {
                             Self->Request.onSessionLookedUp(IsAnswered, Now);
                           });
                       });
}

void router::active_request::logPlacement(const session_placement &Placing) {
  const auto &[Source, Side, Age] = Placing.Known;
  const auto NameOf = [](version_side Value) {
    return std::string(SideNames[static_cast<std::size_t>(Value)]);
  };
  logs::decision(
      "placed",
      {{"id", call().Metadata.Id},
       {"session", toHex(Placing.Session)},
       {"side", NameOf(Placing.Side)},
       {"known_from",
        std::string(SourceNames[static_cast<std::size_t>(Source)])},
       {"known_side", Source == session_source::None ? "" : NameOf(Side)},
       {"known_ms",
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Age)
                .count())}});
}

void router::active_request::logDecision(std::string_view Decision,
                                         std::string_view Reason,
                                         std::string_view Subject) {
  if (Decision == "attempt_failed")
    Router.Metrics.attemptFailed(Reason);
  logs::decision(Decision, {{"id", call().Metadata.Id},
                            {"why", std::string(Reason)},
                            {"where", std::string(Subject)}});
}

void router::active_request::logGate(const gate_decision &Decision,
                                     unsigned Priority) {
  const bool IsRefusal = Decision.Action == gate_action::Refuse;
  Router.Metrics.heldBack(Decision.Rule);
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Decision.Time);
  logs::decision(IsRefusal ? "share_refuses" : "share_waits",
                 {{"id", call().Metadata.Id},
                  {"why", std::string(Decision.Rule)},
                  {"service", call().Service},
                  {"customer", call().Customer.Name},
                  {"priority", std::to_string(Priority)},
                  {"part", std::to_string(Decision.AdmittedPart)},
                  {IsRefusal ? "retry_after_ms" : "wait_ms",
                   std::to_string(Millis.count())}});
}

void router::active_request::countSent(double Bytes) {
  SentBytes += Bytes;
  chargeLink();
}

void router::active_request::countReceived(double Bytes) {
  ReceivedBytes += Bytes;
  chargeLink();
}

double router::active_request::linkBytes() const {
  return std::max(SentBytes, ReceivedBytes);
}

void router::active_request::chargeLink() {
  if (linkBytes() <= ChargedBytes)
    return;
  Router.Capacity.charge(linkBytes() - ChargedBytes, Router.now());
  ChargedBytes = linkBytes();
}

void router::active_request::finish(std::string_view Outcome) {
  if (IsEnded)
    return;
  IsEnded = true;
  HeldAnswer.release();
  countSent(ExchangeOverheadBytes);
  Router.Capacity.requestEnded(linkBytes(), ChargedBytes, Router.now());
  Timer.cancel();
  Router.Metrics.requestEnded(call().Route->Name, Outcome,
                              Router.now() - call().ArrivedAt);
  Router.ActiveRequests.erase(shared_from_this());
}

} // namespace clementinelane
